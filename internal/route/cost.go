package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Defaults of a CostConfig.
const (
	DefaultWeight  = 1000
	DefaultPower   = 4
	DefaultChoices = 3
)

type (
	// CostConfig is the settings of a cost ranker.
	CostConfig struct {
		// Weight is how many tokens of prefill an endpoint at the mean load is
		// worth to avoid.
		Weight float64
		// Power is how steeply the cost of load rises towards the bound.
		Power float64
		// Choices is how many endpoints of the chat's rendezvous order are
		// weighed first where none is known to hold the chat.
		Choices int
	}

	costRanker struct{ config CostConfig }

	// costed is an endpoint and what it would cost to run a request there.
	costed struct {
		place int
		group int
		cost  float64
		score uint64
	}
)

// Groups of endpoints, in the order of preference.
const (
	groupFirst = iota
	groupOther
	groupSuspect
)

// NewCostRanker returns the Ranker that takes the endpoint with the least cost:
// the uncached part of the prompt, in tokens, or what it costs to import it
// from the endpoint that holds it, and the wait that the endpoint's
// load makes likely.
//
// The load counts by the square of its ratio to the mean. An endpoint near the
// bound is so left to the requests that save most there, while others go where
// there is room, before the bound denies them.
func NewCostRanker(c CostConfig) Ranker {
	c.Weight = cmp.Or(c.Weight, DefaultWeight)
	c.Power = cmp.Or(c.Power, DefaultPower)
	c.Choices = cmp.Or(c.Choices, DefaultChoices)
	return costRanker{config: c}
}

// Rank returns the endpoints by cost.
func (r costRanker) Rank(_ time.Time, pool *kernel.Pool, req Request) []int {
	list := make([]costed, 0, len(pool.Endpoints))
	holder := Holder(pool, req)
	for _, i := range Candidates(pool) {
		list = append(list, r.cost(pool, i, req, holder))
	}
	r.limit(list, req)
	slices.SortFunc(list, func(a, b costed) int {
		return cmp.Or(
			cmp.Compare(a.group, b.group),
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(b.score, a.score),
		)
	})
	order := make([]int, len(list))
	for i, c := range list {
		order[i] = c.place
	}
	return order
}

func (r costRanker) cost(pool *kernel.Pool, place int, req Request, holder *kernel.Endpoint) costed {
	e := &pool.Endpoints[place]
	c := costed{place: place, score: kernel.Score(req.Chat, e.Name)}
	c.cost = uncached(req, e, holder)
	mean := float64(pool.Total.Requests+1) / float64(max(pool.Live, 1))
	ratio := float64(e.Load.Requests) / (mean * pool.Bound)
	if ratio > 0 {
		c.cost += r.config.Weight * math.Pow(ratio, r.config.Power)
	}
	if e.State == kernel.Suspect {
		c.group = groupSuspect
	}
	return c
}

// limit puts the first endpoints of the rendezvous order before others, where
// no endpoint holds the chat.
//
// All nodes see the same lagging loads. Were each to take the least loaded of
// all endpoints, all would take the same one until the loads change, and it
// would be flooded; each chat therefore looks at a few endpoints of its own.
func (r costRanker) limit(list []costed, req Request) {
	if len(req.Cached) > 0 || len(list) <= r.config.Choices {
		return
	}
	slices.SortFunc(list, func(a, b costed) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.score, a.score))
	})
	for i := range list[r.config.Choices:] {
		c := &list[r.config.Choices+i]
		c.group = max(c.group, groupOther)
	}
}
