package permit

import (
	"maps"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// takeoverPeriod is how long a new owner assumes at least the load that was last
// reported before the takeover: the time in which the other nodes notice the change
// and declare what they have in progress at the endpoint.
const takeoverPeriod = 1500 * time.Millisecond

// ownership is the state of an endpoint that the node owns.
type ownership struct {
	since time.Time
	// load is the load last reported before the takeover.
	load kernel.Load
}

// updateOwned updates the set of endpoints that the node owns.
func (g *Gate) updateOwned(v *kernel.View) {
	if g.ownedView == v {
		return
	}
	g.ownedView = v
	owned := make(map[string]ownership, len(g.owned))
	for _, p := range v.Pools {
		for _, e := range p.Endpoints {
			if e.Owner != v.Self.Name {
				continue
			}
			o, known := g.owned[e.Name]
			if !known {
				o = ownership{since: v.At, load: e.Load}
			}
			owned[e.Name] = o
		}
	}
	g.owned = owned
	// Endpoints are replaced all the time; without this the limits of removed ones
	// would accumulate.
	maps.DeleteFunc(g.limits, func(name string, _ *concurrencyLimit) bool {
		_, _, listed := find(v, name)
		return !listed
	})
}

// load returns the load that counts for an endpoint that the node owns.
func (g *Gate) load(now time.Time, endpoint string) kernel.Load {
	l := g.loads[endpoint]
	correction := g.correction(now, endpoint)
	l.Requests = max(l.Requests+correction.Requests, 0)
	l.Tokens = max(l.Tokens+correction.Tokens, 0)
	if o := g.owned[endpoint]; now.Sub(o.since) < takeoverPeriod {
		l.Requests = max(l.Requests, o.load.Requests)
		l.Tokens = max(l.Tokens, o.load.Tokens)
	}
	return l
}
