package gate

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// heardTime is how long a sum that came with a permit message may be newer than
// what heartbeats told.
const heardTime = time.Second

type (
	// heardKey is a node and a service of whose endpoints it told the sum.
	heardKey struct {
		node    string
		service string
	}

	// heardSum is the load of all endpoints of a service that have one home.
	heardSum struct {
		at   time.Time
		load kernel.Load
	}
)

// Own returns the load of the node's own endpoints of the service that an
// endpoint belongs to.
func (g *Gate) Own(now time.Time, endpoint string) kernel.Load {
	v := g.config.View()
	_, pool, ok := find(v, endpoint)
	if !ok {
		return kernel.Load{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adopt(v)
	return g.own(now, v, pool)
}

// Heard takes in the sum that a node told of its own endpoints, of the service
// that an endpoint belongs to.
//
// The mean that bounds an endpoint's load is taken over loads that other homes
// told, by up to a heartbeat ago. At a few tens of requests a second the total
// changes by a tenth in that time, more than the margin of the bound. Permit
// messages pass between the same nodes far more often, and the sum costs them a
// few bytes.
func (g *Gate) Heard(now time.Time, node, endpoint string, l kernel.Load) {
	_, pool, ok := find(g.config.View(), endpoint)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[heardKey{node, pool.Service.Name}] = heardSum{at: now, load: l}
}

func (g *Gate) own(now time.Time, v *kernel.View, p *kernel.Pool) kernel.Load {
	var sum kernel.Load
	for _, e := range p.Endpoints {
		if e.Home == v.Self.Name && e.State == kernel.Live {
			sum = sum.Add(g.load(now, e.Name))
		}
	}
	return sum
}

// current returns a pool whose total is as new as can be told: the node's own
// endpoints as they are now, those of other homes as last heard.
func (g *Gate) current(now time.Time, v *kernel.View, p *kernel.Pool) *kernel.Pool {
	type viewed struct {
		load kernel.Load
		at   time.Time
	}
	homes := map[string]viewed{}
	for _, e := range p.Endpoints {
		if e.State != kernel.Live {
			continue
		}
		h := homes[e.Home]
		h.load = h.load.Add(e.Load)
		if e.Reported.After(h.at) {
			h.at = e.Reported
		}
		homes[e.Home] = h
	}
	fresh := *p
	for home, h := range homes {
		newest := h.load
		heard, ok := g.heard[heardKey{home, p.Service.Name}]
		switch {
		case home == v.Self.Name:
			newest = g.own(now, v, p)
		case ok && heard.at.After(h.at) && now.Sub(heard.at) < heardTime:
			newest = heard.load
		}
		fresh.Total.Requests += newest.Requests - h.load.Requests
		fresh.Total.Tokens += newest.Tokens - h.load.Tokens
	}
	return &fresh
}
