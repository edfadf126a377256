package balance

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// reportTTL is how long a load that an endpoint reports counts. Requests of plain
// services last 30 to 60 ms, and queues of a few dozen are empty after half a second.
const reportTTL = 400 * time.Millisecond

// reports are the loads that endpoints report in their answers, to any node.
//
// The request counts that nodes send each other lack those of unreachable nodes. The
// endpoint's own report includes them all.
type reports struct {
	// local are the reports that this node received itself, latest those of all
	// nodes.
	local  map[uint32]*report
	latest map[uint32]*report
}

// report is the last load that an endpoint has reported, and when, and its last
// slowdown.
type report struct {
	load int
	at   time.Time
	// slots is how many requests the endpoint runs at once by its own report; 0 if it
	// is unknown.
	slots    int
	slowdown slowdown
}

func newReports() *reports {
	return &reports{local: map[uint32]*report{}, latest: map[uint32]*report{}}
}

// SetReportedLoad records the number of requests, running and waiting, that an endpoint
// reports.
func (b *Balancer) SetReportedLoad(now time.Time, s deployment.Start, load int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports.set(s.Key(), now, load, 0)
}

// Reports returns the loads that endpoints have reported to this node since a time,
// by their Keys, for the other nodes. Expired ones are left out: the receivers would
// count them as new.
func (b *Balancer) Reports(now, since time.Time) map[uint32]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	recent := make(map[uint32]int)
	for key, r := range b.reports.local {
		if r.at.After(since) && now.Sub(r.at) < reportTTL {
			recent[key] = r.load
		}
	}
	return recent
}

// AddReports adds the reports received from another node.
func (b *Balancer) AddReports(now time.Time, list map[uint32]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, load := range list {
		r := of(b.reports.latest, key)
		r.load, r.at = load, now
	}
}

// Utilization returns the ratio of an endpoint's reported requests to its slots; 0 if it has
// reported nothing recently.
func (b *Balancer) Utilization(now time.Time, e *deployment.Endpoint, s deployment.Service) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.reports.load(e.Start().Key(), now)) / float64(slots(e, s))
}

// load returns the last reported load of an endpoint; 0 if that has expired.
func (r *reports) load(key uint32, now time.Time) int {
	return r.latest[key].currentLoad(now)
}

// currentLoad returns the reported load; 0 if there is none or it has expired.
func (r *report) currentLoad(now time.Time) int {
	if r != nil && now.Sub(r.at) < reportTTL {
		return r.load
	}
	return 0
}

// of returns the report of an endpoint, an empty one if there was none.
func of(list map[uint32]*report, key uint32) *report {
	r := list[key]
	if r == nil {
		r = &report{}
		list[key] = r
	}
	return r
}

// set records a load and, if not 0, the slots that an endpoint reports to this node.
func (r *reports) set(key uint32, now time.Time, load, slots int) {
	for _, list := range []map[uint32]*report{r.local, r.latest} {
		rep := of(list, key)
		rep.load, rep.at, rep.slots = load, now, slots
	}
}

// forget drops expired reports.
func (r *reports) forget(now time.Time, decayTime time.Duration) {
	for key, rep := range r.latest {
		if now.Sub(rep.at) >= reportTTL && now.Sub(rep.slowdown.at) >= slowdownTTL*decayTime {
			delete(r.latest, key)
			delete(r.local, key)
		}
	}
}
