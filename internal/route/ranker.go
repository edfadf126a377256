package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

type (
	// Ranker orders the endpoints that may run a request. A Ranker belongs to
	// one Router, which serializes the calls.
	Ranker interface {
		// Rank returns the indices of the endpoints in the pool, best first.
		Rank(now time.Time, pool *kernel.Pool, r Request) []int
	}

	hashRanker struct{}

	// scored is an endpoint's index and its score in the rendezvous order.
	scored struct {
		index int
		state kernel.State
		score uint64
	}
)

// NewHashRanker returns the Ranker that prefers the holder of the chat's prefix, then
// follows the chat's rendezvous order, live endpoints before suspect ones.
func NewHashRanker() Ranker { return hashRanker{} }

// Rank returns the endpoints in that order.
func (hashRanker) Rank(_ time.Time, pool *kernel.Pool, r Request) []int {
	list := make([]scored, 0, len(pool.Endpoints))
	for _, i := range Candidates(pool) {
		e := &pool.Endpoints[i]
		s := scored{index: i, state: e.State, score: kernel.Score(r.Chat, e.Name)}
		if e.Name == r.Hint.Endpoint {
			s.score = math.MaxUint64
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(b.score, a.score))
	})
	order := make([]int, len(list))
	for i, s := range list {
		order[i] = s.index
	}
	return order
}

// Candidates returns the indices of the endpoints of a pool that may be sent new
// work, in the order of their names.
func Candidates(pool *kernel.Pool) []int {
	list := make([]int, 0, len(pool.Endpoints))
	for i := range pool.Endpoints {
		if pool.Endpoints[i].Takes() {
			list = append(list, i)
		}
	}
	return list
}
