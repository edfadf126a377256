package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// reportTTL is how long a load that an owner reported in a permit reply takes
// precedence over the one in the view.
const reportTTL = 300 * time.Millisecond

type (
	// Config is the configuration of a Router.
	Config struct {
		// Ranker orders endpoints; nil is NewCostRanker with its defaults.
		Ranker Ranker
		// NoPermits dispatches without requesting permits from owners. It is for
		// comparisons; no bound holds with it.
		NoPermits bool
		// Rule decides which endpoints would deny a permit; nil is the owners'
		// default rule.
		Rule permit.Rule
		// Import is the cost of importing a cached token relative to computing it, by
		// service; endpoints of other services cannot import.
		Import map[string]float64
		// Memory is the number of recent chats that are remembered.
		Memory int
		// Whole counts the whole prompt and the longest allowed answer as load,
		// regardless of what is cached and of how long answers usually are.
		Whole bool
	}

	// Router makes the plans of a node's requests and keeps what they learn for later
	// ones. It is safe for concurrent use.
	Router struct {
		config    Config
		mu        sync.Mutex
		chats     *chatCache
		estimates *estimates
		hitRates  *hitRates
		// retryBudget bounds the retries of all requests.
		retryBudget *retryBudget
		loadReports map[string]loadReport
	}

	// loadReport is a load that an owner reported in a permit reply.
	loadReport struct {
		at   time.Time
		load kernel.Load
	}

	// Usage is what is known of a request after its run.
	Usage struct {
		// Endpoint ran the request.
		Endpoint string
		// Done is set once the answer has ended; the fields below are valid then.
		Done bool
		// Output is the number of tokens of the answer, Cached that of the prompt
		// tokens that the endpoint held; negative if the endpoint did not report it.
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
		c.Rule = permit.NewBoundRule()
	}
	c.Memory = cmp.Or(c.Memory, DefaultMemory)
	return &Router{config: c, chats: newChatCache(c.Memory), estimates: newEstimates(), hitRates: newHitRates(), retryBudget: newRetryBudget(), loadReports: map[string]loadReport{}}
}

// Plan returns the Plan of a request.
func (r *Router) Plan(now time.Time, req Request) *Plan {
	p := &Plan{router: r, request: req, planned: now, tried: map[string]bool{}, failed: map[string]bool{}, failedZones: map[string]bool{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryBudget.credit()
	p.request.Import = r.config.Import[req.Service]
	p.lastKnown = r.lastKnown(req)
	if p.lastKnown.endpoint != "" {
		hitRate := r.hitRates.rate(now.Sub(p.lastKnown.at))
		held := int(hitRate * float64(min(p.lastKnown.tokens, req.Input)))
		p.request.Cached = map[string]int{p.lastKnown.endpoint: held}
	}
	return p
}

// lastKnown returns the last known location of a chat, from its hint or from this
// node's memory.
func (r *Router) lastKnown(req Request) location {
	p, _ := r.chats.get(req.Chat)
	if h := req.Hint; h.Endpoint != "" && !h.At.Before(p.at.Truncate(time.Second)) {
		p = location{endpoint: h.Endpoint, tokens: h.Tokens, at: h.At}
	}
	return p
}

// learn records what the run of a request has shown.
func (r *Router) learn(now time.Time, p *Plan, u Usage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	req := p.request
	if req.Chat != "" {
		r.chats.put(req.Chat, location{endpoint: u.Endpoint, tokens: req.Input + u.Output, at: now})
	}
	if !u.Done {
		return
	}
	r.estimates.learn(req, u.Output)
	known := p.lastKnown
	if expected := min(known.tokens, req.Input); expected > 0 && u.Cached >= 0 && (known.endpoint == u.Endpoint || p.importedFrom == known.endpoint) {
		r.hitRates.learn(p.planned.Sub(known.at), float64(u.Cached)/float64(expected))
	}
}

// workTokens is the expected load of a request at an endpoint, in tokens.
func (r *Router) workTokens(pool *kernel.Pool, req Request, endpoint string) int {
	if r.config.Whole {
		return req.Input + req.Output
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expectedTokens(pool, req, endpoint)
}

func (r *Router) expectedTokens(pool *kernel.Pool, req Request, endpoint string) int {
	held := req.Cached[endpoint]
	if s := Source(pool, req, endpoint); s.Name != "" {
		held = req.Cached[s.Name]
	}
	return max(req.Input-held, 0) + r.estimates.output(req)
}

// Observe records loads that an owner reported in a permit reply.
func (r *Router) Observe(now time.Time, loads []kernel.EndpointLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		r.loadReports[l.Endpoint] = loadReport{at: now, load: l.Load}
	}
}

// withReports returns a pool with the loads that were reported since the view.
func (r *Router) withReports(now time.Time, pool *kernel.Pool) *kernel.Pool {
	if len(r.loadReports) == 0 {
		return pool
	}
	p := *pool
	p.Endpoints = slices.Clone(pool.Endpoints)
	for i := range p.Endpoints {
		e := &p.Endpoints[i]
		report, ok := r.loadReports[e.Name]
		switch {
		case !ok:
		case now.Sub(report.at) > reportTTL:
			delete(r.loadReports, e.Name)
		default:
			e.Load = report.load
		}
	}
	return &p
}

// wouldDeny reports whether an endpoint's owner would deny a permit, as far as this
// node knows. Requesting one costs a message and a round trip.
func (r *Router) wouldDeny(pool *kernel.Pool, req Request, e *kernel.Endpoint) bool {
	work := r.expectedTokens(pool, req, e.Name)
	return !r.config.Rule.Fits(pool, e.Load, work, work)
}

// rank returns the endpoints for a request, best first. If a permit was requested
// before, endpoints whose owners would probably deny one come last.
func (r *Router) rank(now time.Time, pool *kernel.Pool, req Request, asked bool) ([]int, *kernel.Pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pool = r.withReports(now, pool)
	order := r.config.Ranker.Rank(now, pool, req)
	if !asked {
		return order, pool
	}
	var room, denying []int
	for _, i := range order {
		if r.wouldDeny(pool, req, &pool.Endpoints[i]) {
			denying = append(denying, i)
		} else {
			room = append(room, i)
		}
	}
	return append(room, denying...), pool
}
