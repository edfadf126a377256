package store

import (
	"errors"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "bulrushhinge_store_"

type (
	// Metrics counts a node's calls to the store.
	Metrics struct {
		set     *metrics.Set
		reads   calls
		watches calls
		// epoch is that of the store's last answer.
		epoch *metrics.Gauge
	}

	// calls counts the calls of one kind by result.
	calls struct{ answered, compacted, failed *metrics.Counter }
)

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	return &Metrics{
		set: s, reads: newCalls(s, "range"), watches: newCalls(s, "watch"),
		epoch: s.NewGauge(metricPrefix+"epoch", nil),
	}
}

func newCalls(s *metrics.Set, call string) calls {
	counter := func(result string) *metrics.Counter {
		return s.NewCounter(metricPrefix + `calls_total{call="` + call + `",result="` + result + `"}`)
	}
	return calls{answered: counter("answered"), compacted: counter("compacted"), failed: counter("failed")}
}

// Write writes all metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

func (c calls) count(err error) {
	switch {
	case err == nil:
		c.answered.Inc()
	case errors.Is(err, ErrCompacted):
		c.compacted.Inc()
	default:
		c.failed.Inc()
	}
}
