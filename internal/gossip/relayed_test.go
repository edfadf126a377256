package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// relayedFleet starts nodes that gossip through relays, in two zones.
func relayedFleet(t *testing.T, n int) (*fleet, []*node) {
	f := newFleet(t)
	f.maxDirect = 2
	var list []*node
	for i := 1; i <= n; i++ {
		list = append(list, f.start(i, &fakeReplica{}))
	}
	for _, nd := range list {
		f.eventually(func() bool { return len(nd.gossip.View().Alive) == n-1 }, "all other nodes are alive")
	}
	return f, list
}

// seesAll reports whether a node sees the loads of all nodes but itself.
func (f *fleet) seesAll(list []*node, nd *node) bool {
	for i, other := range list {
		key := uint32(i + 1)
		if other == nd {
			if nd.gossip.Others(key) != 0 {
				return false
			}
			continue
		}
		if nd.gossip.Others(key) != i+1 {
			return false
		}
	}
	return true
}

// Loads, placements, endpoint load reports, crashes and revisions propagate
// through relays; a node's own requests are not counted as those of others.
func TestUpdatesPropagateThroughRelays(t *testing.T) {
	f, list := relayedFleet(t, 9)
	for _, nd := range list {
		f.eventually(func() bool { return f.seesAll(list, nd) && nd.gossip.Relayed() }, "loads of all other nodes, through a relay")
	}
	sender, receiver := list[0], list[8]
	sender.work.mu.Lock()
	sender.work.placements = []balance.Placement{{Part: 77, Endpoint: 6}}
	sender.work.reports = map[uint32]int{66: 11}
	sender.work.slowdowns = balance.Slowdowns{66: 250}
	sender.work.mu.Unlock()
	sender.crashes.saw(9, 3)
	f.eventually(func() bool {
		receiver.work.mu.Lock()
		defer receiver.work.mu.Unlock()
		return len(receiver.work.receivedPlacements) > 0 && receiver.work.receivedReports[66] == 11 && receiver.work.receivedSlowdowns[66] > 100
	}, "the placement and the report")
	f.eventually(func() bool { return receiver.crashes.of(9) == 1 }, "the crash")
	sender.crashes.served(9)
	f.eventually(func() bool { return receiver.crashes.of(9) == 0 }, "its clearing")
	sender.replica.mu.Lock()
	sender.replica.revision, sender.replica.items = 7, []deployment.Item{{Key: "a", Revision: 7}}
	sender.replica.mu.Unlock()
	sender.replica.news <- struct{}{}
	for _, nd := range list {
		f.eventually(func() bool { return nd.replica.Snapshot().Revision == 7 }, "the revision")
	}
}

// Guards against callers that are sent to a node for seconds after its death.
func TestDeadRelaysAreReplaced(t *testing.T) {
	f, list := relayedFleet(t, 9)
	for _, nd := range list {
		f.eventually(func() bool { return nd.gossip.Relayed() }, "summaries arrive")
	}
	for i := range 3 {
		list[i].gossip.Close()
		left := list[i+1:]
		for _, nd := range left {
			f.eventually(func() bool { return len(nd.gossip.View().Alive) == len(left)-1 }, "the dead node is lost")
		}
	}
	left := list[3:]
	for _, nd := range left {
		f.eventually(func() bool {
			for i := range left {
				if left[i] != nd && nd.gossip.Others(uint32(i+4)) != i+4 {
					return false
				}
			}
			return nd.gossip.Others(1) == 0 && nd.gossip.Relayed()
		}, "loads of the remaining nodes")
	}
}

// A node of a build without relays is seen by the others, and disturbs none.
func TestNodeWithoutRelaySupport(t *testing.T) {
	f, list := relayedFleet(t, 6)
	f.maxDirect = 1000
	old := f.start(7, &fakeReplica{})
	list = append(list, old)
	for _, nd := range list {
		f.eventually(func() bool { return f.seesAll(list, nd) }, "loads of all other nodes")
	}
	require.False(t, old.gossip.Relayed())
	time.Sleep(100 * time.Millisecond)
	for _, nd := range list {
		require.Len(t, nd.gossip.View().Alive, len(list)-1)
	}
}

// Guards against relays that report the nodes with the highest revision, so that
// the lower revisions of a restored store never propagate.
func TestRestoredPositionPropagatesThroughRelays(t *testing.T) {
	f, list := relayedFleet(t, 9)
	for _, nd := range list {
		f.eventually(func() bool { return f.seesAll(list, nd) && nd.gossip.Relayed() }, "loads of all other nodes, through a relay")
	}
	for i, position := range []deployment.Position{{Epoch: 1, Revision: 9}, {Epoch: 2, Revision: 7}, {Epoch: 3, Revision: 7}} {
		sender := list[i]
		sender.replica.mu.Lock()
		sender.replica.epoch, sender.replica.revision = position.Epoch, position.Revision
		sender.replica.mu.Unlock()
		sender.replica.news <- struct{}{}
		for _, nd := range list {
			f.eventually(func() bool { return nd.replica.Snapshot().Position == position }, "the position")
		}
	}
}

// Guards against nodes, also ones that start later, that keep sending to an
// endpoint that others know to be leaving.
func TestLeavingEndpointsPropagate(t *testing.T) {
	fleets := map[string]func(t *testing.T) (*fleet, []*node){
		"direct": func(t *testing.T) (*fleet, []*node) {
			f := newFleet(t)
			return f, []*node{f.start(1, &fakeReplica{}), f.start(2, &fakeReplica{}), f.start(3, &fakeReplica{})}
		},
		"through relays": func(t *testing.T) (*fleet, []*node) { return relayedFleet(t, 9) },
	}
	for name, fleet := range fleets {
		t.Run(name, func(t *testing.T) {
			f, list := fleet(t)
			list[1].replica.addLeaving(41)
			list[2].replica.addLeaving(42)
			list = append(list, f.start(len(list)+1, &fakeReplica{}))
			for _, nd := range list {
				f.eventually(func() bool { return len(nd.replica.Leaving(time.Time{})) == 2 }, "both endpoints are known")
			}
		})
	}
}
