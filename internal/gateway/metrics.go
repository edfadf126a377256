package gateway

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "bulrushhinge_gateway_"

// Metrics counts what a gateway does.
type Metrics struct {
	set       *metrics.Set
	firstByte *metrics.Histogram
	took      *metrics.Histogram
	opened    *metrics.Counter
}

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	return &Metrics{
		set:       s,
		firstByte: s.NewHistogram(metricPrefix + "first_event_seconds"),
		took:      s.NewHistogram(metricPrefix + "attempt_seconds"),
		opened:    s.NewCounter(metricPrefix + "connections_total"),
	}
}

// Write writes all metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Opened counts a new connection to an endpoint.
func (m *Metrics) Opened() { m.opened.Inc() }

func (m *Metrics) refused(r *refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`refused_total{status="%d",reason=%q}`, r.status, r.reason)).Inc()
}

func (m *Metrics) attempted(a *attempt, res result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`attempts_total{result=%q}`, res)).Inc()
	m.took.UpdateDuration(a.at)
	m.noticed(a.notice)
}

// noticed counts what an endpoint has said of itself in an answer.
func (m *Metrics) noticed(n Notice) {
	if n.Leaving {
		m.set.GetOrCreateCounter(metricPrefix + `notices_total{notice="leaving"}`).Inc()
	}
	if n.Rest > 0 {
		m.set.GetOrCreateCounter(metricPrefix + `notices_total{notice="rest"}`).Inc()
	}
}

func (m *Metrics) reserved(err error) {
	result := "taken"
	switch {
	case errors.Is(err, ErrFull):
		result = "full"
	case err != nil:
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`reservations_total{result=%q}`, result)).Inc()
}

func (m *Metrics) first(c *call) { m.firstByte.Update(time.Since(c.started).Seconds()) }
