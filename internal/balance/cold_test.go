package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// coldRate is the number of requests a second that a cold engine sustains,
	// coldBound the most that it may be sent in any second: one and a half times
	// that, and five.
	coldRate  = 18.0
	coldBound = 32
)

// engines returns the service for the tests of cold engines.
func engines() deployment.Service {
	return deployment.Service{Name: "s", Model: true, Slots: 8, Cold: 3 * time.Second, ColdRate: coldRate}
}

// coldFleet is a fleet whose nodes see the same endpoints.
type coldFleet struct {
	nodes []*balance.Balancer
	list  []*deployment.Endpoint
	now   time.Time
	// known is how many nodes each of them knows.
	known int
	sent  map[string][]time.Time
}

func newColdFleet(nodes, known, warm, cold int, seed uint64) *coldFleet {
	random := rand.New(rand.NewPCG(seed, 0))
	f := &coldFleet{list: endpoints(warm + cold), now: time.Now().Add(time.Minute), known: known, sent: map[string][]time.Time{}}
	for _, e := range f.list[warm:] {
		e.ColdUntil = f.now.Add(time.Hour)
	}
	for range nodes {
		f.nodes = append(f.nodes, balance.New(balance.Config{
			Loads: peers{}, Nodes: func() int { return f.known }, Draw: random.Float64,
		}))
	}
	return f
}

// send passes one request to a node, and reports whether the node sends it on.
func (f *coldFleet) send(node int, key string) bool {
	b := f.nodes[node]
	c := b.Choose(f.now, f.list, balance.Request{Service: engines(), Key: key})
	if c == nil {
		return false
	}
	if c.Cold {
		f.sent[c.Endpoint.ID] = append(f.sent[c.Endpoint.ID], f.now)
	}
	b.Release(f.now, c.Endpoint.Start(), balance.Served)
	return true
}

// maxPerSecond returns the most requests that an endpoint was sent within one second.
func (f *coldFleet) maxPerSecond() int {
	most := 0
	for _, times := range f.sent {
		from := 0
		for to := range times {
			for times[to].Sub(times[from]) >= time.Second {
				from++
			}
			most = max(most, to-from+1)
		}
	}
	return most
}

// Guards against engines that crash again and again after a start, under the requests
// of all nodes together.
func TestColdEnginesGetFewRequestsFromAllNodes(t *testing.T) {
	cases := []struct {
		name string
		// known is the number of nodes that each of them knows; the others are
		// partitioned, and know as few.
		nodes, known int
		seeds        uint64
	}{
		{name: "small", nodes: 8, known: 8, seeds: 40},
		{name: "middle", nodes: 85, known: 85, seeds: 10},
		{name: "a third is partitioned and forgotten", nodes: 85, known: 57, seeds: 10},
		{name: "large", nodes: 195, known: 195, seeds: 4},
		{name: "the largest", nodes: 330, known: 330, seeds: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				f := newColdFleet(c.nodes, c.known, 0, 3, seed)
				served := 0
				// Each node has a hundred requests a second for as long as an engine
				// is cold.
				for range 300 {
					f.now = f.now.Add(10 * time.Millisecond)
					for n := range f.nodes {
						if f.send(n, "hot") {
							served++
						}
					}
				}
				require.LessOrEqual(t, f.maxPerSecond(), coldBound, "seed %d", seed)
				require.Greater(t, served, 3*3*int(coldRate)/4, "capacity of cold engines stays unused, seed %d", seed)
			}
		})
	}
}

// A cold engine is sent nothing while warm engines have room; if they have none, it
// is sent a few requests rather than none at all.
func TestWarmEnginesArePreferred(t *testing.T) {
	f := newColdFleet(8, 8, 3, 3, 1)
	for n := range 400 {
		f.now = f.now.Add(10 * time.Millisecond)
		require.True(t, f.send(n%8, fmt.Sprint("part", n%50)))
	}
	require.Zero(t, f.maxPerSecond())
	for _, e := range f.list[:3] {
		e.Draining = true
	}
	served := 0
	for n := range 400 {
		f.now = f.now.Add(10 * time.Millisecond)
		if f.send(n%8, fmt.Sprint("part", n%50)) {
			served++
		}
	}
	require.Positive(t, served)
	require.LessOrEqual(t, f.maxPerSecond(), coldBound)
}

// Guards against a burst of fifty requests in the 100 ms in which an engine announces
// that it is warm, some of them before it is.
func TestNodesReturnGraduallyToAWarmEngine(t *testing.T) {
	f := newColdFleet(85, 85, 1, 1, 1)
	f.list[0].Draining = true
	engine, end := f.list[1], f.now.Add(3*time.Second)
	engine.ColdUntil = end
	before, busiest, tenth := 0, 0, 0
	for step := range 500 {
		f.now = f.now.Add(10 * time.Millisecond)
		if step%10 == 0 {
			busiest, tenth = max(busiest, tenth), 0
		}
		// Each node has one request waiting for the engine.
		for n, b := range f.nodes {
			if b == nil {
				continue
			}
			c := b.Choose(f.now, f.list, balance.Request{Service: engines(), Key: "doc"})
			switch {
			case c == nil:
			case c.Cold:
				b.Release(f.now, c.Endpoint.Start(), balance.Served)
			default:
				if f.now.Before(end.Add(200 * time.Millisecond)) {
					before++
				}
				tenth++
				f.nodes[n] = nil
			}
		}
	}
	require.Zero(t, before)
	require.LessOrEqual(t, busiest, 85*2/5)
	for _, b := range f.nodes {
		require.Nil(t, b, "all nodes return")
	}
}

// sharedLoads are the requests that a node's peers have in progress: those of all
// without the node's own.
type sharedLoads struct {
	noPeers
	all, own map[uint32]int
}

func (c sharedLoads) Others(key uint32) int { return c.all[key] - c.own[key] }

// Guards against half of all requests reaching engines with more than twice the mean
// load: cold engines must take what is above the bound of the warm ones.
func TestColdEnginesTakeLoadAboveTheBound(t *testing.T) {
	const nodes, zone = 40, 20
	f := newColdFleet(nodes, nodes, 2*zone, zone, 1)
	for i, e := range f.list {
		e.Slots, e.Evacuated = 64, i >= zone && i < 2*zone
	}
	all, owns := map[uint32]int{}, make([]map[uint32]int, nodes)
	random := rand.New(rand.NewPCG(2, 0))
	for n := range f.nodes {
		owns[n] = map[uint32]int{}
		f.nodes[n] = balance.New(balance.Config{Loads: sharedLoads{all: all, own: owns[n]}, Nodes: func() int { return nodes }, Draw: random.Float64})
	}
	type running struct {
		node int
		at   *deployment.Endpoint
	}
	var run []running
	service := deployment.Service{Name: "s", Model: true, Slots: 64, ColdRate: coldRate}
	over, counts := 0, 0
	// 470 requests a second, each of which lasts for a second.
	for n := range 470 * 4 {
		f.now = f.now.Add(time.Second / 470)
		if len(run) >= 470 {
			key := run[0].at.Start().Key()
			all[key]--
			owns[run[0].node][key]--
			f.nodes[run[0].node].Release(f.now, run[0].at.Start(), balance.Served)
			run = run[1:]
		}
		c := f.nodes[n%nodes].Choose(f.now, f.list, balance.Request{Service: service, Key: fmt.Sprint("part", random.IntN(600))})
		require.NotNil(t, c)
		require.False(t, c.Endpoint.Evacuated)
		if c.Cold {
			f.sent[c.Endpoint.ID] = append(f.sent[c.Endpoint.ID], f.now)
		}
		key := c.Endpoint.Start().Key()
		all[key]++
		owns[n%nodes][key]++
		run = append(run, running{node: n % nodes, at: c.Endpoint})
		if n > 470*2 {
			counts++
			if float64(all[key]) > 2*470.0/(3*zone)+3 {
				over++
			}
		}
	}
	require.LessOrEqual(t, f.maxPerSecond(), coldBound)
	require.LessOrEqual(t, over, counts*3/100)
}

// A node that has just started does not know how many others there are.
func TestNewNodeAssumesALargeFleet(t *testing.T) {
	served := func(settled time.Duration) int {
		f := newColdFleet(1, 1, 0, 1, 1)
		f.now = time.Now().Add(settled)
		n := 0
		for range 100 {
			f.now = f.now.Add(10 * time.Millisecond)
			if f.send(0, "part") {
				n++
			}
		}
		return n
	}
	require.LessOrEqual(t, served(0), 2)
	require.GreaterOrEqual(t, served(time.Minute), 4)
}

// The prefill rate measured on an engine while it is cold is not used afterwards.
func TestColdEnginesDoNotAffectThePrefillRate(t *testing.T) {
	for _, c := range []struct {
		name string
		cold bool
	}{{name: "warm"}, {name: "cold", cold: true}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			list := endpoints(1)
			if c.cold {
				list[0].ColdUntil = now.Add(time.Second)
			}
			b := balance.New(balance.Config{Loads: peers{}, Draw: func() float64 { return 0.999999 }})
			r := balance.Request{Service: engines(), Key: "doc", Prompt: balance.Prompt{Shared: 10_000}}
			choice := send(b, now, list, r)
			require.Equal(t, c.cold, choice.Cold)
			b.PrefillDone(now, choice, 10*time.Second)
			b.Release(now, choice.Endpoint.Start(), balance.Served)
			list[0].ColdUntil = time.Time{}
			next := send(b, now, list, balance.Request{Service: engines(), Key: "other", Prompt: balance.Prompt{Shared: 10_000}})
			require.Equal(t, c.cold, next.PrefillTime == 0)
		})
	}
}
