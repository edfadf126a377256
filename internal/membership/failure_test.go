package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Guards against this failure: a node that was killed keeps getting asks for permits until the
// platform's list drops it, which may take very long.
func TestKilledNodeOnStaleListIsSuspectThenDead(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	f.nodes["node-0003"].down = true
	f.run(1600 * time.Millisecond)
	require.Equal(t, kernel.Suspect, f.state("node-0000", "node-0003"))
	f.run(5 * time.Second)
	for _, name := range f.names {
		if name != "node-0003" {
			require.Equal(t, kernel.Dead, f.state(name, "node-0003"), name)
		}
	}
	f.step(f.nodes["node-0000"], kernel.Instances{Version: 1, List: f.list})
	f.run(kernel.DefaultTick)
	require.Equal(t, kernel.Dead, f.state("node-0000", "node-0003"), "a stale list brings nobody back")
}

// Guards against this failure: a new node gets no work for as long as the list lags.
func TestNodeThatBeatsIsKnownBeforeItIsListed(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	joined := kernel.Instance{Name: "node-new", Kind: kernel.KindNode, Zone: zone(1), Addr: addr(1, 99), Peer: addr(2, 99)}
	f.start(joined)
	f.run(300 * time.Millisecond)
	for _, name := range f.names[:small.nodes] {
		seen, ok := f.nodes[name].View().Node("node-new")
		require.True(t, ok, name)
		require.Equal(t, joined.Peer, seen.Peer)
		require.False(t, seen.Settled, "no home until all have heard of it")
	}
	f.run(5 * time.Second)
	seen, _ := f.nodes["node-0000"].View().Node("node-new")
	require.True(t, seen.Settled)
}

// Guards against this failure: a node that left is brought back, or one that restarted under
// its name stays leaving forever.
func TestLeaveMarkIsOfOneIncarnation(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	old := f.nodes["node-0002"]
	f.step(old, kernel.Drain{})
	f.run(time.Second)
	require.Equal(t, kernel.Leaving, f.state("node-0000", "node-0002"))
	late := old.Beat(f.now, "node-0000")
	f.start(f.list[2])
	f.run(time.Second)
	require.Equal(t, kernel.Live, f.state("node-0000", "node-0002"))
	f.step(f.nodes["node-0000"], kernel.BeatReceived{Beat: late})
	f.run(kernel.DefaultTick)
	require.Equal(t, kernel.Live, f.state("node-0000", "node-0002"))
}

// Guards against this failure: a leaving instance still gets new work seconds later, from nodes
// that have not heard.
func TestLeaveMarksAreInForceEverywhereWithinTwoSeconds(t *testing.T) {
	f := newFleet(layered)
	f.run(6 * time.Second)
	const endpoint = "endpoint-0007"
	service := f.list[layered.nodes+7].Service
	seen, _ := f.nodes["node-0000"].View().Pools[service].Endpoint(endpoint)
	f.step(f.nodes["node-0005"], kernel.Drain{})
	f.step(f.nodes[seen.Home], kernel.LoadReported{Endpoint: endpoint, Leaving: true})
	f.run(1500 * time.Millisecond)
	for _, name := range f.names {
		v := f.nodes[name].View()
		e, ok := v.Pools[service].Endpoint(endpoint)
		require.True(t, ok)
		require.Equal(t, kernel.Leaving, e.State, name)
		if name != "node-0005" {
			require.Equal(t, kernel.Leaving, f.state(name, "node-0005"), name)
		}
	}
	// Sticky: reports and lists that do not know of it change nothing.
	f.step(f.nodes[seen.Home], kernel.LoadReported{Endpoint: endpoint})
	f.run(15 * time.Second)
	for _, name := range f.names {
		e, ok := f.nodes[name].View().Pools[service].Endpoint(endpoint)
		require.True(t, ok)
		require.Equal(t, kernel.Leaving, e.State, name)
	}
}

// Guards against this failure: a node that was paused takes every other node for dead and every
// endpoint for its own.
func TestPausedNodeDoubtsItselfNotOthers(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	n := f.nodes["node-0001"]
	n.paused = true
	f.run(20 * time.Second)
	require.Equal(t, kernel.Dead, f.state("node-0000", "node-0001"))
	f.cut = func(a, b string) bool { return a == "node-0001" || b == "node-0001" }
	n.paused = false
	require.False(t, n.View().Fresh(f.now), "traffic sees the pause before the first event")
	f.run(kernel.DefaultTick)
	v := n.View()
	require.True(t, v.Doubtful)
	require.Empty(t, v.Probes, "it is nobody's home")
	require.Len(t, v.Nodes, small.nodes, "nobody is dead")
	require.Equal(t, 1, n.rereads)
	f.cut = func(string, string) bool { return false }
	f.run(1500 * time.Millisecond)
	require.False(t, n.View().Doubtful)
	require.Equal(t, kernel.Live, f.state("node-0000", "node-0001"))
}

// Guards against this failure: after a partition heals, all nodes greet each other in the same
// instant, again and again, or keep disagreeing on homes.
func TestPartitionHealsWithoutStampede(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	side := func(name string) bool { return name < "node-0004" }
	f.cut = func(a, b string) bool { return side(a) != side(b) }
	f.run(time.Minute)
	require.Equal(t, kernel.Dead, f.state("node-0000", "node-0007"))
	f.resetBytes()
	f.cut = func(string, string) bool { return false }
	most, last := 0, 0
	for range 120 {
		f.run(kernel.DefaultTick)
		beats := 0
		for _, n := range f.nodes {
			beats += n.beats
		}
		most = max(most, beats-last)
		last = beats
	}
	require.Less(t, most, 32, "heartbeats in one tick, of 56 for a full mesh")
	first := f.nodes["node-0000"].View()
	for _, name := range f.names {
		v := f.nodes[name].View()
		for service, pool := range v.Pools {
			for i, e := range pool.Endpoints {
				require.Equal(t, first.Pools[service].Endpoints[i].Home, e.Home, "%s at %s", e.Name, name)
			}
		}
	}
}

// Guards against this failure: homes move at every turn of a node that comes and goes.
func TestFlappingNodeIsHeldBack(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	cut := false
	f.cut = func(a, b string) bool { return cut && (a == "node-0004" || b == "node-0004") }
	for range 4 {
		cut = true
		f.run(3 * time.Second)
		cut = false
		f.run(2 * time.Second)
	}
	require.Equal(t, kernel.Suspect, f.state("node-0000", "node-0004"))
	f.run(time.Minute)
	require.Equal(t, kernel.Live, f.state("node-0000", "node-0004"))
}

// Guards against this failure: platform reads grow with the fleet.
func TestWatchersPassTheListOn(t *testing.T) {
	f := newFleet(layered)
	f.run(6 * time.Second)
	watchers := map[string]int{}
	for i, name := range f.names {
		if f.nodes[name].View().Watcher {
			watchers[zone(i%layered.zones)]++
		}
	}
	require.Len(t, watchers, layered.zones)
	for z, count := range watchers {
		require.Equal(t, 2, count, z)
	}
	// The watchers of one zone read a list without the first endpoint.
	list := append(append([]kernel.Instance{}, f.list[:layered.nodes]...), f.list[layered.nodes+1:]...)
	for i, name := range f.names {
		if i%layered.zones == 0 && f.nodes[name].View().Watcher {
			f.step(f.nodes[name], kernel.Instances{Version: 2, List: list})
		}
	}
	f.run(4 * time.Second)
	for i, name := range f.names {
		v := f.nodes[name].View()
		require.Equal(t, uint64(2), v.ListVersion, "%s knows that there is a newer list", name)
		if i%layered.zones == 0 {
			require.Equal(t, uint64(2), v.Listed, "%s was told the change", name)
			_, ok := v.Pools["service-0"].Endpoint("endpoint-0000")
			require.False(t, ok, name)
		}
	}
}

// Guards against this failure: instances that are gone come back for a moment, again and again.
func TestOlderListIsIgnored(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	n := f.nodes["node-0000"]
	f.step(n, kernel.Instances{Version: 5, List: f.list[:small.nodes+5]})
	f.step(n, kernel.Instances{Version: 4, List: f.list})
	f.run(kernel.DefaultTick)
	require.Equal(t, uint64(5), n.View().Listed)
	f.run(31 * time.Second)
	f.step(n, kernel.Instances{Version: 2, List: f.list})
	require.Equal(t, uint64(2), n.View().Listed, "numbering started anew")
}
