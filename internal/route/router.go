package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/gate"
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
		// Rule tells which endpoints would deny a permit; nil is that of the
		// homes.
		Rule gate.Rule
		// Import is what importing a cached token costs, over computing it
		// anew, by service; services that are missing cannot import.
		Import map[string]float64
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
		hits   *hits
		// retries bounds the repeats of all requests.
		retries *budget
		heard   map[string]hearing
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
		// Done is set once the answer has ended; what follows is known then.
		Done bool
		// Output is the tokens of the answer, Cached those of the prompt that
		// the endpoint had; negative where it did not say.
		Output int
		Cached int
	}
)

// NewRouter returns a Router.
func NewRouter(c Config) *Router {
	if c.Ranker == nil {
		c.Ranker = NewCostRanker(CostConfig{})
	}
	if c.Rule == nil {
		c.Rule = gate.NewBoundRule()
	}
	c.Memory = cmp.Or(c.Memory, DefaultMemory)
	return &Router{config: c, chats: newMemory(c.Memory), sizes: newEstimates(), hits: newHits(), retries: newBudget(), heard: map[string]hearing{}}
}

// Plan returns the Plan of a request.
func (r *Router) Plan(now time.Time, req Request) *Plan {
	p := &Plan{router: r, request: req, planned: now, tried: map[string]bool{}, failed: map[string]bool{}, failedZones: map[string]bool{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retries.earn()
	p.request.Import = r.config.Import[req.Service]
	p.believed = r.believed(req)
	if p.believed.endpoint != "" {
		share := r.hits.share(now.Sub(p.believed.at))
		held := int(share * float64(min(p.believed.tokens, req.Input)))
		p.request.Cached = map[string]int{p.believed.endpoint: held}
	}
	return p
}

// believed returns where the newest word of a chat places it.
func (r *Router) believed(req Request) place {
	p, _ := r.chats.get(req.Chat)
	if h := req.Hint; h.Endpoint != "" && !h.At.Before(p.at.Truncate(time.Second)) {
		p = place{endpoint: h.Endpoint, tokens: h.Tokens, at: h.At}
	}
	return p
}

// learn notes what became known of a request that ran.
func (r *Router) learn(now time.Time, p *Plan, u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := p.request
	if req.Chat != "" {
		r.chats.put(req.Chat, place{endpoint: u.Endpoint, tokens: req.Input + u.Output, at: now})
	}
	if !u.Done {
		return
	}
	r.sizes.learn(req, u.Output)
	b := p.believed
	if expected := min(b.tokens, req.Input); expected > 0 && u.Cached >= 0 && (b.endpoint == u.Endpoint || p.from == b.endpoint) {
		r.hits.learn(p.planned.Sub(b.at), float64(u.Cached)/float64(expected))
	}
}

// work is the load that a request will probably be at an endpoint, in tokens.
func (r *Router) work(pool *kernel.Pool, req Request, endpoint string) int {
	if r.config.Whole {
		return req.Input + req.Output
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expected(pool, req, endpoint)
}

func (r *Router) expected(pool *kernel.Pool, req Request, endpoint string) int {
	held := req.Cached[endpoint]
	if s := Source(pool, req, endpoint); s.Name != "" {
		held = req.Cached[s.Name]
	}
	return max(req.Input-held, 0) + r.sizes.output(req)
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

// full reports whether an endpoint's home would deny a permit, as far as the
// node can tell. Asking there costs a message and a round trip.
func (r *Router) full(pool *kernel.Pool, req Request, e *kernel.Endpoint) bool {
	work := r.expected(pool, req, e.Name)
	return !r.config.Rule.Fits(pool, e.Load, work, work)
}

// rank returns the endpoints for a request, best first. Once a home has denied
// the request, those that probably would too come last.
func (r *Router) rank(now time.Time, pool *kernel.Pool, req Request, informed bool) ([]int, *kernel.Pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool = r.fresh(now, pool)
	order := r.config.Ranker.Rank(now, pool, req)
	if !informed {
		return order, pool
	}
	var room, full []int
	for _, i := range order {
		if r.full(pool, req, &pool.Endpoints[i]) {
			full = append(full, i)
		} else {
			room = append(room, i)
		}
	}
	return append(room, full...), pool
}
