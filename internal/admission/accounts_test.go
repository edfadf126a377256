package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/admission"
)

// of returns the load as that of a client account.
func of(client string, l load) load {
	l.request.Account = client
	return l
}

// surge returns a rate that rises to a multiple of its usual value for seven seconds.
func surge(usual, times float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 10*time.Second && at < 17*time.Second {
			return times * usual
		}
		return usual
	}
}

// Guards against refusals for the callers of all client accounts while one account
// sends many times its usual number of requests.
func TestSurgingAccountBearsItsOwnRefusals(t *testing.T) {
	cases := []struct {
		name   string
		nodes  int
		places int
		kinds  []load
		// others is the least served share of the other accounts, surging that of the
		// account that surges.
		others, surging float64
	}{
		{
			name: "one of three, five times its usual", nodes: 9, places: 200, others: 0.93, surging: 0.4,
			kinds: []load{of("a", urgent(steady(30))), of("b", long(steady(20))), of("c", urgent(surge(25, 5)))},
		},
		{
			name: "seen by one node", nodes: 1, places: 200, others: 0.97, surging: 0.4,
			kinds: []load{of("a", urgent(steady(30))), of("b", long(steady(20))), of("c", urgent(surge(25, 5)))},
		},
		{
			// The surging account is served at least half as often as all, at the
			// expense of the others.
			name: "a small one, a hundred times its usual", nodes: 9, places: 200, others: 0.6, surging: 0.5,
			kinds: []load{of("a", urgent(steady(60))), of("b", long(steady(30))), of("c", urgent(surge(1, 100)))},
		},
		{
			name: "a small one, thirty times its usual", nodes: 9, places: 200, others: 0.94, surging: 0.35,
			kinds: []load{of("a", urgent(steady(40))), of("b", long(steady(20))), of("c", urgent(surge(4, 30)))},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := play(pattern{nodes: c.nodes, places: fixedPlaces(c.places), kinds: c.kinds, length: 20 * time.Second}, 7)
			for i, k := range m.tallies {
				t.Logf("%s asked %d served %.2f", m.kinds[i].request.Account, k.asked, k.share())
			}
			require.GreaterOrEqual(t, m.tallies[0].share(), c.others)
			require.GreaterOrEqual(t, m.tallies[1].share(), c.others)
			require.GreaterOrEqual(t, m.tallies[2].share(), c.surging)
		})
	}
}

// Growth that all accounts share is no account's excess, and neither is random
// variation.
func TestGrowthOfAllAccountsIsNoExcess(t *testing.T) {
	cases := []struct {
		name  string
		loads []load
		most  float64
	}{
		{name: "steady", loads: []load{of("a", urgent(steady(5))), of("b", urgent(steady(50))), of("c", urgent(steady(0.2)))}, most: 0.002},
		{name: "a burst of all", loads: []load{of("a", urgent(surge(5, 4))), of("b", urgent(surge(50, 4)))}, most: 0.02},
		{name: "one account alone", loads: []load{of("a", urgent(surge(10, 10)))}, most: 0},
		{name: "requests without an account", loads: []load{urgent(surge(10, 10)), of("a", urgent(steady(5)))}, most: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &model{pattern: pattern{nodes: 1}}
			m.random = newRandom(11)
			q, excess, all := admission.NewQueue(), 0, 0
			for now := time.Duration(0); now < 30*time.Second; now += tick {
				for _, l := range c.loads {
					for range m.poisson(l.rate(now) * tick.Seconds()) {
						all++
						if q.Arrived(start.Add(now), l.request) {
							excess++
						}
					}
				}
			}
			require.LessOrEqual(t, float64(excess), c.most*float64(all), fmt.Sprint(excess, " of ", all))
		})
	}
}
