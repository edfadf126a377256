package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// TestExplainedChoiceOfOwner guards against an explanation by a service's owner that
// shows a draw of two, or another endpoint than the owner takes, and against one that
// changes which endpoint is next: the second balancer is never asked to explain.
func TestExplainedChoiceOfOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		list := endpoints(rapid.IntRange(1, 6).Draw(t, "endpoints"))
		turns := func() func(int) int {
			n := 0
			return func(of int) int {
				n++
				return n * 7 % of
			}
		}
		explained := balance.New(balance.Config{Loads: peers{}, IntN: turns()})
		plain := balance.New(balance.Config{Loads: peers{}, IntN: turns()})
		r := balance.Request{Service: deployment.Service{Name: "s"}, Exclusive: true}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			e := rapid.SampledFrom(list).Draw(t, "endpoint")
			report := balance.Report{Load: rapid.IntRange(0, 6).Draw(t, "load"), Slowdown: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "slowdown")}
			explained.SetReport(now, e, report)
			plain.SetReport(now, e, report)
			x := explained.Explain(now, list, r)
			require.Equal(t, x, explained.Explain(now, list, r), "an explanation changes nothing")
			requireConsistent(t, x)
			require.NotEqual(t, balance.DrawTwo, x.Draw)
			got, want := explained.Choose(now, list, r), plain.Choose(now, list, r)
			require.Equal(t, want, got)
			if got == nil {
				require.Empty(t, x.Chosen)
				require.Empty(t, x.Draw)
				continue
			}
			if x.Draw == "" {
				require.Equal(t, got.Endpoint.ID, x.Chosen)
			}
			for _, c := range x.Candidates {
				if c.Endpoint == got.Endpoint.ID {
					require.True(t, c.Chosen || c.Drawn)
					require.InDelta(t, got.Slowdown, c.Slowdown, 1e-9)
					require.InDelta(t, 1000*got.SlowdownAge.Seconds(), c.SlowdownMS, 1e-6)
				}
			}
			if rapid.Bool().Draw(t, "ends") {
				explained.Release(now, got.Endpoint.Start(), balance.Served)
				plain.Release(now, want.Endpoint.Start(), balance.Served)
			}
		}
	})
}

// TestExplainKeepsLoadOrder guards against an explanation after which a service counts as
// one whose endpoints report slowdowns.
func TestExplainKeepsLoadOrder(t *testing.T) {
	now, list := time.Now(), endpoints(2)
	b := balance.New(balance.Config{Loads: peers{}, Zone: list[0].Zone})
	r := balance.Request{Service: deployment.Service{Name: "s"}, Exclusive: true}
	b.AddSlowdowns(now, balance.Slowdowns{list[0].Start().Key(): 300})
	x := b.Explain(now, list, r)
	require.Equal(t, "e1", x.Chosen)
	require.InDelta(t, 3, x.Candidates[1].Slowdown, 1e-9)
	after := now.Add(time.Minute)
	b.Forget(after, time.Hour)
	require.Equal(t, balance.DrawEqual, b.Explain(after, list, r).Draw)
	require.Zero(t, b.Explain(after, list, r).Candidates[0].Cost, "the load, not the expected time")
}
