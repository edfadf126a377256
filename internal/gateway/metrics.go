package gateway

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// metricPrefix is the prefix of every metric's name.
const metricPrefix = "bulrushhinge_gateway_"

// Metrics holds a gateway's metrics.
type Metrics struct {
	set         *metrics.Set
	firstEvent  *metrics.Histogram
	attemptTime *metrics.Histogram
	opened      *metrics.Counter
	// handoverTime is the time that other nodes took for requests handed over.
	handoverTime *metrics.Histogram
	// slowdown is how long work takes at endpoints, as a multiple of usual, by their
	// reports.
	slowdown       *metrics.Histogram
	malformedLoads *metrics.Counter
	panics         *metrics.Counter
}

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	return &Metrics{
		set:         s,
		firstEvent:  s.NewHistogram(metricPrefix + "first_event_seconds"),
		attemptTime: s.NewHistogram(metricPrefix + "attempt_seconds"),
		opened:      s.NewCounter(metricPrefix + "connections_total"),

		handoverTime: s.NewHistogram(metricPrefix + "handover_seconds"),

		slowdown:       s.NewHistogram(metricPrefix + "endpoint_slowdown"),
		malformedLoads: s.NewCounter(metricPrefix + "malformed_loads_total"),
		panics:         s.NewCounter(metricPrefix + "panics_total"),
	}
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Opened counts a new connection to an endpoint.
func (m *Metrics) Opened() { m.opened.Inc() }

// ServerError counts an error that one of the node's HTTP servers has reported.
func (m *Metrics) ServerError(server string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`server_errors_total{server=%q}`, server)).Inc()
}

func (m *Metrics) refused(r *refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`refused_total{status="%d",reason=%q}`, r.status, r.reason)).Inc()
}

// ended counts the end of a request; last is how its last attempt ended, if that has got
// no response, and cut says that its caller has a part of a response.
func (m *Metrics) ended(cause, last string, cut bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`ended_total{cause=%q,last=%q,cut="%t"}`, cause, last, cut)).Inc()
}

func (m *Metrics) attempted(a *attempt, res result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`attempts_total{result=%q}`, res)).Inc()
	m.attemptTime.UpdateDuration(a.started)
	m.noticed(a.notice)
}

// noticed counts an endpoint's notices.
func (m *Metrics) noticed(n Notice) {
	if n.Leaving {
		m.set.GetOrCreateCounter(metricPrefix + `notices_total{notice="leaving"}`).Inc()
	}
	if n.Brittle {
		m.set.GetOrCreateCounter(metricPrefix + `notices_total{notice="brittle"}`).Inc()
	}
	if n.Backoff > 0 {
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

// handedOver counts a request that was offered to another node.
func (m *Metrics) handedOver(a *hop, res result) {
	m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`handovers_total{result=%q}`, res)).Inc()
	if a.owner {
		m.set.GetOrCreateCounter(fmt.Sprintf(metricPrefix+`owner_handovers_total{result=%q}`, res)).Inc()
	}
	m.handoverTime.UpdateDuration(a.started)
}

// writeHeldMetrics writes what the node holds for requests in the Prometheus text format.
func (h *Handler) writeHeldMetrics(w io.Writer) {
	metrics.WriteGaugeUint64(w, metricPrefix+"active_requests", uint64(h.Active()))
	metrics.WriteGaugeUint64(w, metricPrefix+"taken_requests", uint64(h.Taken()))
	metrics.WriteGaugeUint64(w, metricPrefix+"held_body_bytes", uint64(h.Held()))
}

func (m *Metrics) observeFirstEvent(c *call) { m.firstEvent.Update(time.Since(c.started).Seconds()) }
