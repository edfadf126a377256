package gossip

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "bulrushhinge_gossip_"

// Metrics says how old a node's knowledge of the others is, and what it costs.
type Metrics struct {
	set *metrics.Set
	// age is how old the loads of each living node are, looked at with each
	// heartbeat; silence how long a node was silent when it was taken as lost;
	// behind how long this node knew of a newer revision than its own.
	age     *metrics.Histogram
	silence *metrics.Histogram
	behind  *metrics.Histogram
	// sent and received are datagrams and their bytes, dropped those that came
	// faster than they were handled.
	sent, sentBytes         *metrics.Counter
	received, receivedBytes *metrics.Counter
	dropped                 *metrics.Counter
}

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	return &Metrics{
		set:           s,
		age:           s.NewHistogram(metricPrefix + "news_age_seconds"),
		silence:       s.NewHistogram(metricPrefix + "lost_after_seconds"),
		behind:        s.NewHistogram(metricPrefix + "behind_seconds"),
		sent:          s.NewCounter(metricPrefix + `datagrams_total{direction="sent"}`),
		received:      s.NewCounter(metricPrefix + `datagrams_total{direction="received"}`),
		sentBytes:     s.NewCounter(metricPrefix + `bytes_total{direction="sent"}`),
		receivedBytes: s.NewCounter(metricPrefix + `bytes_total{direction="received"}`),
		dropped:       s.NewCounter(metricPrefix + "dropped_total"),
	}
}

// Write writes all metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// aged notes how old the news of the living nodes is.
func (m *Metrics) aged(t *table, sums *relay.Sums, now time.Time) {
	for _, n := range t.nodes {
		switch {
		case !n.alive:
		case sums.Covers(short(n.member.Incarnation)):
			m.age.Update(sums.Age.Seconds())
		default:
			m.age.Update(now.Sub(n.heard).Seconds())
		}
	}
}

func (m *Metrics) out(bytes int) {
	m.sent.Inc()
	m.sentBytes.Add(bytes)
}

func (m *Metrics) in(bytes int) {
	m.received.Inc()
	m.receivedBytes.Add(bytes)
}
