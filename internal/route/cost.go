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
	// CostConfig is the configuration of a cost ranker.
	CostConfig struct {
		// Weight is the cost of the load of an endpoint at its bound, in tokens of
		// prefill.
		Weight float64
		// Power is the exponent with which the cost of load rises towards the bound.
		Power float64
		// Choices is the number of endpoints of the chat's rendezvous order that are
		// considered first if none is known to hold the chat.
		Choices int
	}

	costRanker struct{ config CostConfig }

	// costed is an endpoint and the cost of running a request there.
	costed struct {
		index int
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

// NewCostRanker returns the Ranker that prefers the endpoint with the least cost: the
// uncached part of the prompt, in tokens, or the cost of importing it from the
// endpoint that holds it, plus the probable wait at the endpoint's load.
//
// The cost of load is a power, the fourth by default, of its ratio to the bound. An
// endpoint near the bound is thus left to the requests that save most there, and
// others go where there is room before the bound denies them.
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
	r.preferChoices(list, req)
	slices.SortFunc(list, func(a, b costed) int {
		return cmp.Or(
			cmp.Compare(a.group, b.group),
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(b.score, a.score),
		)
	})
	order := make([]int, len(list))
	for i, c := range list {
		order[i] = c.index
	}
	return order
}

func (r costRanker) cost(pool *kernel.Pool, index int, req Request, holder *kernel.Endpoint) costed {
	e := &pool.Endpoints[index]
	c := costed{index: index, score: kernel.Score(req.Chat, e.Name)}
	c.cost = prefillCost(req, e, holder)
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

// preferChoices puts the first endpoints of the rendezvous order before the others if
// no endpoint holds the chat.
//
// All nodes see the same stale loads. If each took the least loaded of all endpoints,
// all would take the same one until the loads change, and overload it. Each chat
// therefore considers a few endpoints of its own.
func (r costRanker) preferChoices(list []costed, req Request) {
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
