package owner

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// metricPrefix is the prefix of every metric's name.
	metricPrefix = "bulrushhinge_owner_"
	// avoided is the label of requests that were not offered because their owner is
	// not asked for a while.
	avoided = "avoided"
)

// Metrics holds the metrics of a node's owners.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	for _, o := range []Outcome{Taken, Declined, Silent, Ended} {
		m.offers(o.String())
	}
	m.offers(avoided)
	m.owned()
	return m
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Offered counts an offer to an owner.
func (m *Metrics) Offered(o Outcome) { m.offers(o.String()).Inc() }

// Avoided counts a request that was not offered because its owner is not asked for a while.
func (m *Metrics) Avoided() { m.offers(avoided).Inc() }

// Changed records that a service has another owner, and whether this node was its owner
// before and is now.
func (m *Metrics) Changed(service string, before, now bool) {
	m.set.GetOrCreateCounter(metricPrefix + "changes_total").Inc()
	owns := m.set.GetOrCreateGauge(fmt.Sprintf(metricPrefix+`owns{service=%q}`, service), nil)
	switch {
	case now && !before:
		owns.Set(1)
		m.owned().Inc()
	case before && !now:
		owns.Set(0)
		m.owned().Dec()
	}
}

func (m *Metrics) offers(result string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`offers_total{result=%q}`, result))
}

func (m *Metrics) owned() *metrics.Gauge {
	return m.set.GetOrCreateGauge(metricPrefix+"owned_services", nil)
}
