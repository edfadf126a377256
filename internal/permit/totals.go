package permit

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// ownerTotalTTL is how long a total from a permit message replaces older values
// from heartbeats.
const ownerTotalTTL = time.Second

type (
	// totalKey identifies the total of the endpoints of a service that a node owns.
	totalKey struct {
		node    string
		service string
	}

	// ownerTotal is the load of all endpoints of a service that have the same
	// owner.
	ownerTotal struct {
		at   time.Time
		load kernel.Load
	}
)

// OwnedLoad returns the total load of the endpoints that the node owns, of the service
// that the given endpoint belongs to.
func (g *Gate) OwnedLoad(now time.Time, endpoint string) kernel.Load {
	v := g.config.View()
	_, pool, ok := find(v, endpoint)
	if !ok {
		return kernel.Load{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateOwned(v)
	return g.ownedLoad(now, v, pool)
}

// SetOwnerTotal records the total load that a node reported for the endpoints it owns, of
// the service that the given endpoint belongs to.
//
// The mean that bounds an endpoint's load includes loads reported by other owners,
// which are up to a heartbeat old. At a few tens of requests per second the total
// changes by a tenth in that time, more than the margin of the bound. Permit
// messages pass between the same nodes far more often, and the total adds only a
// few bytes to them.
func (g *Gate) SetOwnerTotal(now time.Time, node, endpoint string, l kernel.Load) {
	_, pool, ok := find(g.config.View(), endpoint)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ownerTotals[totalKey{node, pool.Service.Name}] = ownerTotal{at: now, load: l}
}

func (g *Gate) ownedLoad(now time.Time, v *kernel.View, p *kernel.Pool) kernel.Load {
	var sum kernel.Load
	for _, e := range p.Endpoints {
		if e.Owner == v.Self.Name && e.State == kernel.Live {
			sum = sum.Add(g.load(now, e.Name))
		}
	}
	return sum
}

// withCurrentTotal returns a copy of the pool with the most recent total: the
// current loads of the endpoints that the node owns, and the last reported ones of
// the others.
func (g *Gate) withCurrentTotal(now time.Time, v *kernel.View, p *kernel.Pool) *kernel.Pool {
	type lastReport struct {
		load kernel.Load
		at   time.Time
	}
	owners := map[string]lastReport{}
	for _, e := range p.Endpoints {
		if e.State != kernel.Live {
			continue
		}
		h := owners[e.Owner]
		h.load = h.load.Add(e.Load)
		if e.Reported.After(h.at) {
			h.at = e.Reported
		}
		owners[e.Owner] = h
	}
	updated := *p
	for owner, h := range owners {
		newest := h.load
		total, ok := g.ownerTotals[totalKey{owner, p.Service.Name}]
		switch {
		case owner == v.Self.Name:
			newest = g.ownedLoad(now, v, p)
		case ok && total.at.After(h.at) && now.Sub(total.at) < ownerTotalTTL:
			newest = total.load
		}
		updated.Total.Requests += newest.Requests - h.load.Requests
		updated.Total.Tokens += newest.Tokens - h.load.Tokens
	}
	return &updated
}
