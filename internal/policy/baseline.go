package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

type (
	// roundRobin takes the endpoints of a service in turn.
	roundRobin struct{ next int }

	// twoChoices takes the one of two random endpoints that reported less load.
	twoChoices struct{ random *rand.Rand }

	// chatHash takes the endpoints in the chat's rendezvous order.
	chatHash struct{}

	// boundedHash takes the first endpoint of the chat's rendezvous order whose
	// reported load is under the bound.
	boundedHash struct{}
)

// Rank returns the endpoints in order, starting with the next one.
func (p *roundRobin) Rank(_ time.Time, pool *kernel.Pool, _ route.Request) []int {
	list := route.Candidates(pool)
	if len(list) == 0 {
		return nil
	}
	p.next++
	first := p.next % len(list)
	return slices.Concat(list[first:], list[:first])
}

// Rank returns the endpoints in random order, but the less loaded one of the first
// two first.
func (p *twoChoices) Rank(_ time.Time, pool *kernel.Pool, _ route.Request) []int {
	list := route.Candidates(pool)
	p.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > 1 && pool.Endpoints[list[1]].Load.Requests < pool.Endpoints[list[0]].Load.Requests {
		list[0], list[1] = list[1], list[0]
	}
	return list
}

// Rank returns the rendezvous order.
func (chatHash) Rank(_ time.Time, pool *kernel.Pool, r route.Request) []int {
	list := route.Candidates(pool)
	score := func(i int) uint64 { return kernel.Score(r.Chat, pool.Endpoints[i].Name) }
	slices.SortFunc(list, func(a, b int) int {
		return cmp.Compare(score(b), score(a))
	})
	return list
}

// Rank returns the rendezvous order, endpoints under the bound first.
func (boundedHash) Rank(now time.Time, pool *kernel.Pool, r route.Request) []int {
	list := chatHash{}.Rank(now, pool, r)
	limit := pool.Bound * float64(pool.Total.Requests+1) / float64(max(pool.Live, 1))
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(overLimit(pool.Endpoints[a], limit), overLimit(pool.Endpoints[b], limit))
	})
	return list
}

func overLimit(e kernel.Endpoint, limit float64) int {
	if float64(e.Load.Requests+1) > limit {
		return 1
	}
	return 0
}
