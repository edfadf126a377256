package capacity_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/builtin"
	"bulrushhinge.example/bulrushhinge/internal/capacity"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

var models = []string{"large", "small"}

// node is a kernel alone in its fleet, with endpoints that carry out orders.
type node struct {
	*kernel.Kernel
	now    time.Time
	meter  *capacity.Meter
	demand map[string]int
	loaded map[string][]string
	fences map[string]uint64
	orders []kernel.Order
}

func newNode(revision uint64) *node {
	n := &node{
		now: time.Unix(1000, 0), meter: capacity.NewMeter(), demand: map[string]int{},
		loaded: map[string][]string{}, fences: map[string]uint64{},
	}
	n.Kernel, _ = builtin.New(kernel.Node{Name: "n1", Zone: "z", Incarnation: 1}, builtin.Config{
		Capacity: capacity.Config{Meter: n.meter},
	})
	var list []kernel.Instance
	for i := range 8 {
		name := fmt.Sprintf("e%d", i)
		list = append(list, kernel.Instance{
			Name: name, Kind: kernel.KindEndpoint, Zone: "z", Service: "s",
			Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1)),
		})
		n.loaded[name] = models[:1]
	}
	n.accept(revision)
	n.Step(n.now, kernel.Instances{Version: 1, List: list})
	return n
}

func (n *node) accept(revision uint64) {
	n.Step(n.now, kernel.Accepted{Manifest: &manifest.Manifest{
		Revision: revision, Zones: []manifest.Zone{{Name: "z"}},
		Models:   []manifest.Model{{Name: "large"}, {Name: "small", Adapters: []string{"tags"}}},
		Services: []manifest.Service{{Name: "s", Kind: manifest.KindChat, Models: models, Fenced: true}},
	}})
}

// run advances time. Endpoints report each second and carry out orders whose
// fencing number is high enough.
func (n *node) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(kernel.DefaultTick)
		if n.now.UnixMilli()%1000 == 0 {
			n.report()
		}
		for _, a := range n.Step(n.now, kernel.Tick{}) {
			if o, ok := a.(kernel.Order); ok {
				n.applyOrder(o)
			}
		}
	}
}

func (n *node) report() {
	for model, tokens := range n.demand {
		n.meter.Add(n.now, model, tokens)
	}
	for i := range 8 {
		name := fmt.Sprintf("e%d", i)
		ev := kernel.LoadReported{Endpoint: name, Models: n.loaded[name], Fence: n.fences[name]}
		if len(n.loaded[name]) == 1 && n.loaded[name][0] == "small" {
			ev.Adapters = []string{"tags"}
		}
		n.Step(n.now, ev)
	}
}

func (n *node) applyOrder(o kernel.Order) {
	n.orders = append(n.orders, o)
	accepted := o.Fence > n.fences[o.Endpoint]
	if accepted {
		n.fences[o.Endpoint] = o.Fence
		n.loaded[o.Endpoint] = o.Models
	}
	n.Step(n.now, kernel.OrderEnded{Endpoint: o.Endpoint, Accepted: accepted, Fence: n.fences[o.Endpoint]})
}

func (n *node) countLoaded(model string) int {
	count := 0
	for _, loaded := range n.loaded {
		if loaded[0] == model {
			count++
		}
	}
	return count
}

func TestModelsFollowDemandWithHysteresis(t *testing.T) {
	n := newNode(1)
	n.demand = map[string]int{"large": 500, "small": 500}
	n.run(time.Minute)
	require.Equal(t, 4, n.countLoaded("small"))
	settled := len(n.orders)
	// A short peak changes nothing.
	n.demand["small"] = 1500
	n.run(10 * time.Second)
	n.demand["small"] = 500
	n.run(2 * time.Minute)
	require.Len(t, n.orders, settled)
	// A lasting peak moves two endpoints and no others.
	n.demand["small"] = 1500
	n.run(5 * time.Minute)
	require.Equal(t, 6, n.countLoaded("small"))
	require.Len(t, n.orders, settled+2)
	// A model without demand keeps one endpoint.
	n.demand = map[string]int{"small": 1000}
	n.run(10 * time.Minute)
	require.Equal(t, 1, n.countLoaded("large"))
}

// Guards against a paused node that orders an endpoint back to the models of before
// the pause, which another node has changed since.
func TestResumedNodeWaitsBeforeOrdering(t *testing.T) {
	n := newNode(1)
	n.demand = map[string]int{"large": 500, "small": 500}
	n.run(time.Minute)
	settled := len(n.orders)
	n.now = n.now.Add(5 * time.Minute)
	for name := range n.loaded {
		n.loaded[name] = models[:1]
		n.fences[name]++
	}
	resumed := n.now
	n.run(8 * time.Second)
	require.Len(t, n.orders, settled)
	n.run(time.Minute)
	require.Greater(t, len(n.orders), settled, "it orders again later, with higher fencing numbers")
	require.Equal(t, 4, n.countLoaded("small"))
	require.GreaterOrEqual(t, n.now.Sub(resumed), time.Minute)
}

func TestNodeWithOldRevisionOrdersNothing(t *testing.T) {
	n := newNode(3)
	for name := range n.loaded {
		n.fences[name], _ = capacity.NextFence(0, 4)
	}
	n.demand = map[string]int{"small": 1000}
	n.run(2 * time.Minute)
	require.Empty(t, n.orders, "the endpoints have seen a newer revision")
	n.accept(5)
	n.run(2 * time.Minute)
	require.NotEmpty(t, n.orders)
	require.Equal(t, 7, n.countLoaded("small"))
}

func TestNextFence(t *testing.T) {
	first, ok := capacity.NextFence(0, 7)
	require.True(t, ok)
	second, ok := capacity.NextFence(first, 7)
	require.True(t, ok)
	require.Greater(t, second, first)
	newer, ok := capacity.NextFence(second, 8)
	require.True(t, ok)
	require.Greater(t, newer, second)
	_, ok = capacity.NextFence(newer, 7)
	require.False(t, ok)
}

func TestAssignMovesFewEndpoints(t *testing.T) {
	endpoints := make([]string, 20)
	for i := range endpoints {
		endpoints[i] = fmt.Sprintf("e%d", i)
	}
	before := capacity.Assign(models, capacity.Counts{"large": 10, "small": 10}, endpoints)
	after := capacity.Assign(models, capacity.Counts{"large": 11, "small": 9}, endpoints)
	moved := 0
	for _, e := range endpoints {
		require.Len(t, after[e], 1)
		if before[e][0] != after[e][0] {
			moved++
		}
	}
	require.Equal(t, 1, moved)
	few := capacity.Assign([]string{"a", "b", "c"}, capacity.Counts{"a": 1, "b": 1, "c": 1}, endpoints[:2])
	require.Len(t, few[endpoints[0]], 2)
	require.Len(t, few[endpoints[1]], 1)
}
