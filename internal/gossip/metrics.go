package gossip

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "bulrushhinge_gossip_"

// Metrics measures the staleness of what a node knows of the others, and the
// traffic.
type Metrics struct {
	set *metrics.Set
	// age is the age of each living node's loads, sampled with each heartbeat;
	// lostAfter how long a node was unreachable when it was declared lost;
	// behind how long this node knew of a newer revision than its own.
	age       *metrics.Histogram
	lostAfter *metrics.Histogram
	behind    *metrics.Histogram
	// sent and received count datagrams and their bytes, dropped those that
	// arrived faster than they were handled.
	sent, sentBytes         *metrics.Counter
	received, receivedBytes *metrics.Counter
	dropped                 *metrics.Counter
	// unsent counts the datagrams that the system did not accept.
	unsent *metrics.Counter
	// busy counts the peers that had no capacity for this node's requests.
	busy *metrics.Counter
}

// NewMetrics returns Metrics whose counters are 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	return &Metrics{
		set:           s,
		age:           s.NewHistogram(metricPrefix + "news_age_seconds"),
		lostAfter:     s.NewHistogram(metricPrefix + "lost_after_seconds"),
		behind:        s.NewHistogram(metricPrefix + "behind_seconds"),
		sent:          s.NewCounter(metricPrefix + `datagrams_total{direction="sent"}`),
		received:      s.NewCounter(metricPrefix + `datagrams_total{direction="received"}`),
		sentBytes:     s.NewCounter(metricPrefix + `bytes_total{direction="sent"}`),
		receivedBytes: s.NewCounter(metricPrefix + `bytes_total{direction="received"}`),
		dropped:       s.NewCounter(metricPrefix + "dropped_total"),
		unsent:        s.NewCounter(metricPrefix + "unsent_total"),
		busy:          s.NewCounter(metricPrefix + "busy_peers_total"),
	}
}

// Write writes all metrics as text.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// observeAges samples the age of the living nodes' loads.
func (m *Metrics) observeAges(t *table, sums *relay.Sums, now time.Time) {
	for _, n := range t.nodes {
		switch {
		case !n.alive:
		case sums.Covers(shortID(n.member.Incarnation)):
			m.age.Update(sums.Age.Seconds())
		default:
			m.age.Update(now.Sub(n.lastSeen).Seconds())
		}
	}
}

func (m *Metrics) countSent(bytes int) {
	m.sent.Inc()
	m.sentBytes.Add(bytes)
}

func (m *Metrics) countReceived(bytes int) {
	m.received.Inc()
	m.receivedBytes.Add(bytes)
}
