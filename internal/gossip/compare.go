package gossip

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// digestEvery is the number of heartbeats per digest: at 330 nodes digests
	// take about 100 bytes/s.
	digestEvery = 8
	// rereadInterval is the minimum time between two rereads caused by a digest
	// mismatch: one read resolves it, unless an item cannot be read.
	rereadInterval = 5 * time.Second
	// mismatchRatio is how many nodes, per node that agrees with this one, must
	// differ before it rereads: a few wrong nodes must not make all others read.
	mismatchRatio = 0.5
)

// compareDigests makes the node reread the store if many nodes report a
// different digest for the same position.
//
// A node that missed a change considers itself up to date and keeps applying
// later changes. Only the digest reveals it, for as long as the node runs.
func (g *Gossip) compareDigests(l *loop, now time.Time) {
	own := g.config.Replica.Record()
	same, other := 1, 0
	for _, n := range l.table.nodes {
		switch {
		case !n.alive || n.digest == 0 || n.digestAt != own.Position:
		case n.digest == own.Digest:
			same++
		default:
			other++
		}
	}
	if float64(other) <= mismatchRatio*float64(same) || now.Sub(l.rereadAt) < rereadInterval {
		return
	}
	l.rereadAt = now
	g.config.Log.Event("record.differs", decision.Fields{"epoch": own.Epoch, "revision": own.Revision, "digest": own.Digest, "same": same, "other": other})
	g.config.Reread()
}
