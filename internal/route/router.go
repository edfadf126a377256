package route

import (
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

type (
	// Config is the settings of a Router.
	Config struct {
		// Ranker orders endpoints; nil is NewHashRanker.
		Ranker Ranker
		// Open dispatches without asking homes for permits. It serves
		// comparisons; no bound holds with it.
		Open bool
	}

	// Router makes the plans of a node's requests and holds what they learn
	// from each other. It is safe for concurrent use.
	Router struct {
		config Config
		mu     sync.Mutex
	}
)

// NewRouter returns a Router.
func NewRouter(c Config) *Router {
	if c.Ranker == nil {
		c.Ranker = NewHashRanker()
	}
	return &Router{config: c}
}

// Plan returns the Plan of a request.
func (r *Router) Plan(req Request) *Plan {
	return &Plan{router: r, request: req, tried: map[string]bool{}}
}

func (r *Router) rank(now time.Time, pool *kernel.Pool, req Request) []kernel.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Ranker.Rank(now, pool, req)
}
