// Package gate admits work to endpoints. Each endpoint has one home node, whose
// gate grants a permit for every request before it is dispatched, so that no
// endpoint exceeds its bound although each node sees a sliver of the traffic.
package gate

import (
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Verdicts on an ask.
const (
	// Granted is a permit.
	Granted Verdict = iota + 1
	// Full is an endpoint at its bound.
	Full
	// Gone is an endpoint that is leaving or not known.
	Gone
	// NotHome is an ask that reached a node which is not the endpoint's home.
	NotHome
)

type (
	// Config is the settings of a Gate.
	Config struct {
		// View returns the newest view of the node's kernel.
		View func() *kernel.View
		// Rule bounds the endpoints' loads; nil is NewBoundRule.
		Rule Rule
	}

	// Verdict is the answer to an ask.
	Verdict int

	// Ask asks for one permit.
	Ask struct {
		// ID is unique over the fleet.
		ID       uint64
		Endpoint string
		Tokens   int
		// Lease is how long the permit counts unless it is given back.
		Lease time.Duration
		// Suspect is how many endpoints died running the request.
		Suspect int
	}

	// Return gives one permit back.
	Return struct {
		ID       uint64
		Endpoint string
	}

	// Gate holds the permits of the endpoints whose home the node is. It is
	// safe for concurrent use.
	Gate struct {
		config  Config
		mu      sync.Mutex
		permits map[uint64]permit
		loads   map[string]kernel.Load
	}

	permit struct {
		endpoint string
		tokens   int
		expires  time.Time
		suspect  int
	}
)

// New returns an empty Gate.
func New(c Config) *Gate {
	if c.Rule == nil {
		c.Rule = NewBoundRule()
	}
	return &Gate{config: c, permits: map[uint64]permit{}, loads: map[string]kernel.Load{}}
}

// Admit answers an ask.
func (g *Gate) Admit(now time.Time, a Ask) Verdict {
	v := g.config.View()
	e, pool, ok := find(v, a.Endpoint)
	if !ok || e.State == kernel.Leaving {
		return Gone
	}
	if e.Home != v.Self.Name {
		return NotHome
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, held := g.permits[a.ID]; held {
		return Granted
	}
	load := g.loads[a.Endpoint]
	if a.Suspect > 0 && !g.takesSuspect(a) {
		return Full
	}
	if !g.config.Rule.Fits(pool, load, a.Tokens, g.largest(pool)) {
		return Full
	}
	g.permits[a.ID] = permit{endpoint: a.Endpoint, tokens: a.Tokens, expires: now.Add(a.Lease), suspect: a.Suspect}
	g.loads[a.Endpoint] = load.Add(kernel.Load{Requests: 1, Tokens: a.Tokens})
	return Granted
}

// Release gives a permit back. A permit that is not held is ignored.
func (g *Gate) Release(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(id)
}

// Expire drops the permits whose lease has ended.
//
// A node that dies never gives its permits back; its endpoints would seem
// loaded forever and get no work. The lease ends with the request's deadline,
// after which the node would have stopped the request.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.permits {
		if now.After(p.expires) {
			g.release(id)
		}
	}
}

// Loads returns the admitted load of each endpoint that has any or had some,
// sorted by name.
func (g *Gate) Loads() []kernel.EndpointLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := make([]kernel.EndpointLoad, 0, len(g.loads))
	for name, l := range g.loads {
		loads = append(loads, kernel.EndpointLoad{Endpoint: name, Load: l})
	}
	slices.SortFunc(loads, func(a, b kernel.EndpointLoad) int {
		return strings.Compare(a.Endpoint, b.Endpoint)
	})
	return loads
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

func (g *Gate) release(id uint64) {
	p, held := g.permits[id]
	if !held {
		return
	}
	delete(g.permits, id)
	load := g.loads[p.endpoint]
	load.Requests--
	load.Tokens -= p.tokens
	g.loads[p.endpoint] = load
}

func find(v *kernel.View, name string) (kernel.Endpoint, *kernel.Pool, bool) {
	for _, p := range v.Pools {
		if e, ok := p.Endpoint(name); ok {
			return e, p, true
		}
	}
	return kernel.Endpoint{}, nil, false
}
