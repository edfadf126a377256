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
	// mismatchRounds is how many rounds of digests a mismatch must last, up to
	// maxMismatchTime: the first digest that a node receives may be the wrong one.
	mismatchRounds  = 2
	maxMismatchTime = 3 * time.Second
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
	differs := float64(other) > mismatchRatio*float64(same)
	switch {
	case same == 1 && other == 0:
		// Nobody is at this node's position.
		return
	case !differs:
		l.differsSince = time.Time{}
		return
	case l.differsSince.IsZero():
		l.differsSince = now
	}
	if now.Sub(l.differsSince) < g.mismatchTime() || now.Sub(l.rereadAt) < rereadInterval {
		return
	}
	l.rereadAt = now
	g.config.Log.Event("record.differs", decision.Fields{"epoch": own.Epoch, "revision": own.Revision, "digest": own.Digest, "same": same, "other": other})
	g.config.Reread()
}

// mismatchTime is how long a mismatch must last.
func (g *Gossip) mismatchTime() time.Duration {
	round := interval(g.View().Known)
	if !g.usesRelays() {
		round *= digestEvery
	}
	return min(mismatchRounds*round, maxMismatchTime)
}
