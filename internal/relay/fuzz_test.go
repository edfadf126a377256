package relay_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// Whatever summary a peer sends, the node's own stays consistent.
func FuzzSummary(f *testing.F) {
	good := relay.Summary{
		ID: 9, Zone: "y", Sequence: 1, Covered: relay.IDs(nil).Add(9), Statuses: []byte{1}, Loads: map[uint32]int{3: 4},
		Lost: relay.IDs(nil).Add(1).Add(7), Revision: 5, UpToDate: relay.IDs(nil).Add(9),
	}
	for _, whole := range []bool{false, true} {
		good.Fleet = whole
		data, err := cbor.Marshal(good)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
		good.Shard, good.Shards = 3, 8
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &relay.Summary{}
		if cbor.Unmarshal(data, s) != nil {
			return
		}
		now := time.Unix(1, 0)
		n := relay.New(relay.Config{ID: 1, Zone: "z", Power: 100})
		peer := relay.Peer{ID: s.ID, Zone: "y", Power: 200, FirstSeen: now, LastSeen: now}
		own, timing := relay.Report{ID: 1, Sequence: 1, Loads: map[uint32]int{2: 3}}, relay.NewTiming(200)
		n.Step(now, timing, []relay.Peer{peer}, own)
		n.ReceiveSummary(now, peer, s, 1)
		own.Sequence++
		n.Step(now.Add(timing.Step), timing, []relay.Peer{peer}, own)
		w := n.Fleet(now.Add(timing.Step))
		if w == nil || w.Covered.Len() != len(w.Statuses) {
			t.Fatalf("inconsistent summary: %+v", w)
		}
	})
}
