package gossip_test

import (
	"slices"
	"testing"

	"bulrushhinge.example/bulrushhinge/internal/gossip"
)

// setLost sets the services that a node does not reach.
func (n *node) setLost(services ...uint32) {
	n.mu.Lock()
	n.lost = services
	n.mu.Unlock()
	n.gossip.Announce()
}

// reaches reports whether another node sees a node as one that reaches a service.
func (n *node) reaches(name string, service uint32) bool {
	for _, m := range n.gossip.View().Alive {
		if m.Name == name {
			return m.Reaches(service)
		}
	}
	return false
}

// Guards against a node that sends a brittle service too much because it has had no
// answer of its own yet.
func TestNodesTellEachOtherOfBrittleServices(t *testing.T) {
	f := newFleet(t)
	one, two := f.start(1, &fakeReplica{}), f.start(2, &fakeReplica{})
	one.work.mu.Lock()
	one.work.brittle = []uint32{5}
	one.work.mu.Unlock()
	f.eventually(func() bool {
		two.work.mu.Lock()
		defer two.work.mu.Unlock()
		return slices.Contains(two.work.receivedBrittle, 5)
	}, "the other node hears of it")
}

// Guards against requests that are handed over to nodes that do not reach their service
// either, and against nodes that are left out after their paths are back.
func TestNodesKnowWhatOthersReach(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(t *testing.T) (*fleet, []*node)
		// exact says that the service is known, and not only that there is one.
		exact bool
	}{
		{name: "directly", exact: true, start: func(t *testing.T) (*fleet, []*node) {
			f := newFleet(t)
			var list []*node
			for n := 1; n <= 3; n++ {
				list = append(list, f.start(n, &fakeReplica{}))
			}
			return f, list
		}},
		{name: "through relays", start: func(t *testing.T) (*fleet, []*node) { return relayedFleet(t, 9) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, list := c.start(t)
			for _, nd := range list[1:] {
				f.eventually(func() bool { return nd.reaches("n1", 5) }, "all reach all services")
			}
			list[0].setLost(5)
			for _, nd := range list[1:] {
				f.eventually(func() bool { return !nd.reaches("n1", 5) }, "the loss")
				if c.exact {
					f.eventually(func() bool { return nd.reaches("n1", 6) }, "another service is reached")
				}
			}
			list[0].setLost()
			for _, nd := range list[1:] {
				f.eventually(func() bool { return nd.reaches("n1", 5) && nd.gossip.View().Alive[0].State == gossip.Ready }, "the return")
			}
		})
	}
}
