package gate

import (
	"maps"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// adoptTime is how long a new home takes an endpoint for at least as loaded as
// it last heard: the time in which the other nodes notice the change and tell
// it what they have in progress there.
const adoptTime = 1500 * time.Millisecond

// adoption is an endpoint whose home the node has become.
type adoption struct {
	since time.Time
	// load is the load last heard of before.
	load kernel.Load
}

// adopt notes which endpoints the node is the home of.
func (g *Gate) adopt(v *kernel.View) {
	if g.adopted == v {
		return
	}
	g.adopted = v
	home := make(map[string]adoption, len(g.homes))
	for _, p := range v.Pools {
		for _, e := range p.Endpoints {
			if e.Home != v.Self.Name {
				continue
			}
			a, known := g.homes[e.Name]
			if !known {
				a = adoption{since: v.At, load: e.Load}
			}
			home[e.Name] = a
		}
	}
	g.homes = home
	// Endpoints are replaced all the time; what was learned of those that are
	// gone would be kept for good.
	maps.DeleteFunc(g.learned, func(name string, _ *concurrency) bool {
		_, _, listed := find(v, name)
		return !listed
	})
}

// load returns the load that counts for an endpoint whose home the node is.
func (g *Gate) load(now time.Time, endpoint string) kernel.Load {
	l := g.loads[endpoint]
	hidden := g.hidden(now, endpoint)
	l.Requests = max(l.Requests+hidden.Requests, 0)
	l.Tokens = max(l.Tokens+hidden.Tokens, 0)
	if a := g.homes[endpoint]; now.Sub(a.since) < adoptTime {
		l.Requests = max(l.Requests, a.load.Requests)
		l.Tokens = max(l.Tokens, a.load.Tokens)
	}
	return l
}
