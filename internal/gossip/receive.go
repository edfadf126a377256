package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// viewShare is the part of the time between heartbeats for which a view may
// lack loads that were heard: at three hundred nodes one comes every 8 ms.
const viewShare = 0.125

// receive decodes a datagram; one that cannot be decoded says nothing.
func (g *Gossip) receive(data []byte, from netip.Addr) {
	g.config.Metrics.in(len(data))
	if len(data) > 0 && data[0]&cborMajor == cborArray {
		g.receiveSummary(data, from)
		return
	}
	b := &heartbeat{}
	if err := cbor.Unmarshal(data, b); err != nil || b.ID == 0 || (b.From != nil && (b.From.Name == "" || !b.From.IP.IsValid())) {
		g.config.Log.Event("heartbeat.bad", decision.Fields{"bytes": len(data), "from": from})
		return
	}
	if b.ID == g.config.Self.Incarnation || (b.From != nil && b.From.Name == g.config.Self.Name) {
		return
	}
	g.put(arrival{beat: b, addr: from})
}

// put hands an arrival to the control goroutine, or drops it.
func (g *Gossip) put(a arrival) {
	select {
	case g.inbox <- a:
	default:
		g.config.Metrics.dropped.Inc()
	}
}

func (g *Gossip) take(ctx context.Context, o *owner, a arrival, now time.Time) {
	if a.summary != nil {
		g.takeSummary(ctx, o, a, now)
		return
	}
	b := a.beat
	n, brought := o.table.heard(b, now)
	if brought == stranger || b.Ask {
		// Either does not know the other.
		g.send(a.addr, g.introduction(o, brought == stranger, now))
	}
	if brought == stale || brought == stranger {
		return
	}
	if b.Reporting != plain {
		o.relay.Heard(now, report(b, a.addr))
	}
	g.learn(o, b, n.member.Name, now)
	if brought == regained {
		g.config.Log.Event("node.heard", decision.Fields{"peer": n.member.Name, "incarnation": b.ID, "epoch": b.Epoch, "revision": b.Revision})
		// The node knows this one before the next heartbeat is due.
		g.send(n.addr, g.introduction(o, false, now))
	}
	if brought != usual || now.Sub(o.viewed) > time.Duration(viewShare*float64(interval(g.View().Known))) {
		g.publish(o, now)
	}
	if b.Access == deployment.Failing {
		g.config.Book.Doubt()
	}
	if !g.newer(ctx, o, b.position(), now) && b.Access == deployment.Reading {
		g.config.Book.Confirm()
	}
}

// newer takes news that others know all up to a position of the store, and reports
// whether this node does not.
func (g *Gossip) newer(ctx context.Context, o *owner, at deployment.Position, now time.Time) bool {
	own := g.config.Book.Snapshot().Position
	if !own.Before(at) {
		g.recall(ctx, o, own, at)
		return false
	}
	if o.behind.IsZero() {
		o.behind = now
	}
	g.pull(ctx, o)
	return true
}

// learn takes what a heartbeat tells of others, and who has told it.
func (g *Gossip) learn(o *owner, b *heartbeat, source string, now time.Time) {
	for _, addr := range b.Contacts {
		if addr != g.config.Self.IP {
			o.table.learn(addr, now)
		}
	}
	for _, c := range b.Crashes {
		g.config.Crashed(c)
	}
	if len(b.Leaving) > 0 {
		g.config.Book.LeavingHeard(b.Leaving, source)
	}
	if len(b.Reports) > 0 {
		g.config.Work.ReportsHeard(now, b.Reports)
	}
	if len(b.Placements) > 0 {
		g.config.Work.Placed(now, b.Placements)
	}
}

func (g *Gossip) publish(o *owner, now time.Time) {
	o.viewed = now
	g.view.Store(o.table.view(now, o.relay.Sums(now)))
}

// caughtUp notes how long the node knew of a newer position, once it has it. It
// is looked at with each heartbeat, so that the time is that much too long.
func (g *Gossip) caughtUp(o *owner, now time.Time) {
	if o.behind.IsZero() || g.config.Book.Snapshot().Before(g.View().newest()) {
		return
	}
	g.config.Metrics.behind.Update(now.Sub(o.behind).Seconds())
	o.behind = time.Time{}
}
