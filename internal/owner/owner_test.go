package owner_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/owner"
)

// fleet returns nodes that may all be owners.
func fleet(n int) []owner.Member {
	list := make([]owner.Member, n)
	for i := range list {
		list[i] = owner.Member{Name: fmt.Sprint("n", i), Zone: "z1", Power: 1000, Ready: true, Reaches: true}
	}
	return list
}

// without returns the nodes other than one.
func without(list []owner.Member, name string) []owner.Member {
	var rest []owner.Member
	for _, m := range list {
		if m.Name != name {
			rest = append(rest, m)
		}
	}
	return rest
}

// decide returns the decision of a node that has not decided before.
func decide(ratio float64, in owner.Input) owner.Decision {
	return owner.NewTracker(owner.Config{Ratio: ratio}).Decide(in.Service, owner.Key{}, func() owner.Input { return in })
}

func TestSmallServicesHaveOwners(t *testing.T) {
	for _, c := range []struct {
		name         string
		ratio        float64
		slots, nodes int
		small        bool
	}{
		{name: "18 slots, 77 nodes", ratio: 1, slots: 18, nodes: 77, small: true},
		{name: "24 slots, 24 nodes", ratio: 1, slots: 24, nodes: 24},
		{name: "24 slots, 24 nodes, a larger ratio", ratio: 1.5, slots: 24, nodes: 24, small: true},
		{name: "126 slots, 120 nodes", ratio: 1, slots: 126, nodes: 120},
		{name: "switched off", slots: 1, nodes: 330},
		{name: "no endpoint was ever listed", ratio: 1, nodes: 77},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := decide(c.ratio, owner.Input{Service: "s", Slots: c.slots, Nodes: c.nodes, Members: fleet(c.nodes)})
			require.Equal(t, c.small, d.Small)
			require.Equal(t, c.small, d.Owner != "")
			require.Equal(t, c.slots, d.Slots)
			require.Equal(t, c.nodes, d.Nodes)
		})
	}
}

// Guards against ownership that comes and goes while endpoints restart or all leave.
func TestServiceKeepsItsOwnerNearTheThreshold(t *testing.T) {
	var changes []string
	tracker := owner.NewTracker(owner.Config{Ratio: 1, Changed: func(_ string, old, now owner.Decision) {
		changes = append(changes, fmt.Sprint(old.Owner != "", now.Owner != ""))
	}})
	for n, slots := range []int{100, 99, 100, 124, 0, 60, 125, 124, 100, 0, 99} {
		small := []bool{false, true, true, true, true, true, false, false, false, false, true}[n]
		d := tracker.Decide("s", owner.Key{Members: n}, func() owner.Input {
			return owner.Input{Service: "s", Slots: slots, Nodes: 100, Members: fleet(100)}
		})
		require.Equal(t, small, d.Owner != "", "step %d", n)
	}
	require.Equal(t, []string{"false true", "true false", "false true"}, changes)
	tracker.Forget(func(string) bool { return false })
	require.Equal(t, "true false", changes[len(changes)-1], "the service is gone")
	require.Empty(t, tracker.Decisions())
}

func TestOwnerIsAbleToServe(t *testing.T) {
	all := fleet(20)
	first := decide(1, owner.Input{Service: "s", Slots: 5, Nodes: 20, Members: all}).Owner
	for _, c := range []struct {
		name   string
		change func(m *owner.Member)
		other  bool
	}{
		{name: "as it was", change: func(*owner.Member) {}},
		{name: "not ready", change: func(m *owner.Member) { m.Ready = false }, other: true},
		{name: "does not reach the service", change: func(m *owner.Member) { m.Reaches = false }, other: true},
		{name: "a smaller allowance", change: func(m *owner.Member) { m.Power = 749 }, other: true},
		{name: "three quarters of the largest allowance", change: func(m *owner.Member) { m.Power = 750 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := fleet(20)
			for i := range list {
				if list[i].Name == first {
					c.change(&list[i])
				}
			}
			d := decide(1, owner.Input{Service: "s", Slots: 5, Nodes: 20, Members: list})
			require.Equal(t, c.other, d.Owner != first)
			require.NotEmpty(t, d.Owner)
		})
	}
}

// Guards against nodes that determine different owners from the same members, and
// against an owner that changes when some other node leaves.
func TestNodesAgreeOnTheOwner(t *testing.T) {
	owned := map[string]int{}
	for service := range 200 {
		in := owner.Input{Service: fmt.Sprint("s", service), Slots: 1, Nodes: 20, Members: fleet(20)}
		d := decide(1, in)
		owned[d.Owner]++
		for _, m := range fleet(20) {
			in.Members = without(fleet(20), m.Name)
			in.Members[0], in.Members[5] = in.Members[5], in.Members[0]
			other := decide(1, in).Owner
			require.Equal(t, m.Name == d.Owner, other != d.Owner)
		}
	}
	require.Len(t, owned, 20, "services are spread over the nodes")
	for _, n := range owned {
		require.Less(t, n, 30)
	}
}

func TestNoNodeIsAbleToServe(t *testing.T) {
	d := decide(1, owner.Input{Service: "s", Slots: 1, Nodes: 2, Members: []owner.Member{{Name: "n0", Reaches: true}, {Name: "n1", Ready: true}}})
	require.True(t, d.Small)
	require.Empty(t, d.Owner)
	require.Equal(t, "n0", decide(2, owner.Input{Service: "s", Slots: 1, Nodes: 1, Members: fleet(1)}).Owner, "a fleet of one node")
}

func TestDecisionIsReusedForEqualKeys(t *testing.T) {
	tracker, computed := owner.NewTracker(owner.Config{Ratio: 1}), 0
	in := func() owner.Input {
		computed++
		return owner.Input{Service: "s", Slots: 1, Nodes: 2, Members: fleet(2)}
	}
	view, other := new(int), new(int)
	for _, k := range []owner.Key{{Members: view}, {Members: view}, {Members: other}, {Members: other, Ready: true}, {Members: other, Ready: true}} {
		require.NotEmpty(t, tracker.Decide("s", k, in).Owner)
	}
	require.Equal(t, 3, computed)
}

func TestCheckRatio(t *testing.T) {
	for _, r := range []float64{0, 0.5, 1000} {
		require.NoError(t, owner.CheckRatio(r))
	}
	for _, r := range []float64{-0.1, 1000.1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		require.ErrorIs(t, owner.CheckRatio(r), owner.ErrRatio)
	}
}

// BenchmarkDecide is a decision by a new view of the membership, and one by the same.
func BenchmarkDecide(b *testing.B) {
	for _, nodes := range []int{8, 77, 330} {
		list := fleet(nodes)
		for _, c := range []struct {
			name string
			step int
		}{{"new", 1}, {"same", 0}} {
			b.Run(fmt.Sprint(nodes, "/", c.name), func(b *testing.B) {
				tracker, view := owner.NewTracker(owner.Config{Ratio: 1}), 0
				b.ReportAllocs()
				for b.Loop() {
					view += c.step
					tracker.Decide("s", owner.Key{Members: view}, func() owner.Input {
						return owner.Input{Service: "s", Slots: 5, Nodes: nodes, Members: list}
					})
				}
			})
		}
	}
}
