package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// namePrefix starts the name of every metric.
const namePrefix = "bulrushhinge_"

// Outcomes of callers' requests, as the metric requests_total labels them.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "refused"
	outcomeCut      = "cut"
)

type (
	// MetricsConfig is the settings of Metrics.
	MetricsConfig struct {
		View func() *kernel.View
		// Platform returns the status of each key that the reader follows.
		Platform func() []platform.Status
		// Active returns the number of requests in progress.
		Active func() int
		// Now returns the time; nil is time.Now.
		Now func() time.Time
	}

	// Metrics holds the metrics of one node; each node of a process has its
	// own. It is safe for concurrent use.
	Metrics struct {
		config    MetricsConfig
		set       *metrics.Set
		sent      *metrics.Counter
		received  *metrics.Counter
		firstByte *metrics.Histogram
	}
)

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics(c MetricsConfig) *Metrics {
	if c.Now == nil {
		c.Now = time.Now
	}
	s := metrics.NewSet()
	return &Metrics{
		config:    c,
		set:       s,
		sent:      s.NewCounter(namePrefix + `peer_bytes_total{direction="sent"}`),
		received:  s.NewCounter(namePrefix + `peer_bytes_total{direction="received"}`),
		firstByte: s.NewHistogram(namePrefix + "first_byte_seconds"),
	}
}

// Write writes every metric in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	v := m.config.View()
	gauge(w, "revision", "", float64(activeRevision(v)))
	gauge(w, "revision_conflict", "", boolValue(v.Conflict != ""))
	gauge(w, "leaving", "", boolValue(v.Leaving))
	gauge(w, "requests_active", "", float64(m.config.Active()))
	m.writeInstances(w, v)
	m.writePlatform(w)
	// The process-wide metrics of other packages come last.
	metrics.WritePrometheus(w, true)
}

// PlatformRead counts a read of a platform key by its result.
func (m *Metrics) PlatformRead(key string, err error) {
	m.count("platform_reads_total", `key=%q,result=%q`, key, result(err))
}

// Beat counts a sent heartbeat by whether the peer answered.
func (m *Metrics) Beat(err error) { m.count("heartbeats_total", `result=%q`, result(err)) }

// Fetch counts a request to a peer for an accepted revision by its result.
func (m *Metrics) Fetch(err error) { m.count("revision_fetches_total", `result=%q`, result(err)) }

// Record counts the steps of plans and their outcomes: permits by verdict, and
// attempts that were lost or not run.
func (m *Metrics) Record(r dispatch.Record) {
	switch r.Outcome {
	case 0:
		m.count("steps_total", `step=%q`, stepNames[r.Step.Kind])
	case route.OutcomeLost, route.OutcomeNotRun:
		m.count("attempts_failed_total", `outcome=%q`, outcomeNames[r.Outcome])
	default:
		m.count("permits_total", `outcome=%q`, outcomeNames[r.Outcome])
	}
}

func (m *Metrics) count(name, labels string, values ...any) {
	m.set.GetOrCreateCounter(namePrefix + name + "{" + fmt.Sprintf(labels, values...) + "}").Inc()
}

func (m *Metrics) writeInstances(w io.Writer, v *kernel.View) {
	nodes := map[kernel.State]int{}
	for _, n := range v.Nodes {
		nodes[n.State]++
	}
	for s := kernel.Live; s <= kernel.Dead; s++ {
		gauge(w, "nodes", fmt.Sprintf(`state=%q`, s), float64(nodes[s]))
	}
	for _, name := range services(v) {
		m.writePool(w, name, v.Pools[name])
	}
}

func (m *Metrics) writePool(w io.Writer, name string, p *kernel.Pool) {
	states := map[kernel.State]int{}
	highest := 0
	for _, e := range p.Endpoints {
		states[e.State]++
		highest = max(highest, e.Load.Requests)
	}
	for s := kernel.Live; s <= kernel.Dead; s++ {
		gauge(w, "endpoints", fmt.Sprintf(`service=%q,state=%q`, name, s), float64(states[s]))
	}
	labels := fmt.Sprintf(`service=%q`, name)
	gauge(w, "endpoint_requests_highest", labels, float64(highest))
	if p.Live > 0 {
		gauge(w, "endpoint_requests_mean", labels, float64(p.Total.Requests)/float64(p.Live))
	}
}

func (m *Metrics) writePlatform(w io.Writer) {
	now := m.config.Now()
	for _, s := range m.config.Platform() {
		labels := fmt.Sprintf(`key=%q`, s.Key)
		if !s.Answered.IsZero() {
			gauge(w, "platform_silent_seconds", labels, now.Sub(s.Answered).Seconds())
		}
		gauge(w, "platform_failures", labels, float64(s.Failures))
		gauge(w, "platform_behind", labels, boolValue(s.Behind))
		gauge(w, "platform_refused", labels, boolValue(s.Refused != ""))
	}
}

func gauge(w io.Writer, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	metrics.WriteGaugeFloat64(w, namePrefix+name+labels, value)
}

func services(v *kernel.View) []string { return slices.Sorted(maps.Keys(v.Pools)) }

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
