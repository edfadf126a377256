package gossip

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// digestEvery is how many heartbeats there are to one with a digest: at 330
	// nodes the digests take some 100 bytes a second.
	digestEvery = 8
	// differPause is the shortest time between two readings of a node for this
	// reason: a reading settles it, unless an item cannot be read.
	differPause = 5 * time.Second
	// differShare is the part of those who know the same as this node that the
	// others must be for it to read: a few that err need not make all read.
	differShare = 0.5
)

// compare makes the node read the store if many others say that they know
// something else at the same position.
//
// A node that has once missed a change believes to know all, and takes all later
// news. Nothing else shows it, for as long as the node runs.
func (g *Gossip) compare(o *owner, now time.Time) {
	own := g.config.Book.Record()
	same, other := 1, 0
	for _, n := range o.table.nodes {
		switch {
		case !n.alive || n.digest == 0 || n.digested != own.Position:
		case n.digest == own.Digest:
			same++
		default:
			other++
		}
	}
	if float64(other) <= differShare*float64(same) || now.Sub(o.differed) < differPause {
		return
	}
	o.differed = now
	g.config.Log.Event("record.differs", decision.Fields{"epoch": own.Epoch, "revision": own.Revision, "digest": own.Digest, "same": same, "other": other})
	g.config.Untold()
}
