package reach

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// metricPrefix is the prefix of every metric's name.
const metricPrefix = "bulrushhinge_reach_"

// Metrics holds a Tracker's metrics.
type Metrics struct {
	set     *metrics.Set
	lost    *metrics.Counter
	lostFor *metrics.Histogram
}

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	return &Metrics{set: s, lost: s.NewCounter(metricPrefix + "lost_total"), lostFor: s.NewHistogram(metricPrefix + "lost_seconds")}
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
