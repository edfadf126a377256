package permit

import (
	"slices"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Loads returns the load of each endpoint that the node owns, sorted by name.
func (g *Gate) Loads() []kernel.EndpointLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.config.View()
	g.updateOwned(v)
	g.recordHistory(v.At)
	loads := make([]kernel.EndpointLoad, 0, len(g.owned))
	for name := range g.owned {
		loads = append(loads, kernel.EndpointLoad{Endpoint: name, Load: g.load(v.At, name)})
	}
	slices.SortFunc(loads, func(a, b kernel.EndpointLoad) int {
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	return loads
}

// serviceLoads returns the loads of the endpoints that the node owns, of the
// service that the given endpoint belongs to.
func (g *Gate) serviceLoads(endpoint string) []kernel.EndpointLoad {
	_, pool, ok := find(g.config.View(), endpoint)
	if !ok {
		return nil
	}
	return slices.DeleteFunc(g.Loads(), func(l kernel.EndpointLoad) bool {
		_, same := pool.Endpoint(l.Endpoint)
		return !same
	})
}

// largestRequest returns the largest token count of the permits for endpoints of
// the pool.
func (g *Gate) largestRequest(p *kernel.Pool) int {
	largest := 0
	for _, held := range g.permits {
		if held.tokens <= largest {
			continue
		}
		if _, ok := p.Endpoint(held.endpoint); ok {
			largest = held.tokens
		}
	}
	return largest
}

func find(v *kernel.View, name string) (kernel.Endpoint, *kernel.Pool, bool) {
	for _, p := range v.Pools {
		if e, ok := p.Endpoint(name); ok {
			return e, p, true
		}
	}
	return kernel.Endpoint{}, nil, false
}
