// Package workload makes traces of the sizes that the first deployments have:
// returning chats with pauses, a few large client accounts, demand that halves
// at night, mornings that surge, and a fleet that changes meanwhile. Time is
// compressed: a day takes five minutes.
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

// ErrUnknown is returned for a name that no workload has.
var ErrUnknown = errors.New("workload: unknown")

// curve is the demand over the day; between two points it is a line.
var curve = []point{
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
	// shape is what tells one deployment's workload from another's.
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

	// task is one kind of work.
	task struct {
		model string
		// share is that of the tasks that start anew.
		share float64
		// first and later are the new tokens of a chat's first and later turns.
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

	// chat is a chat that may come back.
	chat struct {
		name    string
		account string
		task    *task
		held    int
		due     time.Duration
	}

	maker struct {
		shape  shape
		random *rand.Rand
		trace  *trace.Trace
		chats  int
		// waiting is the chats that will come back, by account, the earliest
		// first.
		waiting map[string][]*chat
	}
)

// Make returns the trace of a named workload: thies or karamanlis.
func Make(name string, seed uint64) (*trace.Trace, error) {
	s, ok := shapes[name]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrUnknown, name)
	}
	m := &maker{
		shape:   s,
		random:  rand.New(rand.NewPCG(seed, seedStream)),
		trace:   &trace.Trace{},
		waiting: map[string][]*chat{},
	}
	m.header(seed)
	m.asks()
	m.churn()
	slices.SortStableFunc(m.trace.Events, func(a, b trace.Event) int {
		return int(a.At - b.At)
	})
	return m.trace, nil
}

func (m *maker) header(seed uint64) {
	h := &m.trace.Header
	h.Name, h.Seed, h.Bound = m.shape.name, seed, m.shape.bound
	h.Delay, h.Zones, h.Models = trace.Duration(m.shape.delay), m.shape.zones, m.shape.models
	for i := range nodes {
		h.Nodes = append(h.Nodes, trace.Node{Instance: fmt.Sprintf("n%d", i+1), Zone: m.zone(i)})
	}
	for _, model := range m.shape.models {
		for i := range m.shape.endpoints[model.Name] {
			h.Endpoints = append(h.Endpoints, trace.Endpoint{
				Endpoint: endpointName(model, i+1), Zone: m.zone(i), Model: model.Name,
			})
		}
	}
	for i := range accounts {
		h.Accounts = append(h.Accounts, trace.Account{Account: accountName(i)})
	}
}

func (m *maker) zone(i int) string { return m.shape.zones[i%len(m.shape.zones)] }

func accountName(i int) string { return fmt.Sprintf("a%d", i+1) }

func endpointName(m trace.Model, i int) string {
	if m.Plain {
		return fmt.Sprintf("p%d", i)
	}
	return fmt.Sprintf("w%d", i)
}

// asks makes the requests: a Poisson process for each account, whose arrivals
// are chats that are due again or new ones.
func (m *maker) asks() {
	const peak = 4
	for i := range accounts {
		account := accountName(i)
		most := m.shape.rate * share(i) * peak
		at := time.Duration(0)
		for {
			at += time.Duration(m.random.ExpFloat64() / most * float64(time.Second))
			if at >= Day {
				break
			}
			if m.random.Float64()*peak < demand(i, at) {
				m.ask(account, at)
			}
		}
	}
}

func (m *maker) ask(account string, at time.Duration) {
	c := m.next(account, at)
	t := c.task
	input := m.size(t.later)
	if c.held == 0 {
		input = m.size(t.first)
	}
	output := m.size(t.output)
	m.trace.Events = append(m.trace.Events, trace.Event{
		At: trace.Duration(at), Kind: trace.Ask, Account: account, Chat: c.name, Model: t.model,
		Prefix: c.held, Input: input, Output: output, Once: t.once, Priority: t.priority,
		Deadline: trace.Duration(t.deadline),
	})
	c.held += input + output
	if m.random.Float64() < 1/t.turns {
		return
	}
	c.due = at + t.deadline + time.Duration(m.random.ExpFloat64()*float64(t.pause))
	list := m.waiting[account]
	place, _ := slices.BinarySearchFunc(list, c, func(a, b *chat) int { return int(a.due - b.due) })
	m.waiting[account] = slices.Insert(list, place, c)
}

// next returns the chat that is due, or a new one.
func (m *maker) next(account string, at time.Duration) *chat {
	if list := m.waiting[account]; len(list) > 0 && list[0].due <= at {
		m.waiting[account] = list[1:]
		return list[0]
	}
	m.chats++
	c := &chat{name: fmt.Sprintf("c%d", m.chats), account: account}
	draw := m.random.Float64()
	for i := range m.shape.tasks {
		c.task = &m.shape.tasks[i]
		if draw -= c.task.share; draw < 0 {
			break
		}
	}
	return c
}

func (m *maker) size(s sizes) int { return s.low + m.random.IntN(s.high-s.low+1) }

// share is the part of the demand that an account makes: three large ones and
// seven small.
func share(i int) float64 {
	large := []float64{0.30, 0.20, 0.15}
	if i < len(large) {
		return large[i]
	}
	return 0.05
}

// demand is an account's demand over that of the day: half at night, a surge
// in the morning, and by day one of a large account, which comes and goes at
// once.
func demand(account int, at time.Duration) float64 {
	const (
		surge     = 3.0
		surgeFrom = Day * 60 / 100
		surgeTo   = Day * 67 / 100
	)
	if account == 0 && at >= surgeFrom && at < surgeTo {
		return surge
	}
	for i := 1; i < len(curve); i++ {
		from, to := curve[i-1], curve[i]
		if at < to.at {
			part := float64(at-from.at) / float64(to.at-from.at)
			return from.demand + part*(to.demand-from.demand)
		}
	}
	return curve[len(curve)-1].demand
}
