package route

import (
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

type (
	// Ranker orders the endpoints that may run a request, best first. A Ranker
	// belongs to one Router, which serializes the calls.
	Ranker interface {
		Rank(now time.Time, pool *kernel.Pool, r Request) []kernel.Endpoint
	}

	hashRanker struct{}
)

// NewHashRanker returns the Ranker that takes the holder of the chat's prefix
// first, then the rendezvous order of the chat, live endpoints before suspect
// ones.
func NewHashRanker() Ranker { return hashRanker{} }

// Rank returns the order.
func (hashRanker) Rank(_ time.Time, pool *kernel.Pool, r Request) []kernel.Endpoint {
	order := Candidates(pool)
	rank := func(e kernel.Endpoint) uint64 {
		if e.Name == r.Hint.Endpoint {
			return math.MaxUint64
		}
		return kernel.Score(r.Chat, e.Name)
	}
	slices.SortFunc(order, func(a, b kernel.Endpoint) int {
		if a.State != b.State {
			return int(a.State) - int(b.State)
		}
		ra, rb := rank(a), rank(b)
		switch {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		}
		return 0
	})
	return order
}

// Candidates returns the endpoints of a pool that may take new work, sorted by
// name.
func Candidates(pool *kernel.Pool) []kernel.Endpoint {
	list := make([]kernel.Endpoint, 0, len(pool.Endpoints))
	for _, e := range pool.Endpoints {
		if e.State == kernel.Live || e.State == kernel.Suspect {
			list = append(list, e)
		}
	}
	return list
}
