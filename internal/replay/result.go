package replay

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/permit"
)

type (
	// Result is the measurements of one replay. docs/MEASURES.md defines them.
	Result struct {
		Trace  string `json:"trace"`
		Seed   uint64 `json:"seed"`
		Policy string `json:"policy"`
		Asks   int    `json:"asks"`
		// Reuse is the ratio of reused to reusable prefix tokens, Ideal that of
		// the ideal router.
		Reuse float64 `json:"reuse"`
		Ideal float64 `json:"ideal,omitempty"`
		// Moved is the part of Reuse that was imported from another engine.
		Moved    float64 `json:"moved"`
		Requests Skew    `json:"requests"`
		Tokens   Skew    `json:"tokens"`
		// Control is the mean over the nodes, ControlMost the total of the node
		// with the most traffic, both in bytes per second.
		Control     Control `json:"control"`
		ControlMost float64 `json:"controlMost"`
		First       First   `json:"first"`
		// Granted and Denied count permits, Waits the pauses of requests that
		// no endpoint accepted.
		Granted int `json:"granted"`
		Denied  int `json:"denied"`
		Waits   int `json:"waits"`
		// Whole, Refused, Broken and Expired count the outcomes of requests:
		// complete answers, refusals, streams broken by the death of an
		// endpoint or node, and expired deadlines.
		Whole    int            `json:"whole"`
		Refused  map[string]int `json:"refused,omitempty"`
		Broken   int            `json:"broken"`
		Expired  int            `json:"expired"`
		Rerun    int            `json:"rerun"`
		Lost     int            `json:"lost"`
		Doubled  int            `json:"doubled"`
		Cut      int            `json:"cut"`
		Crossed  int            `json:"crossed"`
		FalseNot int            `json:"falsenot"`
		Late     int            `json:"late"`
		// Force is the longest time in seconds until a revision was in force
		// at every node; negative if one never was.
		Force float64 `json:"force"`
	}

	// Skew is the load of the most loaded engine over the mean.
	Skew struct {
		P99   float64 `json:"p99"`
		Worst float64 `json:"worst"`
		// WorstAt is the time of Worst in the trace, in seconds.
		WorstAt float64 `json:"worstAt"`
		// Over is the share of samples above the bound, Small the share of
		// samples in the small-mean case.
		Over  float64 `json:"over"`
		Small float64 `json:"small"`
		// Raw is the p99 of the plain ratio, without the small-mean case.
		Raw float64 `json:"raw"`
	}

	// Control is control traffic in bytes per second, by purpose.
	Control struct {
		Total    float64 `json:"total"`
		Beats    float64 `json:"beats"`
		Permits  float64 `json:"permits"`
		Probes   float64 `json:"probes"`
		Platform float64 `json:"platform"`
		Config   float64 `json:"config"`
	}

	// First is the time to the first token, in seconds.
	First struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}
)

// Ideal is the name of the ideal router in reports.
const Ideal = "ideal"

const (
	p50    = 50
	p95    = 95
	p99    = 99
	micros = 1e6
)

func (m *meter) result() *Result {
	h := m.sim.trace.Header
	r := &Result{
		Trace: h.Name, Seed: h.Seed, Policy: m.sim.config.Policy.Name, Asks: len(m.order),
		Requests: m.requests.skew(), Tokens: m.tokens.skew(),
		Granted: m.verdicts[permit.Granted], Denied: m.verdicts[permit.Full], Waits: m.waits,
		Rerun: m.rerun, Crossed: m.crossed, Late: m.late, Refused: map[string]int{},
	}
	if m.sim.config.Ideal {
		r.Policy = Ideal
	}
	if m.reusable > 0 {
		r.Reuse = float64(m.reused) / float64(m.reusable)
		r.Moved = float64(m.moved) / float64(m.reusable)
	}
	quantile := func(q float64) float64 { return float64(m.firsts.ValueAtQuantile(q)) / micros }
	r.First = First{P50: quantile(p50), P95: quantile(p95), P99: quantile(p99)}
	for reason, n := range m.reasons {
		r.Refused[string(reason)] = n
	}
	m.outcomes(r)
	if !m.sim.config.Ideal {
		m.control(r)
	}
	m.timeToForce(r)
	return r
}

func (m *meter) outcomes(r *Result) {
	for _, i := range m.order {
		rec := m.records[i]
		if rec.event.Once && rec.starts > 1 || rec.completions > 1 {
			r.Doubled++
		}
		switch rec.end {
		case endNone:
			r.Lost++
		case endWhole:
			r.Whole++
		case endBroken:
			r.Broken++
		case endExpired:
			r.Expired++
		case endRefused:
			if rec.notRun && rec.starts > 0 {
				r.FalseNot++
			}
		}
	}
	r.Cut = m.cut
}

func (m *meter) control(r *Result) {
	var nodes float64
	for _, n := range m.sim.all {
		until := n.until
		if n.alive {
			until = m.sim.queue.now
		}
		seconds := max((until - n.since).Seconds(), time.Second.Seconds())
		nodes++
		r.Control.Beats += float64(n.traffic.heartbeats) / seconds
		r.Control.Permits += float64(n.traffic.permits) / seconds
		r.Control.Probes += float64(n.traffic.probes) / seconds
		r.Control.Config += float64(n.traffic.config) / seconds
		r.Control.Platform += float64(n.traffic.platform) / seconds
		r.ControlMost = max(r.ControlMost, float64(n.traffic.total())/seconds)
	}
	c := &r.Control
	for _, part := range []*float64{&c.Beats, &c.Permits, &c.Probes, &c.Platform, &c.Config} {
		*part /= nodes
		c.Total += *part
	}
}

func (m *meter) timeToForce(r *Result) {
	for revision := range m.acceptedAt {
		took, done := m.inForceAfter[revision]
		if !done {
			r.Force = -1
			return
		}
		r.Force = max(r.Force, took.Seconds())
	}
}

func (s *skewMeter) skew() Skew {
	k := Skew{
		P99:     float64(s.ratios.ValueAtQuantile(p99)) / thousandth,
		Worst:   s.worst,
		WorstAt: s.worstAt.Seconds(),
		Raw:     float64(s.raw.ValueAtQuantile(p99)) / thousandth,
	}
	if s.samples > 0 {
		k.Small = float64(s.small) / float64(s.samples)
		k.Over = float64(s.over) / float64(s.samples)
	}
	return k
}
