package balance

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// reportFor is how long an endpoint's own word on its load counts. Requests of
// plain services last 30 to 60 ms, and queues of some tens empty in half a
// second.
const reportFor = 400 * time.Millisecond

// reports are what endpoints say of their load in their answers, to any node.
//
// What nodes tell each other of their requests lacks those of nodes that cannot
// be heard. The endpoint's own word covers all.
type reports struct {
	// own are those that this node got itself.
	own map[uint32]report
	all map[uint32]report
}

type report struct {
	load int
	at   time.Time
}

func newReports() *reports { return &reports{own: map[uint32]report{}, all: map[uint32]report{}} }

// Reported takes how many requests an endpoint says that it has, running and
// waiting.
func (b *Balancer) Reported(now time.Time, s deployment.Start, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := report{load: load, at: now}
	b.reports.own[s.Key()], b.reports.all[s.Key()] = r, r
}

// Reports returns what endpoints have said to this node since a time, by their
// Keys, for the other nodes. What no longer counts here is not told: to the
// others it would be new.
func (b *Balancer) Reports(now, since time.Time) map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := make(map[uint32]int)
	for key, r := range b.reports.own {
		if r.at.After(since) && now.Sub(r.at) < reportFor {
			news[key] = r.load
		}
	}
	return news
}

// ReportsHeard takes the same from another node.
func (b *Balancer) ReportsHeard(now time.Time, list map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, load := range list {
		b.reports.all[key] = report{load: load, at: now}
	}
}

// Busy returns how often an endpoint's requests, by its own word, fill its
// slots; 0 if it has said nothing lately.
func (b *Balancer) Busy(now time.Time, e *deployment.Endpoint, s deployment.Service) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.reports.load(e.Start().Key(), now)) / float64(slots(e, s))
}

// load returns the newest word on an endpoint's load, 0 if that is too old.
func (r *reports) load(key uint32, now time.Time) int {
	if known := r.all[key]; now.Sub(known.at) < reportFor {
		return known.load
	}
	return 0
}

// forget drops what is too old to count.
func (r *reports) forget(now time.Time) {
	for key, known := range r.all {
		if now.Sub(known.at) >= reportFor {
			delete(r.all, key)
			delete(r.own, key)
		}
	}
}
