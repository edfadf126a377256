package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// Guards against an endpoint over its bound because its owner does not count what
// an unreachable node still runs there.
func TestUnreachableNodeCountsAgainstBound(t *testing.T) {
	const bound = 3
	tests := map[string]struct {
		state kernel.State
		// reported is the number of requests that the endpoint reports; -1 for no
		// report.
		reported int
		// after is the time from the node becoming unreachable to the report.
		after time.Duration
		want  int
	}{
		"reachable":                {kernel.Live, -1, 0, 0},
		"unreachable":              {kernel.Suspect, -1, 0, 0},
		"unreachable, all running": {kernel.Suspect, bound, 1500 * time.Millisecond, 0},
		"unreachable, one ended":   {kernel.Suspect, bound - 1, 1500 * time.Millisecond, 1},
		"unreachable, all ended":   {kernel.Suspect, 0, 1500 * time.Millisecond, bound},
		"unreachable, old report":  {kernel.Suspect, 0, 500 * time.Millisecond, 0},
		"dead":                     {kernel.Dead, -1, 0, bound},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := twoNodes("n2", "n2", 0)
			g := permit.New(permit.Config{View: func() *kernel.View { return v }})
			now, id := start, uint64(0)
			grants := func(node string) (granted int) {
				for range 2 * bound {
					id++
					a := ask(id)
					a.Node = node
					if g.Admit(now, a) == permit.Granted {
						granted++
					}
				}
				return granted
			}
			require.Equal(t, bound, grants("n1"))
			v.Nodes[0].State = test.state
			g.Expire(now)
			g.Loads()
			if test.reported >= 0 {
				now = now.Add(test.after)
				g.RecordReport(now, "w1", kernel.Load{Requests: test.reported, Tokens: 10 * test.reported})
			}
			require.Equal(t, test.want, grants("n2"))
		})
	}
}

// Guards against permits that count twice, or not at all, once their node is
// reachable again.
func TestReachableAgainNodeKeepsPermits(t *testing.T) {
	v := twoNodes("n2", "n2", 0)
	g := permit.New(permit.Config{View: func() *kernel.View { return v }})
	require.Equal(t, permit.Granted, g.Admit(start, ask(1)))
	require.Equal(t, permit.Granted, g.Admit(start, ask(2)))
	for _, state := range []kernel.State{kernel.Suspect, kernel.Live, kernel.Suspect, kernel.Live} {
		v.Nodes[0].State = state
		g.Expire(start)
	}
	require.Equal(t, 2, loadOf(g, "w1").Requests)
	v.Nodes[0].State = kernel.Suspect
	g.Expire(start)
	g.Release(start, permit.Release{ID: 1})
	v.Nodes[0].State = kernel.Live
	g.Expire(start)
	require.Equal(t, 1, loadOf(g, "w1").Requests)
}
