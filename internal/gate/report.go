package gate

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// reportLag is how old the loads are that endpoints report.
	reportLag = time.Second
	// reportShare is the part of a reported difference that still counts: some
	// of the requests that made it have ended since.
	reportShare = 0.5
	// reportTime is how long a reported difference counts.
	reportTime = 2 * time.Second
	// historySteps is how many past loads are kept of an endpoint, one for
	// each Loads.
	historySteps = 32
)

type (
	// past is what a home counted as an endpoint's load at some time.
	past struct {
		at   time.Time
		load kernel.Load
	}

	// difference is by how much the work at an endpoint was more than the
	// home's count of it.
	difference struct {
		at   time.Time
		load kernel.Load
	}
)

// Reported takes in an endpoint's own report of its load.
//
// The home counts a request by what was expected of it. Where chats' prefixes
// turn out to be gone, or answers long, an endpoint carries far more than its
// permits say, and nothing else would tell. The report does, late: it is
// compared with what the home counted at the time it speaks of.
func (g *Gate) Reported(now time.Time, endpoint string, l kernel.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	history := g.history[endpoint]
	then := now.Add(-reportLag)
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(then) {
			counted := history[i].load
			beyond := kernel.Load{Requests: l.Requests - counted.Requests, Tokens: l.Tokens - counted.Tokens}
			g.differences[endpoint] = difference{at: now, load: beyond}
			g.confirm(endpoint, then, beyond)
			return
		}
	}
}

// remember keeps what the node counts as the load of its endpoints.
func (g *Gate) remember(now time.Time) {
	for name := range g.history {
		if _, home := g.homes[name]; !home {
			delete(g.history, name)
			delete(g.differences, name)
		}
	}
	for name := range g.homes {
		h := g.history[name]
		if n := len(h); n > 0 && !now.After(h[n-1].at) {
			continue
		}
		if len(h) >= historySteps {
			h = h[1:]
		}
		g.history[name] = append(h, past{at: now, load: g.loads[name]})
	}
}

// hidden returns what an endpoint carries beyond the home's count; it is below
// zero where permits outlive their requests. One request more or less is due to
// messages under way.
func (g *Gate) hidden(now time.Time, endpoint string) kernel.Load {
	d, ok := g.differences[endpoint]
	if !ok || now.Sub(d.at) > reportTime {
		return kernel.Load{}
	}
	l := kernel.Load{Tokens: int(reportShare * float64(d.load.Tokens))}
	if d.load.Requests < -1 || d.load.Requests > 1 {
		l.Requests = int(reportShare * float64(d.load.Requests))
	}
	return l
}
