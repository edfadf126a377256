package gate

import (
	"slices"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Loads returns the load of each endpoint whose home the node is, sorted by
// name.
func (g *Gate) Loads() []kernel.EndpointLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.config.View()
	g.adopt(v)
	g.remember(v.At)
	loads := make([]kernel.EndpointLoad, 0, len(g.homes))
	for name := range g.homes {
		loads = append(loads, kernel.EndpointLoad{Endpoint: name, Load: g.load(v.At, name)})
	}
	slices.SortFunc(loads, func(a, b kernel.EndpointLoad) int {
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	return loads
}

// loadsBeside returns the loads of the node's endpoints of the same service.
func (g *Gate) loadsBeside(endpoint string) []kernel.EndpointLoad {
	_, pool, ok := find(g.config.View(), endpoint)
	if !ok {
		return nil
	}
	return slices.DeleteFunc(g.Loads(), func(l kernel.EndpointLoad) bool {
		_, beside := pool.Endpoint(l.Endpoint)
		return !beside
	})
}

// largest is the most tokens of a permit held for an endpoint of the pool.
func (g *Gate) largest(p *kernel.Pool) int {
	most := 0
	for _, held := range g.permits {
		if held.tokens <= most {
			continue
		}
		if _, ok := p.Endpoint(held.endpoint); ok {
			most = held.tokens
		}
	}
	return most
}

func find(v *kernel.View, name string) (kernel.Endpoint, *kernel.Pool, bool) {
	for _, p := range v.Pools {
		if e, ok := p.Endpoint(name); ok {
			return e, p, true
		}
	}
	return kernel.Endpoint{}, nil, false
}
