package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against long queues at the endpoints of a service whose requests all pass
// through one node, where they are ordered.
func TestExclusiveRequestsFillSlotsAndOneMore(t *testing.T) {
	for _, c := range []struct {
		name      string
		exclusive bool
		others    peers
		most      int
	}{
		{name: "shared", most: 3 * 4 * 8},
		{name: "exclusive", exclusive: true, most: 3 * (8 + 1)},
		// Guards against slots that stay free after a change of the owner, as old counts
		// of the other nodes block the endpoints.
		{name: "exclusive, others report requests", exclusive: true, others: peers{"e0": 30, "e1": 9}, most: 3 * (8 + 1)},
		{name: "shared, others report requests", others: peers{"e0": 30, "e1": 9}, most: 3*4*8 - 39},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, list, now := balance.New(balance.Config{Loads: c.others}), endpoints(3), time.Now()
			sent := 0
			for send(b, now, list, balance.Request{Exclusive: c.exclusive}) != nil {
				sent++
			}
			require.Equal(t, c.most, sent)
			require.False(t, b.HasRoom(now, list, balance.Request{Exclusive: c.exclusive}))
			b.Release(now, list[0].Start(), balance.Served)
			require.True(t, b.HasRoom(now, list, balance.Request{Exclusive: c.exclusive}))
		})
	}
}

// Guards against a request that waits behind others although an endpoint has a free slot,
// and against traffic between zones that is not needed.
func TestExclusiveRequestsTakeTheLeastLoadedOfAll(t *testing.T) {
	b, list, now := balance.New(balance.Config{Loads: peers{}, Zone: "z"}), endpoints(4), time.Now()
	list[1].Zone, list[2].Zone = "y", "y"
	list[3].Slots = 4
	r := balance.Request{Service: deployment.Service{Name: "s"}, Exclusive: true}
	counts := map[string]int{}
	for n := range 28 {
		c := send(b, now, list, r)
		for id, have := range counts {
			for _, e := range list {
				if e.ID == id && id != c.Endpoint.ID {
					require.LessOrEqual(t, float64(counts[c.Endpoint.ID])/float64(c.Endpoint.Slots), float64(have)/float64(e.Slots), "request %d", n)
				}
			}
		}
		if n < 2 {
			require.Equal(t, "z", c.Endpoint.Zone, "of equal ones, those of the own zone come first")
		}
		counts[c.Endpoint.ID]++
	}
	require.Equal(t, map[string]int{"e0": 8, "e1": 8, "e2": 8, "e3": 4}, counts)
}

// Guards against an owner that uses only its share, as one of many nodes, of a brittle
// service.
func TestExclusiveRequestsUseAllOfABrittleService(t *testing.T) {
	b := balance.New(balance.Config{Loads: peers{}, Nodes: func() int { return 77 }})
	list, now := endpoints(3), time.Now()
	b.SetBrittle(now, "s")
	r := balance.Request{Service: deployment.Service{Name: "s"}, Exclusive: true}
	sent := 0
	for send(b, now, list, r) != nil {
		sent++
	}
	require.Equal(t, 3*8, sent, "none waits at an endpoint that must not turn requests away")
}
