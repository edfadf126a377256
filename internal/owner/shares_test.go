package owner_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// models are the fleets and services of the models.
var models = []struct{ nodes, endpoints, slots, work int }{{77, 3, 6, 30}, {120, 21, 6, 200}}

// Guards against kinds of requests that starve, or are served less than others of equal
// priority, at the scarce slots of a service that has an owner, while nodes know of each
// other late, are partitioned or restart.
func TestServedSharesWithAnOwner(t *testing.T) {
	for _, c := range models {
		for phase, share := range newModel(owning, c.nodes, c.endpoints, c.slots, c.work).run() {
			t.Logf("%d nodes, phase %d: urgent %.3f, often %.3f, patient %.3f", c.nodes, phase, share[0], share[1], share[2])
			require.LessOrEqual(t, math.Abs(share[1]-share[2]), 0.05)
			require.GreaterOrEqual(t, share[0], max(share[1], share[2]))
			// Slots suffice for 0.71 of the requests. Less means that they stay free, as
			// they did when old counts of other nodes blocked endpoints at a new owner.
			require.Greater(t, (share[0]+2*share[1]+share[2])/4, 0.66)
		}
	}
}

// BenchmarkServedShares reports the served shares of the ways to share slots.
func BenchmarkServedShares(b *testing.B) {
	for _, c := range models {
		for w, name := range []string{"alone", "sharing", "owning"} {
			b.Run(fmt.Sprint(c.nodes, "/", name), func(b *testing.B) {
				for b.Loop() {
					for phase, share := range newModel(way(w), c.nodes, c.endpoints, c.slots, c.work).run() {
						b.Logf("phase %d: urgent %.3f, often %.3f, patient %.3f", phase, share[0], share[1], share[2])
					}
				}
			})
		}
	}
}
