package permit

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// reportLag is the age of the loads in endpoints' reports.
	reportLag = time.Second
	// reportWeight is the fraction of a reported difference that still counts, as
	// some of the requests that caused it have ended since.
	reportWeight = 0.5
	// reportTTL is how long a reported difference counts.
	reportTTL = 2 * time.Second
	// historySteps is the number of past loads kept per endpoint, one per call of
	// Loads.
	historySteps = 32
)

type (
	// sample is the load that an owner counted for an endpoint at some time.
	sample struct {
		at   time.Time
		load kernel.Load
	}

	// difference is the load that an endpoint reported minus the owner's count.
	difference struct {
		at   time.Time
		load kernel.Load
	}
)

// RecordReport processes an endpoint's own report of its load.
//
// The owner counts a request by its estimated size. If cached prefixes of chats
// turn out to be evicted, or answers are long, an endpoint carries far more than
// its permits say, and only its report shows it. As reports lag, each is compared
// with the owner's count at the time that it describes.
func (g *Gate) RecordReport(now time.Time, endpoint string, l kernel.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	history := g.history[endpoint]
	then := now.Add(-reportLag)
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(then) {
			counted := history[i].load
			excess := kernel.Load{Requests: l.Requests - counted.Requests, Tokens: l.Tokens - counted.Tokens}
			g.differences[endpoint] = difference{at: now, load: excess}
			g.confirmUnreachable(endpoint, then, excess)
			return
		}
	}
}

// recordHistory records the current count for each endpoint that the node owns.
func (g *Gate) recordHistory(now time.Time) {
	for name := range g.history {
		if _, owned := g.owned[name]; !owned {
			delete(g.history, name)
			delete(g.differences, name)
		}
	}
	for name := range g.owned {
		h := g.history[name]
		if n := len(h); n > 0 && !now.After(h[n-1].at) {
			continue
		}
		if len(h) >= historySteps {
			h = h[1:]
		}
		g.history[name] = append(h, sample{at: now, load: g.loads[name]})
	}
}

// correction returns by how much an endpoint's load exceeds the owner's count; it
// is negative if permits outlive their requests. A difference of one request is
// ignored, as it is due to messages under way.
func (g *Gate) correction(now time.Time, endpoint string) kernel.Load {
	d, ok := g.differences[endpoint]
	if !ok || now.Sub(d.at) > reportTTL {
		return kernel.Load{}
	}
	l := kernel.Load{Tokens: int(reportWeight * float64(d.load.Tokens))}
	if d.load.Requests < -1 || d.load.Requests > 1 {
		l.Requests = int(reportWeight * float64(d.load.Requests))
	}
	return l
}
