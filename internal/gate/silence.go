package gate

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// silence is what nodes that cannot be heard hold at one endpoint.
type silence struct {
	// since is when the last of them fell silent.
	since time.Time
	held  kernel.Load
	// reported is set once the endpoint has told of a time after that, and runs
	// is then what it ran beyond what the others held.
	reported bool
	runs     kernel.Load
}

// running returns the load that a further request at an endpoint adds to.
func (g *Gate) running(now time.Time, endpoint string) kernel.Load {
	counted := g.load(now, endpoint)
	s, ok := g.silent[endpoint]
	if !ok {
		return counted
	}
	l := s.held
	if s.reported {
		l.Requests = min(l.Requests, max(s.runs.Requests, 0))
		l.Tokens = min(l.Tokens, max(s.runs.Tokens, 0))
	}
	l = l.Add(g.loads[endpoint])
	return kernel.Load{Requests: max(l.Requests, counted.Requests), Tokens: max(l.Tokens, counted.Tokens)}
}

// countSilent adds to what silent nodes hold at an endpoint.
func (g *Gate) countSilent(endpoint string, l kernel.Load) {
	s := g.silent[endpoint]
	s.held = s.held.Add(l)
	g.silent[endpoint] = s
	if s.held.Requests == 0 {
		delete(g.silent, endpoint)
	}
}

// hush notes that the node of a permit has fallen silent: reports from before say
// nothing of it.
func (g *Gate) hush(now time.Time, p permit) {
	if s, ok := g.silent[p.endpoint]; ok && p.silent {
		s.since, s.reported = now, false
		g.silent[p.endpoint] = s
	}
}

// confirm takes in what an endpoint ran at a time beyond what the nodes held that
// can be heard.
func (g *Gate) confirm(endpoint string, at time.Time, beyond kernel.Load) {
	s, ok := g.silent[endpoint]
	if !ok || at.Before(s.since) {
		return
	}
	s.reported, s.runs = true, beyond
	g.silent[endpoint] = s
}
