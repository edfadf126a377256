package permit

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// unreachableLoad is the work of unreachable nodes at one endpoint.
type unreachableLoad struct {
	// since is when the last of these nodes became unreachable.
	since time.Time
	held  kernel.Load
	// reported is set once the endpoint has reported its load at a time after
	// since; excess is then its load beyond the permits of reachable nodes.
	reported bool
	excess   kernel.Load
}

// effectiveLoad returns the load that an endpoint is assumed to carry when a
// further request is admitted, including the work of unreachable nodes.
func (g *Gate) effectiveLoad(now time.Time, endpoint string) kernel.Load {
	counted := g.load(now, endpoint)
	s, ok := g.unreachable[endpoint]
	if !ok {
		return counted
	}
	l := s.held
	if s.reported {
		l.Requests = min(l.Requests, max(s.excess.Requests, 0))
		l.Tokens = min(l.Tokens, max(s.excess.Tokens, 0))
	}
	l = l.Add(g.loads[endpoint])
	return kernel.Load{Requests: max(l.Requests, counted.Requests), Tokens: max(l.Tokens, counted.Tokens)}
}

// countUnreachable adds to the work of unreachable nodes at an endpoint.
func (g *Gate) countUnreachable(endpoint string, l kernel.Load) {
	s := g.unreachable[endpoint]
	s.held = s.held.Add(l)
	g.unreachable[endpoint] = s
	if s.held.Requests == 0 {
		delete(g.unreachable, endpoint)
	}
}

// resetReport notes that the node of a permit has become unreachable: earlier
// reports do not show what it still runs.
func (g *Gate) resetReport(now time.Time, p permit) {
	if s, ok := g.unreachable[p.endpoint]; ok && p.unreachable {
		s.since, s.reported = now, false
		g.unreachable[p.endpoint] = s
	}
}

// confirmUnreachable records the load that an endpoint reported for a time, beyond
// the permits of reachable nodes.
func (g *Gate) confirmUnreachable(endpoint string, at time.Time, excess kernel.Load) {
	s, ok := g.unreachable[endpoint]
	if !ok || at.Before(s.since) {
		return
	}
	s.reported, s.excess = true, excess
	g.unreachable[endpoint] = s
}
