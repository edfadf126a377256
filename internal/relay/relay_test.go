package relay_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// seeds is how many fleets each test of deaths plays; more by hand.
var seeds = flag.Uint64("seeds", 2, "fleets that each test of deaths plays")

// late are seeds at which deaths were once known too late: of the relays that a
// zone's nodes tried at the same time, the dead ones that come first were tried
// again two by two once any other had answered, and nobody told of losses.
var late = []uint64{6, 16}

func upTo(n uint64) []uint64 {
	var list []uint64
	for i := range n {
		list = append(list, i)
	}
	return list
}

// large is the users' large fleet: 195 nodes of 5 zones, 83 endpoints. Each node
// has some 13 requests in progress.
func large(seed uint64) plan {
	return plan{nodes: 195, zones: 5, endpoints: 83, each: 13, loss: 0.025, seed: seed}
}

// target is the fleet in two years: 330 nodes of 19 zones, 1,200 endpoints.
func target(seed uint64) plan {
	return plan{nodes: 330, zones: 19, endpoints: 1200, each: 110, loss: 0.025, seed: seed}
}

// The aim: at 195 nodes loads are at most 0.5 s old at the 99th percentile, at
// 330 nodes 0.8 s, in any second of an hour in which nothing fails.
func TestLoadsAreYoung(t *testing.T) {
	for _, c := range []struct {
		plan plan
		most time.Duration
	}{{large(1), 500 * time.Millisecond}, {target(3), 800 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.plan.nodes, " nodes, seed ", c.plan.seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(c.plan)
			m.run(2 * time.Second)
			var all []time.Duration
			for range 5 {
				m.run(330 * time.Millisecond)
				ages, missing := m.ages()
				require.LessOrEqual(t, float64(missing), 0.01*float64(len(ages)), "beliefs that are missing")
				all = append(all, ages...)
			}
			sortAges(all)
			t.Logf("age p50 %v, p99 %v, most %v", quantile(all, 0.5), quantile(all, 0.99), all[len(all)-1])
			require.LessOrEqual(t, quantile(all, 0.99), c.most)
			m.cost(t)
		})
	}
}

// Guards against this failure: callers are sent to nodes that died seconds ago.
func TestDeadNodesAreMissedAndNoOthers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		kill func(m *model) []*machine
		late []uint64
	}{
		{"one", func(m *model) []*machine { return m.kill(func(a *machine) bool { return a.index == 7 }) }, nil},
		{"three in five", func(m *model) []*machine {
			return m.kill(func(*machine) bool { return m.random.Float64() < 0.6 })
		}, late},
		{"the strong ones of a zone", func(m *model) []*machine {
			return m.kill(func(a *machine) bool { return a.peer.Zone == "z2" && a.peer.Power == 800 })
		}, nil},
		{"all strong ones", func(m *model) []*machine {
			return m.kill(func(a *machine) bool { return a.peer.Power == 800 })
		}, nil},
		{"a zone", func(m *model) []*machine { return m.kill(func(a *machine) bool { return a.peer.Zone == "z1" }) }, nil},
	} {
		for _, seed := range append(upTo(*seeds), c.late...) {
			t.Run(fmt.Sprint(c.name, ", seed ", seed), func(t *testing.T) {
				t.Parallel()
				m := newModel(large(seed))
				m.run(2 * time.Second)
				for _, a := range m.nodes {
					require.Empty(t, a.missed, "nobody died yet")
				}
				killed := c.kill(m)
				m.run(2 * time.Second)
				unaware, wrong, living := 0, 0, m.living()
				for _, a := range living {
					for _, d := range killed {
						if _, ok := a.known[d.peer.ID]; ok {
							unaware++
						}
					}
					for _, o := range living {
						if _, ok := a.missed[o.peer.ID]; ok {
							wrong++
						}
					}
				}
				t.Logf("%d killed, %d living: %d deaths unknown, %d wrong", len(killed), len(living), unaware, wrong)
				require.Zero(t, wrong)
				require.LessOrEqual(t, float64(unaware), 0.01*float64(len(killed)*len(living)), "deaths that are not known")
			})
		}
	}
}

// Guards against this failure: endpoints look busy, or idle, for good.
func TestSumsAreExactOnceNewsSettles(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := newModel(plan{nodes: 120, zones: 4, endpoints: 40, each: 9, loss: 0.1, seed: seed})
			m.run(2 * time.Second)
			m.kill(func(a *machine) bool {
				return a.peer.Power == 800 && m.random.Float64() < 0.7 || m.random.Float64() < 0.2
			})
			m.run(3 * time.Second)
			m.plan.loss = 0
			m.freeze()
			m.run(5 * time.Second)
			m.requireExact(t)
		})
	}
}

// Guards against this failure: nodes of the larger part of a split fleet send callers to the
// other.
func TestPartsOfASplitFleetMissEachOther(t *testing.T) {
	t.Parallel()
	m := newModel(large(5))
	m.run(3 * time.Second)
	side := map[*machine]bool{}
	for _, a := range m.nodes {
		side[a] = m.random.Float64() < 0.33
	}
	m.cut = func(from, to *machine) bool { return side[from] != side[to] }
	m.run(3 * time.Second)
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			if a != b && side[a] == side[b] {
				require.NotContains(t, a.missed, b.peer.ID, "of the own part")
			}
		}
	}
	count := 0
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			if _, ok := a.known[b.peer.ID]; ok && side[a] != side[b] {
				count++
			}
		}
	}
	require.LessOrEqual(t, count, 195*195/100, "nodes of the other part that are believed to live")
}

// Guards against this failure: a zone is lost though all its nodes serve.
func TestRelayThatHearsNothingLosesNobody(t *testing.T) {
	t.Parallel()
	m := newModel(large(6))
	m.run(3 * time.Second)
	deaf := m.relayOf("z0")
	m.cut = func(_, to *machine) bool { return to == deaf }
	m.run(5 * time.Second)
	for _, a := range m.nodes {
		for id := range a.missed {
			if a != deaf {
				require.Equal(t, deaf.peer.ID, id)
			}
		}
	}
}

// News is told to all within three steps, though datagrams get lost.
func TestPlacementsReachAll(t *testing.T) {
	t.Parallel()
	m := newModel(large(7))
	m.run(3 * time.Second)
	heard := m.tellOnce(42)
	m.run(1500 * time.Millisecond)
	require.GreaterOrEqual(t, len(heard), 193)
}

// Bad summaries from outside say nothing.
func TestSummariesThatDoNotHoldTogetherAreDropped(t *testing.T) {
	good := relay.Summary{ID: 9, Zone: "z", Sequence: 1, Covered: relay.IDs(nil).Add(9), Marks: []byte{1}}
	for name, change := range map[string]func(s *relay.Summary){
		"no relay":       func(s *relay.Summary) { s.ID = 0 },
		"half a node":    func(s *relay.Summary) { s.Covered = s.Covered[:3] },
		"a mark missing": func(s *relay.Summary) { s.Marks = nil },
		"half a loss":    func(s *relay.Summary) { s.Lost = []byte{1} },
		"from the past":  func(s *relay.Summary) { s.Age = -time.Second },
		"no zone":        func(s *relay.Summary) { s.Zone = "" },
	} {
		t.Run(name, func(t *testing.T) {
			n := relay.New(relay.Config{ID: 1, Zone: "z", Power: 100})
			now := time.Now()
			s := good
			change(&s)
			require.False(t, n.Take(now, relay.Peer{ID: 9, Zone: "z"}, &s, 0))
			n.Step(now, nil, relay.Report{ID: 1, Sequence: 1})
			require.Equal(t, 1, n.Whole(now).Covered.Len())
		})
	}
}

// Guards against this failure: a node ends with "assignment to entry in nil map" soon after its
// start.
func TestSumsWithoutEntriesCanBeAddedTo(t *testing.T) {
	now := time.Now()
	n := relay.New(relay.Config{ID: 1, Zone: "z", Power: 1})
	peer := relay.Peer{ID: 9, Zone: "z", Power: 100, First: now, Heard: now}
	other := relay.Peer{ID: 8, Zone: "z", Power: 100, First: now, Heard: now}
	n.Step(now, []relay.Peer{peer, other}, relay.Report{ID: 1, Sequence: 1, Loads: map[uint32]int{5: 1}, Reading: map[uint32]int{5: 100}, Failures: map[uint32]int{5: 3}})
	for _, from := range []relay.Peer{peer, other} {
		s := &relay.Summary{ID: from.ID, Zone: "z", Sequence: 1, Whole: true, Covered: relay.IDs(nil).Add(1), Marks: []byte{1}}
		n.Take(now, from, s, 1)
	}
	s := n.Sums(now)
	require.NotNil(t, s)
	s.Loads[5]++
	s.Reading[5]++
	s.Failures[5]++
	require.Equal(t, 1, s.Loads[5])
}

// Guards against this failure: the memory of relays grows without end, and placements are told
// later and later.
func TestNewsIsToldSoonAfterAFlood(t *testing.T) {
	now := time.Now()
	n := relay.New(relay.Config{ID: 1, Zone: "z", Power: 1})
	const flood = 5000
	for i := range uint64(flood) {
		n.Heard(now, relay.Report{ID: 2, Sequence: i + 1, Follows: true, News: relay.News{Placements: []balance.Placement{{Part: i, Endpoint: 1}}}})
	}
	last := balance.Placement{Part: flood + 1, Endpoint: 1}
	n.Heard(now, relay.Report{ID: 2, Sequence: flood + 1, Follows: true, News: relay.News{Placements: []balance.Placement{last}}})
	const steps = 10
	told := false
	for i := range uint64(steps) {
		now = now.Add(relay.Step(200))
		n.Heard(now, relay.Report{ID: 2, Sequence: flood + 2 + i, Follows: true})
		for _, m := range n.Step(now, nil, relay.Report{ID: 1, Sequence: i + 1}) {
			told = told || m.Summary != nil && slices.Contains(m.Summary.News.Placements, last)
		}
	}
	require.True(t, told)
}

// Guards against this failure: nodes that were replaced one after the other are counted twice,
// or those that replaced them are taken as lost.
func TestNodesAreReplacedInSeries(t *testing.T) {
	t.Parallel()
	m := newModel(plan{nodes: 110, zones: 4, endpoints: 40, each: 9, loss: 0.025, seed: 8})
	m.run(2 * time.Second)
	for i := range 110 {
		old := m.nodes[i]
		if strong := m.strong(); strong != nil {
			old = strong
		}
		m.replace(old)
		m.run(100 * time.Millisecond)
	}
	m.plan.loss = 0
	m.freeze()
	m.run(5 * time.Second)
	m.requireExact(t)
	for _, a := range m.living() {
		for _, o := range m.living() {
			require.NotContains(t, a.missed, o.peer.ID)
		}
	}
}

// Guards against a summary that names the nodes with the highest revision, though
// the store has given lower ones out since it was restored.
func TestSummaryNamesTheNewestPosition(t *testing.T) {
	n := relay.New(relay.Config{ID: 1, Zone: "z", Power: 1})
	at := func(epoch, revision uint64) deployment.Position {
		return deployment.Position{Epoch: epoch, Revision: revision}
	}
	now := time.Now()
	for id, p := range map[relay.ID]deployment.Position{2: at(1, 90), 3: at(2, 7), 4: at(2, 6), 5: at(2, 7)} {
		n.Heard(now, relay.Report{ID: id, Sequence: 1, Position: p, Follows: true})
	}
	n.Step(now, nil, relay.Report{ID: 1, Sequence: 1, Position: at(1, 95)})
	w := n.Whole(now)
	require.Equal(t, at(2, 7), w.Position())
	var informed []relay.ID
	w.Informed.Each(func(_ int, id relay.ID) { informed = append(informed, id) })
	require.ElementsMatch(t, []relay.ID{3, 5}, informed)
}
