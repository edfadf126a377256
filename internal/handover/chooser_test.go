package handover_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// fleetModel is a fleet of which some nodes hand all of their requests over. Each has
// the same number of requests in progress.
type fleetModel struct {
	name       string
	zones      int
	perZone    int
	cutZones   int
	cutPerZone int
	active     int
}

func (f fleetModel) isCut(zone, n int) bool { return zone < f.cutZones && n < f.cutPerZone }

// mayHave returns the most requests of others that a node may have: half more than an
// even share, within the zone if it has nodes left, and a few.
func (f fleetModel) mayHave() int {
	const few = 8
	total, left := f.cutPerZone*f.active, f.perZone-f.cutPerZone
	if left == 0 {
		total, left = total*f.cutZones, f.perZone*(f.zones-f.cutZones)
	}
	return 3*total/(2*left) + few
}

// play lets the nodes hand over and end requests for a while, and returns the most
// requests of others that a node had, and the share that left their zone.
func (f fleetModel) play(seed uint64) (most int, left float64) {
	const rounds = 20
	random := rand.New(rand.NewPCG(seed, 0))
	regions, now := map[string]string{}, time.Unix(0, 0)
	var peers []handover.Peer
	for z := range f.zones {
		regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z/4)
		for n := range f.perZone {
			if !f.isCut(z, n) {
				peers = append(peers, handover.Peer{Name: fmt.Sprintf("z%d-%d", z, n), Zone: fmt.Sprint("z", z)})
			}
		}
	}
	taken, sent, away := map[string]int{}, 0, 0
	type cutNode struct {
		zone    string
		chooser *handover.Chooser
		at      []string
	}
	var cut []*cutNode
	for z := range f.cutZones {
		for range f.cutPerZone {
			zone := fmt.Sprint("z", z)
			cut = append(cut, &cutNode{zone: zone, chooser: handover.NewChooser(handover.ChooserConfig{Zone: zone, Regions: regions, IntN: random.IntN})})
		}
	}
	for range rounds {
		for _, c := range cut {
			for len(c.at) < f.active {
				p, ok := c.chooser.Choose(now, peers)
				if !ok {
					return 0, 0
				}
				c.at = append(c.at, p.Name)
				taken[p.Name]++
				most = max(most, taken[p.Name])
				if sent++; p.Zone != c.zone {
					away++
				}
			}
			for range f.active / 3 {
				i := random.IntN(len(c.at))
				taken[c.at[i]]--
				c.chooser.Release(now, c.at[i], nil)
				c.at = append(c.at[:i], c.at[i+1:]...)
			}
		}
	}
	return most, float64(away) / float64(max(sent, 1))
}

// Guards against a node that is overwhelmed by what many others hand over to it.
func TestHandedOverRequestsAreSpread(t *testing.T) {
	for _, f := range []fleetModel{
		{name: "8 nodes, one cut off", zones: 4, perZone: 2, cutZones: 1, cutPerZone: 1, active: 12},
		{name: "8 nodes, a zone cut off", zones: 4, perZone: 2, cutZones: 1, cutPerZone: 2, active: 12},
		{name: "8 nodes, half cut off", zones: 4, perZone: 2, cutZones: 4, cutPerZone: 1, active: 12},
		{name: "8 nodes, all but two cut off", zones: 4, perZone: 2, cutZones: 3, cutPerZone: 2, active: 12},
		{name: "85 nodes, half of a zone cut off", zones: 5, perZone: 17, cutZones: 1, cutPerZone: 8, active: 12},
		{name: "330 nodes, half of a zone cut off", zones: 19, perZone: 17, cutZones: 1, cutPerZone: 8, active: 12},
		{name: "330 nodes, a zone cut off", zones: 19, perZone: 17, cutZones: 1, cutPerZone: 17, active: 12},
		{name: "330 nodes, half cut off", zones: 19, perZone: 17, cutZones: 19, cutPerZone: 8, active: 12},
	} {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(3) {
				most, left := f.play(seed)
				t.Logf("at most %d requests of others, %.2f left their zone", most, left)
				require.LessOrEqual(t, most, f.mayHave())
				require.Positive(t, most)
			}
		})
	}
}

// A node that declines a request is avoided for a short time, one that does not answer
// for longer, and both are tried again.
func TestNodesThatTakeNothingAreAvoided(t *testing.T) {
	for _, c := range []struct {
		err    error
		avoids time.Duration
	}{
		{err: handover.ErrDeclined, avoids: 200 * time.Millisecond},
		{err: errors.New("silent"), avoids: time.Second},
		{err: nil},
	} {
		chooser := handover.NewChooser(handover.ChooserConfig{Zone: "z"})
		list, now := []handover.Peer{{Name: "a", Zone: "z"}}, time.Unix(0, 0)
		_, ok := chooser.Choose(now, list)
		require.True(t, ok)
		require.Equal(t, map[string]int{"a": 1}, chooser.Active())
		chooser.Release(now, "a", c.err)
		require.Empty(t, chooser.Active())
		_, ok = chooser.Choose(now.Add(c.avoids), list)
		require.Equal(t, c.err == nil, ok)
		_, ok = chooser.Choose(now.Add(c.avoids+time.Millisecond), list)
		require.True(t, ok)
	}
}
