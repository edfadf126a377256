package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against engines that process the same prompt parts again, and fetches from
// engines that never had them, in a fleet of two hundred nodes: heartbeats there may
// be seconds apart, and the others never learn of a placement that is in none of
// them.
func TestEachPlacementIsInSomeHeartbeat(t *testing.T) {
	for _, interval := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 1250 * time.Millisecond, 2600 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			b := balance.New(balance.Config{Loads: noPeers{}})
			list := endpoints(4)
			start := time.Now()
			sent := map[balance.Placement]int{}
			last := start
			const prompts = 40
			due := start.Add(interval)
			for i := range prompts {
				now := start.Add(time.Duration(i) * 200 * time.Millisecond)
				for !due.After(now) {
					for _, p := range b.Placements(due, last) {
						sent[p]++
					}
					last, due = due, due.Add(interval)
				}
				c := b.Choose(now, list, balance.Request{Key: fmt.Sprint("part-", i)})
				require.NotNil(t, c)
				b.Sent(now, c)
				b.Release(now, c.Endpoint.Start(), balance.Served)
			}
			for _, p := range b.Placements(due, last) {
				sent[p]++
			}
			require.Len(t, sent, prompts)
		})
	}
}

// Guards against nodes that avoid an endpoint which has long been idle, because an
// old report counts as new at its receivers.
func TestExpiredReportIsNotSent(t *testing.T) {
	list := endpoints(1)
	now := time.Now()
	one, two := balance.New(balance.Config{Loads: noPeers{}}), balance.New(balance.Config{Loads: noPeers{}})
	one.SetReportedLoad(now, list[0].Start(), 20)
	late := now.Add(1200 * time.Millisecond)
	two.AddReports(late, one.Reports(late, now.Add(-time.Second)))
	require.Zero(t, two.Utilization(late, list[0], deployment.Service{}))
}
