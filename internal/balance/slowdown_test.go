package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// chosenOften returns how often each endpoint is chosen for a plain request.
func chosenOften(b *balance.Balancer, now time.Time, list []*deployment.Endpoint) map[string]int {
	counts := map[string]int{}
	for range 300 {
		c := b.Choose(now, list, balance.Request{})
		counts[c.Endpoint.ID]++
		b.Release(now, c.Endpoint.Start(), balance.Served)
	}
	return counts
}

// Guards against requests that are sent to an endpoint while it is slow, and against
// endpoints that are avoided long after that.
func TestSlowEndpointIsAvoidedUntilItsReportDecays(t *testing.T) {
	list, now := endpoints(4), time.Now()
	one, two := balance.New(balance.Config{Loads: peers{}}), balance.New(balance.Config{Loads: peers{}})
	one.SetReport(now, list[0], balance.Report{Slots: 8, Slowdown: 2.5})
	two.AddSlowdowns(now, one.Slowdowns(now, now.Add(-time.Second)))
	for _, b := range []*balance.Balancer{one, two} {
		require.InDelta(t, 2.5, b.Slowdown(now, list[0].Start()), 0.01)
		require.Zero(t, chosenOften(b, now, list)["e0"])
		require.InDelta(t, 1+1.5/math.E, b.Slowdown(now.Add(300*time.Millisecond), list[0].Start()), 0.01)
		require.InDelta(t, 1, b.Slowdown(now.Add(time.Second), list[0].Start()), 0.06)
		require.Equal(t, map[string]float64{"e0": 2.5}, b.SlowdownsByID(now))
		later := now.Add(1500 * time.Millisecond)
		require.Greater(t, chosenOften(b, later, list)["e0"], 40)
		require.Empty(t, b.SlowdownsByID(later))
		b.Forget(later, 0)
		require.InDelta(t, 1, b.Slowdown(later, list[0].Start()), 0)
	}
}

// Guards against a slowdown that receivers count as new though its sender has had it for
// a while.
func TestSlowdownIsSentAsOldAsItIs(t *testing.T) {
	list, now := endpoints(1), time.Now()
	one, two := balance.New(balance.Config{Loads: peers{}}), balance.New(balance.Config{Loads: peers{}})
	one.SetReport(now, list[0], balance.Report{Slowdown: 4})
	sent := now.Add(200 * time.Millisecond)
	two.AddSlowdowns(sent, one.Slowdowns(sent, now.Add(-time.Second)))
	for _, age := range []time.Duration{200, 500, 900} {
		at := now.Add(age * time.Millisecond)
		require.InDelta(t, one.Slowdown(at, list[0].Start()), two.Slowdown(at, list[0].Start()), 0.02)
	}
	require.Empty(t, one.Slowdowns(now.Add(2*time.Second), now.Add(-time.Second)), "an expired one")
}

// Guards against messages that grow with the number of endpoints that run as usual, and
// against nodes that are not informed that an endpoint does so again.
func TestOnlyUnusualSlowdownsAreSent(t *testing.T) {
	list, now := endpoints(1), time.Now()
	key := list[0].Start().Key()
	b := balance.New(balance.Config{Loads: peers{}})
	for i, step := range []struct {
		slowdown float64
		want     balance.Slowdowns
	}{
		{1, balance.Slowdowns{}},
		{1.09, balance.Slowdowns{}},
		{1.1, balance.Slowdowns{key: 110}},
		{2.5, balance.Slowdowns{key: 250}},
		{1.05, balance.Slowdowns{key: 105}},
		{1, balance.Slowdowns{}},
		{0.9, balance.Slowdowns{key: 90}},
		{0, balance.Slowdowns{}},
	} {
		now = now.Add(100 * time.Millisecond)
		b.SetReport(now, list[0], balance.Report{Slowdown: step.slowdown})
		require.Equal(t, step.want, b.Slowdowns(now, now.Add(-50*time.Millisecond)), "step %d", i)
	}
	// Several reports arrive between two heartbeats.
	b.SetReport(now, list[0], balance.Report{Slowdown: 3})
	since := now
	for range 3 {
		now = now.Add(10 * time.Millisecond)
		b.SetReport(now, list[0], balance.Report{Slowdown: 1})
	}
	require.Equal(t, balance.Slowdowns{key: 100}, b.Slowdowns(now, since))
}

// Guards against messages that exceed a datagram when most endpoints are slow.
func TestSlowdownsInAMessageAreBounded(t *testing.T) {
	list, now := endpoints(1200), time.Now()
	b := balance.New(balance.Config{Loads: noPeers{}})
	for i, e := range list {
		b.SetReport(now, e, balance.Report{Slowdown: 1.5 + float64(i)/100})
	}
	sent := b.Slowdowns(now, now.Add(-time.Second))
	require.Len(t, sent, balance.MaxSlowdowns)
	for _, p := range sent {
		require.GreaterOrEqual(t, p, 150+1200-balance.MaxSlowdowns)
	}
}

// Guards against reports that are wrong, late, repeated or of endpoints that are gone.
func TestWrongSlowdownsDoLittle(t *testing.T) {
	now := time.Now()
	list := endpoints(4)
	start := list[0].Start()
	for name, sent := range map[string]balance.Slowdowns{
		"zero": {start.Key(): 0}, "negative": {start.Key(): -250}, "above the highest": {start.Key(): 1_000_000_000},
		"an endpoint that is gone": {startOf("gone").Key(): 250},
	} {
		t.Run(name, func(t *testing.T) {
			b := balance.New(balance.Config{Loads: peers{}})
			b.AddSlowdowns(now, sent)
			require.InDelta(t, 1, b.Slowdown(now, start), 0)
			require.Greater(t, chosenOften(b, now, list)["e0"], 40)
			b.Forget(now.Add(2*time.Second), time.Second)
		})
	}
	t.Run("late, after one to this node", func(t *testing.T) {
		b := balance.New(balance.Config{Loads: peers{}})
		b.SetReport(now, list[0], balance.Report{Slowdown: 1})
		b.AddSlowdowns(now.Add(100*time.Millisecond), balance.Slowdowns{start.Key(): 250})
		require.InDelta(t, 1, b.Slowdown(now.Add(100*time.Millisecond), start), 0)
	})
	t.Run("repeated", func(t *testing.T) {
		b := balance.New(balance.Config{Loads: peers{}})
		b.AddSlowdowns(now, balance.Slowdowns{start.Key(): 250})
		b.AddSlowdowns(now.Add(100*time.Millisecond), balance.Slowdowns{start.Key(): 250})
		require.InDelta(t, 1, b.Slowdown(now.Add(1100*time.Millisecond), start), 0.06)
	})
	t.Run("all at the highest", func(t *testing.T) {
		b := balance.New(balance.Config{Loads: peers{}})
		for _, e := range list {
			b.SetReport(now, e, balance.Report{Slowdown: 100})
		}
		require.Len(t, chosenOften(b, now, list), 4)
	})
	t.Run("far faster than usual", func(t *testing.T) {
		b := balance.New(balance.Config{Loads: peers{}})
		b.SetReport(now, list[0], balance.Report{Slowdown: 0.01})
		require.Less(t, chosenOften(b, now, list)["e0"], 150)
	})
	t.Run("more slots than listed", func(t *testing.T) {
		b := balance.New(balance.Config{Loads: peers{}})
		b.SetReport(now, list[0], balance.Report{Load: 3, Slots: 1_000_000_000, Slowdown: 1})
		require.Zero(t, chosenOften(b, now, list)["e0"])
	})
}

// Guards against decisions that change where endpoints report no slowdown: plain choices
// are the better of two draws by load per slot.
func TestPlainChoicesWithoutSlowdownsAreByLoad(t *testing.T) {
	for seed := range uint64(200) {
		random, draws, expected := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 2))
		list, loads := endpoints(2+random.IntN(9)), peers{}
		for i, e := range list {
			e.Slots, loads[e.ID] = 4+random.IntN(8), random.IntN(15)
			e.Zone = fmt.Sprint("z", i%2)
		}
		now := time.Now()
		b := balance.New(balance.Config{Loads: loads, Zone: "z0", IntN: draws.IntN})
		active, reported := map[string]int{}, map[string]int{}
		for range 100 {
			e := list[random.IntN(len(list))]
			reported[e.ID] = random.IntN(20)
			b.SetReport(now, e, balance.Report{Load: reported[e.ID], Slots: 1 + random.IntN(3)})
			cost := func(e *deployment.Endpoint) float64 {
				cost := float64(max(active[e.ID]+loads[e.ID], reported[e.ID])) / float64(e.Slots)
				if e.Zone != "z0" {
					cost += 0.2
				}
				return cost
			}
			var open []*deployment.Endpoint
			for _, e := range list {
				if active[e.ID]+loads[e.ID] < 4*e.Slots {
					open = append(open, e)
				}
			}
			if len(open) < 2 {
				break
			}
			i := expected.IntN(len(open))
			j := expected.IntN(len(open) - 1)
			if j >= i {
				j++
			}
			want := open[i]
			if cost(open[j]) < cost(open[i]) {
				want = open[j]
			}
			got := b.Choose(now, list, balance.Request{})
			require.Equal(t, want.ID, got.Endpoint.ID, "seed %d", seed)
			require.Zero(t, got.Slowdown)
			active[want.ID]++
		}
	}
}

// Guards against requests that queue where the endpoint has fewer slots than listed.
func TestReportedSlotsReplaceMoreListedOnes(t *testing.T) {
	list, now := endpoints(2), time.Now()
	b := balance.New(balance.Config{Loads: peers{"e0": 3, "e1": 5}})
	b.SetReport(now, list[0], balance.Report{Load: 3, Slots: 2, Slowdown: 1})
	require.Equal(t, map[string]int{"e1": 300}, chosenOften(b, now, list))
	require.Greater(t, chosenOften(b, now.Add(time.Second), list)["e0"], 290)
}

// Guards against prompts that wait at a slow engine though another one holds their part
// too, and against prompts that move to an engine that would have to process it.
func TestSlowEngineIsPassedOver(t *testing.T) {
	const objective = 400 * time.Millisecond
	list := endpoints(4)
	for _, c := range []struct {
		name            string
		holders         []string
		slow            map[string]float64
		pending         pendingPrefill
		prompt          balance.Prompt
		from, to, avoid string
	}{
		{name: "another holder", holders: []string{"e1", "e2"}, slow: map[string]float64{"*": 2.5}, prompt: balance.Prompt{Own: 4000, Shared: 8000}, avoid: "*"},
		{name: "both slow", holders: []string{"e1", "e2"}, slow: map[string]float64{"e1": 2.5, "e2": 2.5}, prompt: balance.Prompt{Own: 4000, Shared: 8000}, to: "*"},
		{name: "no other holder", holders: []string{"e1"}, slow: map[string]float64{"e1": 2.5}, prompt: balance.Prompt{Own: 4000, Shared: 8000}, to: "e1"},
		{name: "no other holder, but a much shorter queue", holders: []string{"e1"}, slow: map[string]float64{"e1": 2.5}, pending: pendingPrefill{"e1": 3800}, prompt: balance.Prompt{Own: 100, Shared: 600}, avoid: "e1"},
		{name: "the same queue at usual speed", holders: []string{"e1"}, pending: pendingPrefill{"e1": 3800}, prompt: balance.Prompt{Own: 100, Shared: 600}, to: "e1"},
		{name: "other engines slow too", holders: []string{"e1"}, slow: map[string]float64{"e0": 9, "e1": 2.5, "e2": 9, "e3": 9}, pending: pendingPrefill{"e0": 2000, "e1": 3800, "e2": 2000, "e3": 2000}, prompt: balance.Prompt{Own: 100}, to: "e1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			b := newMeasured(t, c.pending, list, c.holders[0])
			for _, id := range c.holders[1:] {
				b.AddPlacements(now, []balance.Placement{placement(t, list, id)})
			}
			r := balance.Request{Key: "doc", Prompt: c.prompt, Objective: objective}
			usual := b.Choose(now, list, r).Endpoint
			b.Release(now, usual.Start(), balance.Served)
			for _, e := range list {
				if f := max(c.slow[e.ID], 0); f > 0 {
					b.SetReport(now, e, balance.Report{Slowdown: f})
				} else if e == usual && c.slow["*"] > 0 {
					b.SetReport(now, e, balance.Report{Slowdown: c.slow["*"]})
				}
			}
			got := b.Choose(now, list, r).Endpoint.ID
			switch {
			case c.avoid == "*":
				require.NotEqual(t, usual.ID, got)
				require.Contains(t, c.holders, got)
			case c.avoid != "":
				require.NotEqual(t, c.avoid, got)
			case c.to == "*":
				require.Contains(t, c.holders, got)
			default:
				require.Equal(t, c.to, got)
			}
		})
	}
}

// BenchmarkChooseWithSlowdowns measures a choice where all endpoints report slowdowns.
func BenchmarkChooseWithSlowdowns(b *testing.B) {
	for _, key := range []string{"", "part"} {
		for _, reported := range []bool{false, true} {
			b.Run(fmt.Sprintf("key=%q reported=%t", key, reported), func(b *testing.B) {
				list, now := endpoints(1200), time.Now()
				chooser := balance.New(balance.Config{Loads: noPeers{}})
				for i, e := range list {
					r := balance.Report{Load: i % 5}
					if reported {
						r.Slots, r.Slowdown = 8, 1+float64(i%7)/4
					}
					chooser.SetReport(now, e, r)
				}
				now = now.Add(50 * time.Millisecond)
				for range b.N {
					c := chooser.Choose(now, list, balance.Request{Key: key})
					chooser.Release(now, c.Endpoint.Start(), balance.Served)
				}
			})
		}
	}
}

// Guards against engine choices that change where no endpoint is slow: reports of slots
// and of the usual speed make no difference.
func TestEngineChoicesWithoutSlowdownsAreTheSame(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		list, loads := endpoints(2+random.IntN(30)), peers{}
		for _, e := range list {
			loads[e.ID], e.Draining = random.IntN(7), random.IntN(9) == 0
		}
		var balancers []*balance.Balancer
		for range 3 {
			draws := rand.New(rand.NewPCG(seed, 2))
			balancers = append(balancers, balance.New(balance.Config{Loads: loads, Draw: draws.Float64, IntN: draws.IntN}))
		}
		now := time.Unix(1000, 0)
		for range 150 {
			now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
			e, load, took, ends := list[random.IntN(len(list))], random.IntN(12), time.Duration(random.IntN(200))*time.Millisecond, random.IntN(4) > 0
			balancers[0].SetReportedLoad(now, e.Start(), load)
			balancers[1].SetReport(now, e, balance.Report{Load: load, Slots: 1 + random.IntN(4)})
			balancers[2].SetReport(now, e, balance.Report{Load: load, Slots: 1 + random.IntN(4), Slowdown: 1})
			r := balance.Request{
				Key: fmt.Sprint("p", random.IntN(9)), Objective: time.Duration(random.IntN(400)) * time.Millisecond, Repeatable: true,
				Prompt: balance.Prompt{Own: random.IntN(9000), Shared: random.IntN(3000)}, WaitForHolder: random.IntN(3) == 0,
			}
			want := ""
			for i, b := range balancers {
				got, prefill := "", time.Duration(0)
				if c := send(b, now, list, r); c != nil {
					got, prefill = c.Endpoint.ID, c.PrefillTime
					if ends {
						b.PrefillDone(now, c, took)
						b.Release(now, c.Endpoint.Start(), balance.Served)
					}
				}
				got += prefill.String()
				if i == 0 {
					want = got
				}
				require.Equal(t, want, got, "seed %d, balancer %d", seed, i)
			}
		}
	}
}
