package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// sequence returns fixed numbers in turn, so that two balancers draw the same.
func sequence() func() float64 {
	n := 0
	return func() float64 {
		n++
		return float64(n*37%100) / 100
	}
}

// TestExplainedChoiceIsTheOneMade guards against an explanation that differs from the
// decision on the same state, and against one that changes what is decided after it:
// the second balancer is never asked to explain.
func TestExplainedChoiceIsTheOneMade(t *testing.T) {
	outcomes := []balance.Outcome{
		balance.Served, balance.Failed, balance.Failed, balance.Unreachable, balance.Refused, balance.Unknown, balance.ReservationRefused, balance.Gone,
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		list := endpoints(rapid.IntRange(1, 8).Draw(t, "endpoints"))
		service := deployment.Service{Name: "s", ColdRate: 5}
		for _, e := range list {
			e.Draining = rapid.IntRange(0, 5).Draw(t, "draining") == 0
			e.Evacuated = rapid.IntRange(0, 5).Draw(t, "evacuated") == 0
			if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
				e.ColdUntil = now.Add(time.Minute)
			}
		}
		loads := peers{"e0": rapid.IntRange(0, 12).Draw(t, "load")}
		explained := balance.New(balance.Config{Loads: loads, Draw: sequence()})
		plain := balance.New(balance.Config{Loads: loads, Draw: sequence()})
		both := func(f func(b *balance.Balancer)) {
			f(explained)
			f(plain)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			e := rapid.SampledFrom(list).Draw(t, "endpoint")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				d := time.Duration(rapid.IntRange(0, 2000).Draw(t, "backoff")) * time.Millisecond
				both(func(b *balance.Balancer) { b.Backoff(now, e.Start(), d) })
			case 1:
				n := rapid.IntRange(0, 20).Draw(t, "reported")
				both(func(b *balance.Balancer) { b.SetReportedLoad(now, e.Start(), n) })
			case 2:
				if rapid.IntRange(0, 4).Draw(t, "brittle") == 0 {
					both(func(b *balance.Balancer) { b.SetBrittle(now, "s") })
				}
			}
			r := balance.Request{Service: service, Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), Repeatable: rapid.Bool().Draw(t, "repeatable"), Objective: time.Second, Prompt: balance.Prompt{Own: 20, Shared: 3000}}
			for _, key := range []string{"", r.Key} {
				q := r
				q.Key = key
				x := explained.Explain(now, list, q)
				require.Equal(t, x, explained.Explain(now, list, q), "an explanation changes nothing")
				requireConsistent(t, x)
			}
			x := explained.Explain(now, list, r)
			got, want := explained.Choose(now, list, r), plain.Choose(now, list, r)
			require.Equal(t, want, got)
			requireChosen(t, x, got)
			if got == nil {
				continue
			}
			both(func(b *balance.Balancer) { b.Sent(now, want) })
			if rapid.Bool().Draw(t, "ends") {
				o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
				both(func(b *balance.Balancer) { b.Release(now, want.Endpoint.Start(), o) })
			}
		}
		require.Equal(t, plain.Active(), explained.Active())
		require.Equal(t, plain.PendingPrefill(), explained.PendingPrefill())
		require.Equal(t, plain.Failures(now), explained.Failures(now))
	})
}

// requireConsistent checks what holds for each explanation.
func requireConsistent(t *rapid.T, x balance.Explanation) {
	drawn, chosen := 0, 0
	for _, c := range x.Candidates {
		if c.Drawn {
			drawn++
			require.Empty(t, c.Blocked)
		}
		if c.Chosen {
			chosen++
			require.Empty(t, c.Blocked)
		}
	}
	require.Equal(t, x.Drawn, drawn)
	require.Equal(t, x.Draw != "", drawn > 0)
	require.Equal(t, x.Chosen != "", chosen == 1)
	require.Len(t, x.Candidates, x.Total)
}

// requireChosen checks the explanation of a request with a prompt: exactly the
// endpoint that was chosen, except for cold ones, which are drawn.
func requireChosen(t *rapid.T, x balance.Explanation, got *balance.Choice) {
	if got == nil {
		require.Empty(t, x.Chosen)
		return
	}
	if got.Cold && x.Draw == balance.DrawCold {
		for _, c := range x.Candidates {
			require.True(t, c.Endpoint != got.Endpoint.ID || c.Drawn)
		}
		return
	}
	require.Equal(t, got.Endpoint.ID, x.Chosen)
	require.Equal(t, got.First.ID, x.First)
	if got.Source != nil {
		require.Equal(t, got.Source.ID, x.Source)
	}
	require.InDelta(t, got.PrefillTime.Seconds()*1000, x.PrefillMS, 1e-6)
}

// TestExplainedDrawOfTwo guards against an explanation of a plain request that lacks an
// endpoint which may be chosen, or has one that may not.
func TestExplainedDrawOfTwo(t *testing.T) {
	now := time.Now()
	list := endpoints(6)
	list[0].Draining, list[1].Evacuated = true, true
	b := balance.New(balance.Config{Loads: peers{"e2": 40}})
	b.Backoff(now, startOf("e3"), time.Second)
	x := b.Explain(now, list, balance.Request{})
	require.Equal(t, balance.DrawTwo, x.Draw)
	require.Empty(t, x.Chosen)
	require.Equal(t, 1, x.Draining)
	require.Equal(t, 1, x.Evacuated)
	drawn := map[string]bool{}
	for _, c := range x.Candidates {
		drawn[c.Endpoint] = c.Drawn
	}
	require.Equal(t, map[string]bool{"e2": false, "e3": false, "e4": true, "e5": true}, drawn)
	for range 50 {
		c := b.Choose(now, list, balance.Request{})
		require.True(t, drawn[c.Endpoint.ID])
		b.Release(now, c.Endpoint.Start(), balance.Served)
	}
}

// TestExplainedBlocks guards against a blocked endpoint without a reason, or with that
// of another state.
func TestExplainedBlocks(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		arrange func(b *balance.Balancer)
		load    int
		// exclusive says that all requests pass through this node.
		exclusive bool
		want      []string
	}{
		{name: "full", load: 32, want: []string{"full"}},
		{name: "unreachable", arrange: func(b *balance.Balancer) { fail(b, now, balance.Unreachable) }, want: []string{"unreachable"}},
		{name: "refused, and full", arrange: func(b *balance.Balancer) { fail(b, now, balance.Refused) }, load: 31, want: []string{"refused"}},
		{name: "reservation refused", arrange: func(b *balance.Balancer) { fail(b, now, balance.ReservationRefused) }, want: []string{"reservation-refused"}},
		{name: "full by the requests of the owner", exclusive: true, arrange: func(b *balance.Balancer) {
			for b.Choose(now, endpoints(1), balance.Request{Exclusive: true}) != nil {
				continue
			}
		}, want: []string{"owner-limit"}},
		{name: "backoff of an owner", exclusive: true, load: 90, arrange: func(b *balance.Balancer) { b.Backoff(now, startOf("e0"), time.Second) }, want: []string{"backoff"}},
		{name: "backoff", arrange: func(b *balance.Balancer) { b.Backoff(now, startOf("e0"), time.Second) }, want: []string{"backoff"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := balance.New(balance.Config{Loads: peers{"e0": c.load}})
			if c.arrange != nil {
				c.arrange(b)
			}
			x := b.Explain(now, endpoints(1), balance.Request{Exclusive: c.exclusive})
			var got []string
			for _, block := range x.Candidates[0].Blocked {
				got = append(got, block.Reason)
			}
			require.Equal(t, c.want, got)
			require.Empty(t, x.Chosen)
		})
	}
}

// fail sends a request to e0, which ends with an outcome.
func fail(b *balance.Balancer, now time.Time, o balance.Outcome) {
	c := b.Choose(now, endpoints(1), balance.Request{})
	b.Release(now, c.Endpoint.Start(), o)
}

// TestExplainKeepsProbes guards against an explanation that uses up the request by
// which a suspect endpoint proves that it has recovered.
func TestExplainKeepsProbes(t *testing.T) {
	now := time.Now()
	list := endpoints(3)
	b := balance.New(balance.Config{Loads: peers{}})
	for range 4 {
		c := b.Choose(now, list[:1], balance.Request{Key: "a"})
		require.NotNil(t, c)
		b.Release(now, c.Endpoint.Start(), balance.Failed)
	}
	now = now.Add(10 * time.Second)
	r := balance.Request{Key: "a", Tried: []deployment.Start{startOf("e1"), startOf("e2")}, Repeatable: true}
	for range 3 {
		x := b.Explain(now, list, r)
		require.True(t, x.Candidates[0].Probe)
		require.False(t, x.Candidates[0].Suspect)
	}
	c := b.Choose(now, list, r)
	require.Equal(t, "e0", c.Endpoint.ID)
	require.True(t, b.Explain(now, list, r).Candidates[0].Suspect, "the probe is used up by the request")
}

// TestExplainKeepsColdDraws guards against an explanation that uses up the time since
// the last draw, by which a node earns a request to a cold endpoint.
func TestExplainKeepsColdDraws(t *testing.T) {
	now := time.Now()
	list := endpoints(1)
	list[0].ColdUntil = now.Add(time.Minute)
	// Shared by the 330 nodes that a new node assumes, this is one request in 10 ms.
	r := balance.Request{Service: deployment.Service{Name: "s", ColdRate: 66_000}}
	b := balance.New(balance.Config{Loads: peers{}, Draw: func() float64 { return 0.5 }})
	require.NotNil(t, b.Choose(now, list, r))
	b.Release(now, startOf("e0"), balance.Served)
	now = now.Add(20 * time.Millisecond)
	for range 3 {
		x := b.Explain(now, list, r)
		require.Equal(t, balance.DrawCold, x.Draw)
		require.Equal(t, 1, x.Drawn)
		require.Empty(t, x.Chosen)
	}
	require.NotNil(t, b.Choose(now, list, r))
	b.Release(now, startOf("e0"), balance.Served)
	require.Nil(t, b.Choose(now, list, r), "the request has used it up")
}

// TestExplanationIsBounded guards against an answer that grows with the service.
func TestExplanationIsBounded(t *testing.T) {
	now := time.Now()
	list := endpoints(1200)
	b := balance.New(balance.Config{Loads: peers{}})
	for n := range 20 {
		r := balance.Request{Key: fmt.Sprint(n)}
		x := b.Explain(now, list, r)
		require.Equal(t, 1200, x.Total)
		require.Len(t, x.Candidates, 32)
		require.True(t, x.Candidates[0].Chosen)
		require.Equal(t, 1, x.Candidates[0].Rank)
		require.Equal(t, x.Chosen, b.Choose(now, list, r).Endpoint.ID)
	}
}
