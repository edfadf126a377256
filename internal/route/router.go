package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// hearTime is how long a load that a home reported out of turn is newer than
// the one in the view.
const hearTime = 300 * time.Millisecond

type (
	// Config is the settings of a Router.
	Config struct {
		// Ranker orders endpoints; nil is NewCostRanker with its defaults.
		Ranker Ranker
		// Open dispatches without asking homes for permits. It serves
		// comparisons; no bound holds with it.
		Open bool
		// Memory is how many recent chats are remembered.
		Memory int
		// Whole counts prompts and allowed answers whole as load, whatever is
		// cached and however short answers turn out.
		Whole bool
	}

	// Router makes the plans of a node's requests and holds what they learn
	// from each other. It is safe for concurrent use.
	Router struct {
		config Config
		mu     sync.Mutex
		chats  *memory
		sizes  *estimates
		heard  map[string]hearing
	}

	// hearing is a load that a home reported out of turn.
	hearing struct {
		at   time.Time
		load kernel.Load
	}

	// Usage is what became known of a request once it ran.
	Usage struct {
		// Endpoint ran the request.
		Endpoint string
		// Output is the tokens of the answer; 0 while it is not known.
		Output int
	}
)

// NewRouter returns a Router.
func NewRouter(c Config) *Router {
	if c.Ranker == nil {
		c.Ranker = NewCostRanker(CostConfig{})
	}
	c.Memory = cmp.Or(c.Memory, DefaultMemory)
	return &Router{config: c, chats: newMemory(c.Memory), sizes: newEstimates(), heard: map[string]hearing{}}
}

// Plan returns the Plan of a request.
func (r *Router) Plan(req Request) *Plan {
	req.Cached = r.cached(req)
	return &Plan{router: r, request: req, tried: map[string]bool{}}
}

// Learn tells what became known of a request that ran.
func (r *Router) Learn(req Request, u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chats.put(req.Chat, place{endpoint: u.Endpoint, tokens: req.Input + u.Output})
	if u.Output > 0 {
		r.sizes.learn(req, u.Output)
	}
}

// cached returns what endpoints are believed to hold of a request's prompt.
func (r *Router) cached(req Request) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := map[string]int{}
	if p, ok := r.chats.get(req.Chat); ok {
		held[p.endpoint] = min(p.tokens, req.Input)
	}
	if h := req.Hint; h.Endpoint != "" {
		held[h.Endpoint] = min(h.Tokens, req.Input)
	}
	return held
}

// work is the load that a request will probably be at an endpoint, in tokens.
func (r *Router) work(req Request, endpoint string) int {
	if r.config.Whole {
		return req.Input + req.Output
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(req.Input-req.Cached[endpoint], 0) + r.sizes.output(req)
}

// Observe tells loads that a home reported out of turn.
func (r *Router) Observe(now time.Time, loads []kernel.EndpointLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		r.heard[l.Endpoint] = hearing{at: now, load: l.Load}
	}
}

// fresh returns a pool with the loads that were reported since the view.
func (r *Router) fresh(now time.Time, pool *kernel.Pool) *kernel.Pool {
	if len(r.heard) == 0 {
		return pool
	}
	p := *pool
	p.Endpoints = slices.Clone(pool.Endpoints)
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		h, ok := r.heard[e.Name]
		switch {
		case !ok:
		case now.Sub(h.at) > hearTime:
			delete(r.heard, e.Name)
		default:
			e.Load = h.load
		}
	}
	return &p
}

func (r *Router) rank(now time.Time, pool *kernel.Pool, req Request) []kernel.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Ranker.Rank(now, r.fresh(now, pool), req)
}
