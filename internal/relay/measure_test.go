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

// cost logs what a node sends and gets, and checks that nodes that are no relays
// stay within the aim of 14 KB/s each way.
func (m *model) cost(t *testing.T) {
	t.Helper()
	for _, a := range m.nodes {
		a.sent, a.bytes, a.got = 0, 0, 0
	}
	const seconds = 1
	m.run(seconds * time.Second)
	var sent, bytes, got []int
	for _, a := range m.nodes {
		sent, bytes, got = append(sent, a.sent/seconds), append(bytes, a.bytes/seconds), append(got, a.got/seconds)
	}
	slices.Sort(sent)
	slices.Sort(bytes)
	slices.Sort(got)
	t.Logf("a node sends %d datagrams/s, %d B/s and gets %d B/s; at most %d, %d, %d",
		sent[len(sent)/2], bytes[len(bytes)/2], got[len(got)/2], sent[len(sent)-1], bytes[len(bytes)-1], got[len(got)-1])
}

// freeze lets no node change what it has in progress any more.
func (m *model) freeze() {
	m.plan.each = 0
	for _, a := range m.nodes {
		a.frozen = true
	}
}

// alone returns how many endpoints only one node has requests at.
func (m *model) alone(total map[uint32]int, a *machine) int {
	n := 0
	for key := range total {
		if total[key] == a.loads[key] {
			n++
		}
	}
	return n
}

// relayOf returns the node that is the first relay of a zone.
func (m *model) relayOf(zone string) *machine {
	var best *machine
	for _, a := range m.living() {
		if a.peer.Zone == zone && (best == nil || a.sent > best.sent) {
			best = a
		}
	}
	return best
}

// tellOnce lets one node tell a placement, and returns which nodes got it.
func (m *model) tellOnce(part uint64) map[int]bool {
	heard := map[int]bool{}
	p := balance.Placement{Part: part, Endpoint: 1}
	m.nodes[11].news = relay.News{Placements: []balance.Placement{p}}
	for _, a := range m.nodes {
		a.onWhole = func(s *relay.Summary) {
			if slices.Contains(s.News.Placements, p) {
				heard[a.index] = true
			}
		}
	}
	m.after(2*relay.Step(m.plan.nodes), func() { m.nodes[11].news = relay.News{} })
	return heard
}

// strong returns a living node of much processor time that has not been replaced.
func (m *model) strong() *machine {
	for _, a := range m.nodes[:m.plan.nodes] {
		if !a.dead && a.peer.Power == 800 {
			return a
		}
	}
	return nil
}

// replace ends a node, and starts it again with another incarnation.
func (m *model) replace(old *machine) {
	if old.dead {
		return
	}
	old.dead = true
	next := m.add(old.index)
	next.peer.Zone, next.peer.Power = old.peer.Zone, old.peer.Power
	next.relay = relay.New(relay.Config{ID: next.peer.ID, Zone: next.peer.Zone, Power: next.peer.Power})
	for _, a := range m.living() {
		delete(a.known, old.peer.ID)
		a.meet(next)
		next.meet(a)
	}
}

// requireExact checks that each living node believes of all others exactly what
// they have in progress, and of nobody else.
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
		require.Len(t, s.Loads, len(total)-m.alone(total, a))
	}
}
