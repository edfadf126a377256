package relay_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// BenchmarkStep measures a step of a node without and with followers.
func BenchmarkStep(b *testing.B) {
	for _, p := range []plan{large(1), target(1)} {
		for _, followers := range []int{0, p.nodes / p.zones} {
			b.Run(fmt.Sprint(p.nodes, " nodes, ", followers, " followers"), func(b *testing.B) {
				now := time.Unix(1, 0)
				n := relay.New(relay.Config{ID: 1, Zone: "z0", Power: 800})
				peers := make([]relay.Peer, 0, p.nodes)
				for i := range p.nodes {
					peers = append(peers, relay.Peer{ID: relay.ID(i + 2), Zone: fmt.Sprint("z", i%p.zones), Power: 900 - 800*min(followers, 1), FirstSeen: now, LastSeen: now})
				}
				loads := make(map[uint32]int, p.each)
				for i := range p.each {
					loads[uint32(i*p.endpoints/p.each)] = 2
				}
				timing, sequence := relay.NewTiming(p.nodes), uint64(0)
				for b.Loop() {
					sequence++
					now = now.Add(timing.Step)
					for i := range followers {
						n.ReceiveReport(now, relay.Report{ID: peers[i*p.zones].ID, Sequence: sequence, Follows: true, Loads: loads})
					}
					n.Step(now, timing, peers, relay.Report{ID: 1, Sequence: sequence, Loads: loads})
				}
			})
		}
	}
}
