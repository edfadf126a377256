package crash

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// metricPrefix is the prefix of every metric's name.
const metricPrefix = "bulrushhinge_crash_"

// Metrics holds a Tracker's metrics.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// checked counts a broken run by whether its endpoint has ended.
func (m *Metrics) checked(ended bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`checks_total{ended="%t"}`, ended)).Inc()
}

// crashed counts a new crash by whether this node saw it and the kind of feature.
func (m *Metrics) crashed(own bool, s Scope) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`crashes_total{own="%t",kind=%q}`, own, s)).Inc()
}

// resolved counts a run whose endpoint's end was not proven at once, by the cause and by
// what became of it.
func (m *Metrics) resolved(c cause, o outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`unproven_runs_total{cause=%q,outcome=%q}`, c, o)).Inc()
}
