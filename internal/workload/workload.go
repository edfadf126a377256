// Package workload generates traces with the sizes of the first deployments: returning
// chats with pauses, a few large client accounts, demand that halves at night and
// surges in the morning, and a fleet that changes meanwhile. Time is compressed: a day
// takes five minutes.
package workload

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	nodes    = 8
	accounts = 10
	// Day is the length of a trace.
	Day = 5 * time.Minute

	seedStream = 0x7ace
)

// ErrUnknown is returned for an unknown workload name.
var ErrUnknown = errors.New("workload: unknown")

// demandCurve is the demand over the day, interpolated linearly between its points.
var demandCurve = []point{
	{0, 0.5},
	{Day * 15 / 100, 0.5},
	{Day * 21 / 100, 1.6},
	{Day * 31 / 100, 1.6},
	{Day * 37 / 100, 1},
	{Day * 80 / 100, 1},
	{Day * 86 / 100, 0.5},
	{Day, 0.5},
}

var shapes = map[string]shape{"thies": thies, "karamanlis": karamanlis}

type (
	// shape holds the parameters of one deployment's workload.
	shape struct {
		name      string
		bound     float64
		delay     time.Duration
		zones     []string
		models    []trace.Model
		endpoints map[string]int
		// rate is the requests a second by day, over all accounts.
		rate  float64
		tasks []task
	}

	// task is one kind of request.
	task struct {
		model string
		// share is the task's share of the new chats.
		share float64
		// first and later are the new input tokens of a chat's first turn and of its
		// later turns.
		first, later sizes
		output       sizes
		// turns is the mean number of turns of a chat.
		turns    float64
		pause    time.Duration
		deadline time.Duration
		once     bool
		priority int
	}

	// point is a point of the demand curve.
	point struct {
		at     time.Duration
		demand float64
	}

	// sizes is a range of token counts.
	sizes struct{ low, high int }

	// chat is a chat that may return for another turn.
	chat struct {
		name    string
		account string
		task    *task
		tokens  int
		due     time.Duration
	}

	generator struct {
		shape  shape
		random *rand.Rand
		trace  *trace.Trace
		chats  int
		// waiting holds the chats that will return, by account, the earliest first.
		waiting map[string][]*chat
	}
)

// Make returns the trace of a named workload: thies or karamanlis.
func Make(name string, seed uint64) (*trace.Trace, error) {
	s, ok := shapes[name]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	m := &generator{
		shape:   s,
		random:  rand.New(rand.NewPCG(seed, seedStream)),
		trace:   &trace.Trace{},
		waiting: map[string][]*chat{},
	}
	m.header(seed)
	m.requests()
	m.churn()
	slices.SortStableFunc(m.trace.Events, func(a, b trace.Event) int {
		return int(a.At - b.At)
	})
	return m.trace, nil
}

func (g *generator) header(seed uint64) {
	h := &g.trace.Header
	h.Name, h.Seed, h.Bound = g.shape.name, seed, g.shape.bound
	h.Delay, h.Zones, h.Models = trace.Duration(g.shape.delay), g.shape.zones, g.shape.models
	for i := range nodes {
		h.Nodes = append(h.Nodes, trace.Node{Instance: fmt.Sprintf("n%d", i+1), Zone: g.zone(i)})
	}
	for _, model := range g.shape.models {
		for i := range g.shape.endpoints[model.Name] {
			h.Endpoints = append(h.Endpoints, trace.Endpoint{
				Endpoint: endpointName(model, i+1), Zone: g.zone(i), Model: model.Name,
			})
		}
	}
	for i := range accounts {
		h.Accounts = append(h.Accounts, trace.Account{Account: accountName(i)})
	}
}

func (g *generator) zone(i int) string { return g.shape.zones[i%len(g.shape.zones)] }

func accountName(i int) string { return fmt.Sprintf("a%d", i+1) }

func endpointName(m trace.Model, i int) string {
	if m.Plain {
		return fmt.Sprintf("p%d", i)
	}
	return fmt.Sprintf("w%d", i)
}

// requests generates the requests: a Poisson process for each account, whose arrivals
// are returning chats that are due, or new ones.
func (g *generator) requests() {
	const peak = 4
	for i := range accounts {
		account := accountName(i)
		peakRate := g.shape.rate * share(i) * peak
		at := time.Duration(0)
		for {
			at += time.Duration(g.random.ExpFloat64() / peakRate * float64(time.Second))
			if at >= Day {
				break
			}
			if g.random.Float64()*peak < demand(i, at) {
				g.request(account, at)
			}
		}
	}
}

func (g *generator) request(account string, at time.Duration) {
	c := g.next(account, at)
	t := c.task
	input := g.size(t.later)
	if c.tokens == 0 {
		input = g.size(t.first)
	}
	output := g.size(t.output)
	g.trace.Events = append(g.trace.Events, trace.Event{
		At: trace.Duration(at), Kind: trace.Ask, Account: account, Chat: c.name, Model: t.model,
		Prefix: c.tokens, Input: input, Output: output, Once: t.once, Priority: t.priority,
		Deadline: trace.Duration(t.deadline),
	})
	c.tokens += input + output
	if g.random.Float64() < 1/t.turns {
		return
	}
	c.due = at + t.deadline + time.Duration(g.random.ExpFloat64()*float64(t.pause))
	list := g.waiting[account]
	index, _ := slices.BinarySearchFunc(list, c, func(a, b *chat) int { return int(a.due - b.due) })
	g.waiting[account] = slices.Insert(list, index, c)
}

// next returns the earliest chat that is due, or a new one.
func (g *generator) next(account string, at time.Duration) *chat {
	if list := g.waiting[account]; len(list) > 0 && list[0].due <= at {
		g.waiting[account] = list[1:]
		return list[0]
	}
	g.chats++
	c := &chat{name: fmt.Sprintf("c%d", g.chats), account: account}
	draw := g.random.Float64()
	for i := range g.shape.tasks {
		c.task = &g.shape.tasks[i]
		if draw -= c.task.share; draw < 0 {
			break
		}
	}
	return c
}

func (g *generator) size(s sizes) int { return s.low + g.random.IntN(s.high-s.low+1) }

// share returns an account's share of the demand: three accounts are large and seven
// small.
func share(i int) float64 {
	large := []float64{0.30, 0.20, 0.15}
	if i < len(large) {
		return large[i]
	}
	return 0.05
}

// demand returns an account's demand relative to its daytime demand: half at night, a
// surge in the morning, and during the day a surge of one large account, which begins
// and ends abruptly.
func demand(account int, at time.Duration) float64 {
	const (
		surge     = 3.0
		surgeFrom = Day * 60 / 100
		surgeTo   = Day * 67 / 100
	)
	if account == 0 && at >= surgeFrom && at < surgeTo {
		return surge
	}
	for i := 1; i < len(demandCurve); i++ {
		from, to := demandCurve[i-1], demandCurve[i]
		if at < to.at {
			fraction := float64(at-from.at) / float64(to.at-from.at)
			return from.demand + fraction*(to.demand-from.demand)
		}
	}
	return demandCurve[len(demandCurve)-1].demand
}
