package pool_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/builtin"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/pool"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// node is the kernel of the only node in its fleet, so that it owns all endpoints.
type node struct {
	*kernel.Kernel
	now  time.Time
	list []kernel.Instance
	sent []kernel.EndpointLoad
}

func newNode(endpoints int) *node {
	n := &node{now: time.Unix(1000, 0)}
	self := kernel.Node{Name: "n1", Zone: "z1", Incarnation: 7}
	n.Kernel, _ = builtin.New(self, builtin.Config{Pool: pool.Config{
		Dispatched: func() []kernel.EndpointLoad { return n.sent },
	}})
	for i := range endpoints {
		n.list = append(n.list, kernel.Instance{
			Name: fmt.Sprintf("e%d", i), Kind: kernel.KindEndpoint, Zone: "z1", Service: "s",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	n.Step(n.now, kernel.Accepted{Manifest: &manifest.Manifest{
		Revision: 1, Zones: []manifest.Zone{{Name: "z1"}}, Services: []manifest.Service{{Name: "s"}},
	}})
	n.Step(n.now, kernel.Instances{Version: 1, List: n.list})
	return n
}

func (n *node) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(kernel.DefaultTick)
		n.Step(n.now, kernel.Tick{})
	}
}

// state returns an endpoint's state, kernel.Dead if it is not in the view.
func (n *node) state(name string) kernel.State {
	e, ok := n.View().Pools["s"].Endpoint(name)
	if !ok {
		return kernel.Dead
	}
	return e.State
}

// flap makes an endpoint fail for some seconds and answer again.
func (n *node) flap(name string) {
	for range 4 {
		n.Step(n.now, kernel.EndpointFailed{Endpoint: name})
		n.run(time.Second)
	}
	n.Step(n.now, kernel.LoadReported{Endpoint: name})
	n.run(kernel.DefaultTick)
}

func TestDeadEndpointOnAStaleListGetsNoWork(t *testing.T) {
	// Guards against attempts at an endpoint that died long ago but is still listed.
	n := newNode(3)
	for range 4 {
		n.Step(n.now, kernel.EndpointFailed{Endpoint: "e1"})
		n.run(time.Second)
	}
	require.Equal(t, kernel.Dead, n.state("e1"))
	require.Len(t, n.View().Probes, 3, "the owner still polls it")
	n.Step(n.now, kernel.Instances{Version: 2, List: n.list})
	n.run(time.Second)
	require.Equal(t, kernel.Dead, n.state("e1"))
	n.Step(n.now, kernel.LoadReported{Endpoint: "e1"})
	n.run(kernel.DefaultTick)
	require.Equal(t, kernel.Live, n.state("e1"), "the first flap starts no hold-down")
}

func TestHoldDownDoublesForFlappingEndpoint(t *testing.T) {
	// Guards against many failed attempts at a flapping endpoint.
	n := newNode(3)
	var quiet []time.Duration
	for range 4 {
		n.flap("e1")
		begin := n.now
		for n.state("e1") == kernel.Suspect {
			n.run(kernel.DefaultTick)
		}
		quiet = append(quiet, n.now.Sub(begin).Round(time.Second))
	}
	require.Equal(t, []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second}, quiet)
}

func TestLeavingEndsWithTheIncarnation(t *testing.T) {
	// Guards against an endpoint that never gets work again after it was replaced under
	// the same name, and against a list without the notice that gives work to a leaving
	// one.
	n := newNode(2)
	n.Step(n.now, kernel.LoadReported{Endpoint: "e1", Incarnation: 1, Leaving: true})
	n.Step(n.now, kernel.LoadReported{Endpoint: "e1", Incarnation: 1})
	n.Step(n.now, kernel.Instances{Version: 2, List: n.list})
	n.run(time.Second)
	require.Equal(t, kernel.Leaving, n.state("e1"))
	n.Step(n.now, kernel.LoadReported{Endpoint: "e1", Incarnation: 2})
	n.run(kernel.DefaultTick)
	require.Equal(t, kernel.Live, n.state("e1"))
}

func TestPartialListKeepsLiveEndpoints(t *testing.T) {
	// Guards against a partial list that removes endpoints although all of them answer.
	n := newNode(8)
	n.Step(n.now, kernel.Instances{Version: 2, List: n.list[:1]})
	n.run(time.Second)
	require.Len(t, n.View().Pools["s"].Endpoints, 8)
	n.Step(n.now, kernel.Instances{Version: 3, List: n.list[:7]})
	n.run(time.Second)
	require.Len(t, n.View().Pools["s"].Endpoints, 7, "an ordinary change applies at once")
}

func TestOwnDispatchesCorrectALaggedLoad(t *testing.T) {
	// Guards against a burst of requests to an endpoint that seems idle because its
	// reported load is out of date.
	n := newNode(1)
	peer := kernel.Instance{Name: "n2", Kind: kernel.KindNode, Zone: "z1"}
	beat := func(requests int) {
		n.Step(n.now, kernel.HeartbeatReceived{Heartbeat: &kernel.Heartbeat{
			Node: "n2", Incarnation: 9, Intro: &kernel.Intro{Instance: peer, Age: time.Minute},
			Loads: []kernel.EndpointLoad{{Endpoint: "e0", Load: kernel.Load{Requests: requests}}},
		}})
		n.run(kernel.DefaultTick)
	}
	// The node leaves, so that its peer is the owner.
	n.Step(n.now, kernel.Drain{})
	beat(2)
	beat(2)
	requests := func() int { return n.View().Pools["s"].Endpoints[0].Load.Requests }
	require.Equal(t, 2, requests())
	n.sent = []kernel.EndpointLoad{{Endpoint: "e0", Load: kernel.Load{Requests: 3}}}
	n.run(kernel.DefaultTick)
	require.Equal(t, 5, requests())
	beat(5)
	require.Equal(t, 5, requests(), "the owner's load now includes them")
	n.sent = nil
	n.run(kernel.DefaultTick)
	require.Equal(t, 2, requests())
}

func TestSettledNodeIsPreferredAsOwner(t *testing.T) {
	nodes := []kernel.Node{
		{Name: "a", Zone: "z1", Settled: true},
		{Name: "b", Zone: "z1"},
		{Name: "c", Zone: "z2", Settled: true},
	}
	for i := range 50 {
		e := kernel.Endpoint{Name: fmt.Sprintf("e%d", i), Zone: "z1"}
		require.Equal(t, "a", pool.Owner(e, nodes))
	}
	nodes[0].State = kernel.Leaving
	require.Equal(t, "b", pool.Owner(kernel.Endpoint{Name: "e1", Zone: "z1"}, nodes))
	nodes[1].State = kernel.Suspect
	require.Equal(t, "c", pool.Owner(kernel.Endpoint{Name: "e1", Zone: "z1"}, nodes))
}

func TestNewOwnerOverridesPreviousOwnersState(t *testing.T) {
	// Guards against an endpoint that answers but never gets work again, because its
	// previous owner reported it as dead.
	n := newNode(8)
	n.list = append(n.list, kernel.Instance{
		Name: "n2", Kind: kernel.KindNode, Zone: "z1",
		Addr: netip.MustParseAddrPort("10.1.0.2:80"), Peer: netip.MustParseAddrPort("10.1.0.2:81"),
	})
	n.Step(n.now, kernel.Instances{Version: 2, List: n.list})
	beat := &kernel.Heartbeat{Node: "n2", Incarnation: 3, Serial: 1}
	n.Step(n.now, kernel.HeartbeatReceived{Heartbeat: beat})
	n.run(kernel.DefaultTick)
	name := ""
	for _, e := range n.View().Pools["s"].Endpoints {
		if e.Owner == "n2" {
			name = e.Name
		}
	}
	require.NotEmpty(t, name)
	n.Step(n.now, kernel.HeartbeatReceived{Heartbeat: &kernel.Heartbeat{
		Node: "n2", Incarnation: 3, Serial: 2, Loads: []kernel.EndpointLoad{{Endpoint: name, State: kernel.Dead}},
	}})
	n.run(kernel.DefaultTick)
	require.Equal(t, kernel.Dead, n.state(name))
	n.Step(n.now, kernel.HeartbeatReceived{Heartbeat: &kernel.Heartbeat{Node: "n2", Incarnation: 3, Serial: 3, Leaving: true}})
	n.run(kernel.DefaultTick)
	n.Step(n.now, kernel.LoadReported{Endpoint: name})
	n.run(kernel.DefaultTick)
	require.Equal(t, kernel.Live, n.state(name))
}

// Guards against an endpoint that has notified this node that it is leaving, and is
// considered live again although it has not restarted.
func TestEndpointLeavesUntilItRestarts(t *testing.T) {
	// The owner is another node, which has not received the notice.
	ownerReports := func(n *node, state kernel.State) {
		n.Step(n.now, kernel.HeartbeatReceived{Heartbeat: &kernel.Heartbeat{
			Node: "n2", Incarnation: 9, Serial: 1, Intro: &kernel.Intro{Instance: kernel.Instance{Name: "n2", Kind: kernel.KindNode, Zone: "z1"}, Age: time.Minute},
			Loads: []kernel.EndpointLoad{{Endpoint: "e1", State: state}},
		}})
	}
	cases := []struct {
		name string
		at   func(n *node)
		want kernel.State
	}{
		{name: "no further message", at: func(*node) {}, want: kernel.Leaving},
		{name: "its owner reports it as live", at: func(n *node) { ownerReports(n, kernel.Live) }, want: kernel.Leaving},
		{name: "the list has it unchanged", at: func(n *node) { n.Step(n.now, kernel.Instances{Version: 2, List: n.list}) }, want: kernel.Leaving},
		{name: "the list removes and restores it", at: func(n *node) {
			n.Step(n.now, kernel.Instances{Version: 2, List: n.list[:1]})
			n.run(time.Second)
			n.Step(n.now, kernel.Instances{Version: 3, List: n.list})
		}, want: kernel.Leaving},
		{name: "the same incarnation revokes it", at: func(n *node) { n.Step(n.now, kernel.EndpointNotice{Endpoint: "e1", Incarnation: 5}) }, want: kernel.Leaving},
		{name: "another incarnation revokes it", at: func(n *node) { n.Step(n.now, kernel.EndpointNotice{Endpoint: "e1", Incarnation: 6}) }, want: kernel.Live},
		{name: "another endpoint has its name", at: func(n *node) {
			moved := append([]kernel.Instance(nil), n.list...)
			moved[1].Addr = netip.MustParseAddrPort("10.9.9.9:80")
			n.Step(n.now, kernel.Instances{Version: 2, List: moved})
		}, want: kernel.Live},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(3)
			n.Step(n.now, kernel.Drain{})
			ownerReports(n, kernel.Live)
			n.run(kernel.DefaultTick)
			n.Step(n.now, kernel.EndpointNotice{Endpoint: "e1", Leaving: true, Incarnation: 5})
			n.run(time.Second)
			require.Equal(t, kernel.Leaving, n.state("e1"))
			require.Len(t, n.View().Leavers, 1, "it is polled for a restart")
			n.run(time.Minute)
			c.at(n)
			n.run(time.Second)
			require.Equal(t, c.want, n.state("e1"))
		})
	}
}

// Guards against requests from a node that an endpoint has asked for a backoff, and
// against a backoff that affects other nodes, is shortened by a later one, or
// outlives a restart of the endpoint.
func TestBackoffOfEndpoint(t *testing.T) {
	takes := func(n *node) bool {
		e, ok := n.View().Pools["s"].Endpoint("e1")
		require.True(t, ok)
		require.Equal(t, kernel.Live, e.State, "other nodes may send")
		return e.Takes()
	}
	n := newNode(2)
	n.Step(n.now, kernel.LoadReported{Endpoint: "e1", Incarnation: 1})
	n.Step(n.now, kernel.EndpointBackoff{Endpoint: "e1", Until: n.now.Add(10 * time.Second)})
	n.Step(n.now, kernel.EndpointBackoff{Endpoint: "e1", Until: n.now.Add(time.Second)})
	n.run(9 * time.Second)
	require.False(t, takes(n))
	n.run(time.Second)
	require.True(t, takes(n))
	n.Step(n.now, kernel.EndpointBackoff{Endpoint: "e1", Until: n.now.Add(time.Hour)})
	n.run(kernel.DefaultTick)
	require.False(t, takes(n))
	n.Step(n.now, kernel.LoadReported{Endpoint: "e1", Incarnation: 2})
	n.run(kernel.DefaultTick)
	require.True(t, takes(n), "it has restarted")
}
