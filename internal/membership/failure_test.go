package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Guards against sending permit requests to a killed node until the platform's list
// drops it, which may take very long.
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
	require.Equal(t, kernel.Dead, f.state("node-0000", "node-0003"), "a stale list does not restore a dead node")
}

// Guards against a new node that gets no work as long as the list lags.
func TestUnlistedNodeIsKnownByHeartbeat(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	joined := kernel.Instance{Name: "node-new", Kind: kernel.KindNode, Zone: zone(1), Addr: addr(1, 99), Peer: addr(2, 99)}
	f.start(joined)
	f.run(300 * time.Millisecond)
	for _, name := range f.names[:small.nodes] {
		seen, ok := f.nodes[name].View().Node("node-new")
		require.True(t, ok, name)
		require.Equal(t, joined.Peer, seen.Peer)
		require.False(t, seen.Settled, "not an owner before all peers know it")
	}
	f.run(5 * time.Second)
	seen, _ := f.nodes["node-0000"].View().Node("node-new")
	require.True(t, seen.Settled)
}

// Guards against a late heartbeat that restores a node that left, and against a node
// that stays leaving forever after a restart under the same name.
func TestLeaveNoticeEndsWithIncarnation(t *testing.T) {
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
	f.step(f.nodes["node-0000"], kernel.HeartbeatReceived{Heartbeat: late})
	f.run(kernel.DefaultTick)
	require.Equal(t, kernel.Live, f.state("node-0000", "node-0002"))
}

// Guards against a leaving instance that still gets new work seconds later, from
// nodes that have not received the leave notice.
func TestLeaveNoticesReachAllNodesWithinTwoSeconds(t *testing.T) {
	f := newFleet(layered)
	f.run(6 * time.Second)
	const endpoint = "endpoint-0007"
	service := f.list[layered.nodes+7].Service
	seen, _ := f.nodes["node-0000"].View().Pools[service].Endpoint(endpoint)
	f.step(f.nodes["node-0005"], kernel.Drain{})
	f.step(f.nodes[seen.Owner], kernel.LoadReported{Endpoint: endpoint, Leaving: true})
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
	// Leaving is sticky: reports, digests and the list without it do not undo it.
	f.step(f.nodes[seen.Owner], kernel.LoadReported{Endpoint: endpoint})
	f.run(15 * time.Second)
	for _, name := range f.names {
		e, ok := f.nodes[name].View().Pools[service].Endpoint(endpoint)
		require.True(t, ok)
		require.Equal(t, kernel.Leaving, e.State, name)
	}
}

// Guards against a node that after a pause considers all other nodes dead and takes
// over every endpoint.
func TestPausedNodeResyncsBeforeOwningEndpoints(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	n := f.nodes["node-0001"]
	n.paused = true
	f.run(20 * time.Second)
	require.Equal(t, kernel.Dead, f.state("node-0000", "node-0001"))
	f.blocked = func(a, b string) bool { return a == "node-0001" || b == "node-0001" }
	n.paused = false
	require.False(t, n.View().Fresh(f.now), "the view is stale before the first event")
	f.run(kernel.DefaultTick)
	v := n.View()
	require.True(t, v.Resyncing)
	require.Empty(t, v.Probes, "it owns no endpoint")
	require.Len(t, v.Nodes, small.nodes, "no node is dead")
	require.Equal(t, 1, n.rereads)
	f.blocked = func(string, string) bool { return false }
	f.run(1500 * time.Millisecond)
	require.False(t, n.View().Resyncing)
	require.Equal(t, kernel.Live, f.state("node-0000", "node-0001"))
}

// Guards against bursts of heartbeats when a partition heals, because all nodes send
// to each other at the same time, and against nodes that keep disagreeing on owners.
func TestPartitionHealsWithoutHeartbeatBurst(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	side := func(name string) bool { return name < "node-0004" }
	f.blocked = func(a, b string) bool { return side(a) != side(b) }
	f.run(time.Minute)
	require.Equal(t, kernel.Dead, f.state("node-0000", "node-0007"))
	f.resetBytes()
	f.blocked = func(string, string) bool { return false }
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
				require.Equal(t, first.Pools[service].Endpoints[i].Owner, e.Owner, "%s at %s", e.Name, name)
			}
		}
	}
}

// Guards against endpoints that change their owners each time a flapping node comes
// or goes.
func TestFlappingNodeIsDamped(t *testing.T) {
	f := newFleet(small)
	f.run(5 * time.Second)
	cut := false
	f.blocked = func(a, b string) bool { return cut && (a == "node-0004" || b == "node-0004") }
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

// Guards against platform reads that grow with the fleet: only watchers read the
// list, and other nodes get its changes from them.
func TestWatchersForwardListChanges(t *testing.T) {
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
			require.Equal(t, uint64(2), v.Listed, "%s received the delta", name)
			_, ok := v.Pools["service-0"].Endpoint("endpoint-0000")
			require.False(t, ok, name)
		}
	}
}

// Guards against removed instances that reappear whenever the platform answers with
// an older list.
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
	require.Equal(t, uint64(2), n.View().Listed, "the platform restarted its numbering")
}
