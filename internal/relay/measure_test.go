package relay_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

func sortAges(list []time.Duration) { slices.Sort(list) }

// cost logs what nodes send and receive. The target for nodes that are no relays
// is 14 KB/s each way; it is not checked.
func (m *model) cost(t *testing.T) {
	t.Helper()
	for _, a := range m.nodes {
		a.sent, a.bytes, a.received = 0, 0, 0
	}
	const seconds = 1
	m.run(seconds * time.Second)
	var sent, bytes, received []int
	for _, a := range m.nodes {
		sent, bytes, received = append(sent, a.sent/seconds), append(bytes, a.bytes/seconds), append(received, a.received/seconds)
	}
	slices.Sort(sent)
	slices.Sort(bytes)
	slices.Sort(received)
	t.Logf("a node sends %d datagrams/s, %d B/s and gets %d B/s; at most %d, %d, %d",
		sent[len(sent)/2], bytes[len(bytes)/2], received[len(received)/2], sent[len(sent)-1], bytes[len(bytes)-1], received[len(received)-1])
}

// freeze stops all changes of the nodes' loads.
func (m *model) freeze() {
	m.plan.each = 0
	for _, a := range m.nodes {
		a.frozen = true
	}
}

// exclusive returns the number of endpoints at which only this node has requests.
func (m *model) exclusive(total map[uint32]int, a *modelNode) int {
	n := 0
	for key := range total {
		if total[key] == a.loads[key] {
			n++
		}
	}
	return n
}

// relayOf returns the first relay of a zone: the node that sent the most.
func (m *model) relayOf(zone string) *modelNode {
	var best *modelNode
	for _, a := range m.living() {
		if a.peer.Zone == zone && (best == nil || a.sent > best.sent) {
			best = a
		}
	}
	return best
}

// sendOnce lets one node report a placement, and returns the set of nodes that
// receive it.
func (m *model) sendOnce(part uint64) map[int]bool {
	received := map[int]bool{}
	p := balance.Placement{Part: part, Endpoint: 1}
	m.nodes[11].updates = relay.Updates{Placements: []balance.Placement{p}}
	for _, a := range m.nodes {
		a.onFleet = func(s *relay.Summary) {
			if slices.Contains(s.Updates.Placements, p) {
				received[a.index] = true
			}
		}
	}
	m.after(2*m.timing.Step, func() { m.nodes[11].updates = relay.Updates{} })
	return received
}

// powerful returns a living original node with much processor time.
func (m *model) powerful() *modelNode {
	for _, a := range m.nodes[:m.plan.nodes] {
		if !a.dead && a.peer.Power == 800 {
			return a
		}
	}
	return nil
}

// replace kills a node and starts it with another incarnation.
func (m *model) replace(old *modelNode) {
	if old.dead {
		return
	}
	old.dead = true
	next := m.add(old.index)
	next.peer.Zone, next.peer.Power = old.peer.Zone, old.peer.Power
	next.relay = relay.New(relay.Config{ID: next.peer.ID, Zone: next.peer.Zone, Power: next.peer.Power})
	for _, a := range m.living() {
		a.forget(old.peer.ID)
		a.addPeer(next)
		next.addPeer(a)
	}
}

// requireExact checks that each living node's sums are exactly the loads of all
// other living nodes.
func (m *model) requireExact(t *testing.T) {
	t.Helper()
	total := map[uint32]int{}
	for _, a := range m.living() {
		for key, n := range a.loads {
			total[key] += n
		}
	}
	for _, a := range m.living() {
		s := a.relay.Sums(m.now)
		require.NotNil(t, s)
		for key, n := range total {
			require.Equal(t, n-a.loads[key], s.Loads[key], "node %d, endpoint %d", a.index, key)
		}
		require.Len(t, s.Loads, len(total)-m.exclusive(total, a))
	}
}
