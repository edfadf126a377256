package replay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	sampleInterval = 50 * time.Millisecond
	// leaveGrace is how long an endpoint may still get new work after its
	// leave is announced.
	leaveGrace = 3 * time.Second

	// Histograms hold times in microseconds and ratios in thousandths.
	maxMicros  = int64(10 * time.Minute / time.Microsecond)
	maxRatio   = 1_000_000
	digits     = 3
	thousandth = 1000
	// epsilon allows for rounding errors.
	epsilon = 1e-9
)

// Outcomes of a request.
const (
	endNone ending = iota
	endWhole
	endRefused
	endBroken
	endExpired
)

type (
	ending int

	// record tracks one request of the trace.
	record struct {
		event       *trace.Event
		at          time.Duration
		starts      int
		first       bool
		end         ending
		notRun      bool
		completions int
	}

	// meter collects the measurements of a replay.
	meter struct {
		sim          *simulation
		records      map[int]*record
		order        []int
		reused       int
		reusable     int
		moved        int
		firsts       *hdrhistogram.Histogram
		requests     skewMeter
		tokens       skewMeter
		reasons      map[route.Reason]int
		crossed      int
		late         int
		cut          int
		verdicts     map[permit.Verdict]int
		waits        int
		acceptedAt   map[uint64]time.Duration
		inForceAfter map[uint64]time.Duration
		noEntry      int
		rerun        int
	}

	// skewMeter holds the samples of one kind of load.
	skewMeter struct {
		ratios  *hdrhistogram.Histogram
		raw     *hdrhistogram.Histogram
		worst   float64
		worstAt time.Duration
		// small counts the samples of the small-mean case (see add), over
		// those above the bound.
		samples, small, over int64
	}
)

func newMeter(s *simulation) *meter {
	return &meter{
		sim:          s,
		records:      map[int]*record{},
		firsts:       hdrhistogram.New(1, maxMicros, digits),
		requests:     newSkewMeter(),
		tokens:       newSkewMeter(),
		reasons:      map[route.Reason]int{},
		verdicts:     map[permit.Verdict]int{},
		acceptedAt:   map[uint64]time.Duration{},
		inForceAfter: map[uint64]time.Duration{},
	}
}

func newSkewMeter() skewMeter {
	return skewMeter{
		ratios: hdrhistogram.New(1, maxRatio, digits),
		raw:    hdrhistogram.New(1, maxRatio, digits),
	}
}

func (m *meter) arrived(i int, e *trace.Event) {
	m.records[i] = &record{event: e, at: m.sim.queue.now}
	m.order = append(m.order, i)
}

func (m *meter) started(g *engine, r *run, cached int) {
	if g.leaving && m.sim.queue.now-g.left > leaveGrace {
		m.late++
	}
	rec := m.records[r.index]
	rec.starts++
	if rec.starts > 1 {
		m.rerun++
	}
	if !g.model.Plain {
		m.reused += cached
		m.reusable += r.event.Prefix
	}
}

func (m *meter) first(i int, current bool) {
	if !current {
		m.crossed++
	}
	rec := m.records[i]
	if !rec.first {
		rec.first = true
		_ = m.firsts.RecordValue((m.sim.queue.now - rec.at).Microseconds())
	}
}

func (m *meter) completed(i int, current bool) {
	if !current {
		m.crossed++
	}
	m.records[i].end = endWhole
	m.records[i].completions++
}

func (m *meter) refused(i int, reason route.Reason, notRun bool) {
	m.records[i].end = endRefused
	m.records[i].notRun = notRun
	m.reasons[reason]++
}

func (m *meter) broke(i int)    { m.records[i].end = endBroken }
func (m *meter) expired(i int)  { m.records[i].end = endExpired }
func (m *meter) unanswered(int) { m.noEntry++ }

// accepted records when a revision was accepted, checkInForce how long it then
// took until the revision was in force at every node.
func (m *meter) accepted(revision uint64) { m.acceptedAt[revision] = m.sim.queue.now }

func (m *meter) checkInForce() {
	for revision, at := range m.acceptedAt {
		if _, done := m.inForceAfter[revision]; !done && m.sim.inForce(revision) {
			m.inForceAfter[revision] = m.sim.queue.now - at
		}
	}
}

func (s *simulation) inForce(revision uint64) bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool {
		in := n.view().Manifest
		return n.alive && (in == nil || in.Revision < revision)
	})
}

// sample samples the skew each sampleInterval between two times.
func (m *meter) sample(from, to time.Duration) {
	m.sim.queue.at(from, func() {
		for _, model := range m.sim.trace.Header.Models {
			if !model.Plain {
				m.sampleModel(model.Name)
			}
		}
		if from+sampleInterval <= to {
			m.sample(from+sampleInterval, to)
		}
	})
}

func (m *meter) sampleModel(model string) {
	pool := m.sim.pool(model)
	if pool.Live == 0 {
		return
	}
	var most kernel.Load
	for _, e := range pool.Endpoints {
		most.Requests = max(most.Requests, e.Load.Requests)
		most.Tokens = max(most.Tokens, e.Load.Tokens)
	}
	now := m.sim.queue.now - settleTime
	m.requests.add(now, pool.Bound, most.Requests, pool.Total.Requests, pool.Live, 1)
	m.tokens.add(now, pool.Bound, most.Tokens, pool.Total.Tokens, pool.Live, m.sim.largest(pool))
}

// add adds one sample: the load of the most loaded engine over the mean.
//
// If one unit of work (a request, or the tokens of the largest request in
// progress) exceeds the headroom of the bound over the mean, no placement can keep
// the ratio within the bound. In this small-mean case add divides by the smallest
// mean at which one can.
func (s *skewMeter) add(now time.Duration, bound float64, most, total, live, unit int) {
	if total == 0 {
		return
	}
	mean := float64(total) / float64(live)
	s.samples++
	base := mean
	if small := float64(unit) / (bound - 1); small > mean {
		base = small
		s.small++
	}
	ratio := float64(most) / base
	_ = s.ratios.RecordValue(int64(ratio * thousandth))
	_ = s.raw.RecordValue(int64(float64(most) / mean * thousandth))
	if ratio > s.worst {
		s.worst, s.worstAt = ratio, now
	}
	if ratio > bound+epsilon {
		s.over++
	}
}
