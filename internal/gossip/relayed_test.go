package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gossip"
)

// relayedFleet starts nodes that tell each other through relays, in two zones.
func relayedFleet(t *testing.T, n int) (*fleet, []*node) {
	f := newFleet(t)
	f.relays = 2
	var list []*node
	for i := 1; i <= n; i++ {
		list = append(list, f.start(i, &book{}))
	}
	for _, nd := range list {
		f.eventually(func() bool { return len(nd.gossip.View().Alive) == n-1 }, "all are heard of")
	}
	return f, list
}

// sum is what all nodes but one have in progress at their endpoints.
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

// Loads, placements, words of endpoints, crashes and revisions pass through
// relays; a node's own requests are not among those of the others.
func TestNewsPassesThroughRelays(t *testing.T) {
	f, list := relayedFleet(t, 9)
	for _, nd := range list {
		f.eventually(func() bool { return f.seesAll(list, nd) && nd.gossip.Relayed() }, "loads of all others, through a relay")
	}
	teller, hearer := list[0], list[8]
	teller.work.mu.Lock()
	teller.work.told = []balance.Placement{{Part: 77, Endpoint: 6}}
	teller.work.reports = map[uint32]int{66: 11}
	teller.work.mu.Unlock()
	teller.gossip.Tell(gossip.Crash{Print: 9, Endpoint: 3})
	f.eventually(func() bool {
		hearer.work.mu.Lock()
		defer hearer.work.mu.Unlock()
		return len(hearer.work.placed) > 0 && hearer.work.heard[66] == 11
	}, "the placement and the report")
	f.eventually(func() bool {
		hearer.mu.Lock()
		defer hearer.mu.Unlock()
		return len(hearer.crashes) > 0
	}, "the crash")
	teller.book.mu.Lock()
	teller.book.revision, teller.book.items = 7, []deployment.Item{{Key: "a", Revision: 7}}
	teller.book.mu.Unlock()
	teller.book.news <- struct{}{}
	for _, nd := range list {
		f.eventually(func() bool { return nd.book.Snapshot().Revision == 7 }, "the revision")
	}
}

// Guards against this failure: callers are sent to a node for seconds after its death.
func TestRelaysAreReplaced(t *testing.T) {
	f, list := relayedFleet(t, 9)
	for _, nd := range list {
		f.eventually(func() bool { return nd.gossip.Relayed() }, "summaries come")
	}
	for gone := range 3 {
		list[gone].gossip.Close()
		left := list[gone+1:]
		for _, nd := range left {
			f.eventually(func() bool { return len(nd.gossip.View().Alive) == len(left)-1 }, "the dead one is missed")
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
		}, "loads of those that are left")
	}
}

// A node of a build without relays is heard by the others, and harms nobody.
func TestNodeWithoutRelaysAmongOthers(t *testing.T) {
	f, list := relayedFleet(t, 6)
	f.relays = 1000
	old := f.start(7, &book{})
	list = append(list, old)
	for _, nd := range list {
		f.eventually(func() bool { return f.seesAll(list, nd) }, "loads of all others")
	}
	require.False(t, old.gossip.Relayed())
	time.Sleep(100 * time.Millisecond)
	for _, nd := range list {
		require.Len(t, nd.gossip.View().Alive, len(list)-1)
	}
}

// Guards against relays that name the nodes with the highest revision, so that
// nobody hears of a restored store's lower ones.
func TestNewsOfARestoredStorePassesThroughRelays(t *testing.T) {
	f, list := relayedFleet(t, 9)
	for _, nd := range list {
		f.eventually(func() bool { return f.seesAll(list, nd) && nd.gossip.Relayed() }, "loads of all others, through a relay")
	}
	for i, position := range []deployment.Position{{Epoch: 1, Revision: 9}, {Epoch: 2, Revision: 7}, {Epoch: 3, Revision: 7}} {
		teller := list[i]
		teller.book.mu.Lock()
		teller.book.epoch, teller.book.revision = position.Epoch, position.Revision
		teller.book.mu.Unlock()
		teller.book.news <- struct{}{}
		for _, nd := range list {
			f.eventually(func() bool { return nd.book.Snapshot().Position == position }, "the position")
		}
	}
}

// Guards against nodes that go on sending to an endpoint of which others know that it
// leaves, also ones that start later.
func TestLeavingEndpointsAreTold(t *testing.T) {
	fleets := map[string]func(t *testing.T) (*fleet, []*node){
		"to all": func(t *testing.T) (*fleet, []*node) {
			f := newFleet(t)
			return f, []*node{f.start(1, &book{}), f.start(2, &book{}), f.start(3, &book{})}
		},
		"through relays": func(t *testing.T) (*fleet, []*node) { return relayedFleet(t, 9) },
	}
	for name, fleet := range fleets {
		t.Run(name, func(t *testing.T) {
			f, list := fleet(t)
			list[1].book.announce(41)
			list[2].book.announce(42)
			list = append(list, f.start(len(list)+1, &book{}))
			for _, nd := range list {
				f.eventually(func() bool { return len(nd.book.Announced(time.Time{})) == 2 }, "both are known")
			}
		})
	}
}
