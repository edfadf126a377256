package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// viewDelayShare is the part of the heartbeat interval for which the published
// view may lack received loads: at 300 nodes a heartbeat arrives every 8 ms.
const viewDelayShare = 0.125

// receive decodes a datagram and drops it if it is malformed.
func (g *Gossip) receive(data []byte, from netip.Addr) {
	g.config.Metrics.countReceived(len(data))
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
	g.enqueue(packet{heartbeat: b, addr: from})
}

// enqueue hands a packet to the control goroutine, or drops it if the inbox is
// full.
func (g *Gossip) enqueue(p packet) {
	select {
	case g.inbox <- p:
	default:
		g.config.Metrics.dropped.Inc()
	}
}

func (g *Gossip) handle(ctx context.Context, l *loop, p packet, now time.Time) {
	if p.summary != nil {
		g.handleSummary(ctx, l, p, now)
		return
	}
	b := p.heartbeat
	n, res := l.table.record(b, now)
	if res == resultUnknown || b.Identify {
		// One of the two nodes does not know the other.
		g.send(p.addr, g.introduction(l, res == resultUnknown, now))
	}
	if res == resultStale || res == resultUnknown {
		return
	}
	if b.Delivery != deliverBroadcast {
		l.relay.ReceiveReport(now, newReport(b, p.addr))
	}
	g.applyUpdates(l, b, n.member.Name, now)
	if res == resultRecovered {
		g.config.Log.Event("node.heard", decision.Fields{"peer": n.member.Name, "incarnation": b.ID, "epoch": b.Epoch, "revision": b.Revision})
		// The peer then knows this node before the next heartbeat is due.
		g.send(n.addr, g.introduction(l, false, now))
	}
	if res != resultCurrent || now.Sub(l.publishedAt) > time.Duration(viewDelayShare*float64(interval(g.View().Known))) {
		g.publish(l, now)
	}
	if b.Access == deployment.Failing {
		g.config.Replica.ReaderFailed()
	}
	if !g.pullIfBehind(ctx, l, b.position(), now) && b.Access == deployment.Reading {
		g.config.Replica.Confirm()
	}
}

// pullIfBehind handles a report that other nodes are up to date with a position
// of the store: it starts a pull if this node is behind, and reports whether it
// is.
func (g *Gossip) pullIfBehind(ctx context.Context, l *loop, at deployment.Position, now time.Time) bool {
	own := g.config.Replica.Snapshot().Position
	if !own.Before(at) {
		g.pullPrevious(ctx, l, own, at)
		return false
	}
	if l.behindSince.IsZero() {
		l.behindSince = now
	}
	g.pull(ctx, l, now)
	return true
}

// applyUpdates applies what a heartbeat reports of other nodes and of endpoints.
func (g *Gossip) applyUpdates(l *loop, b *heartbeat, source string, now time.Time) {
	for _, addr := range b.Contacts {
		if addr != g.config.Self.IP {
			l.table.add(addr, now)
		}
	}
	if len(b.Crashes)+len(b.Cleared)+len(b.Unproven) > 0 {
		g.config.Crashes.Add(now, b.news(), source)
	}
	if len(b.Leaving) > 0 {
		g.config.Replica.AddLeaving(b.Leaving, source)
	}
	if len(b.EndpointLoads) > 0 {
		g.config.Work.AddReports(now, b.EndpointLoads)
	}
	if len(b.Slowdowns) > 0 {
		g.config.Work.AddSlowdowns(now, b.Slowdowns)
	}
	if len(b.Brittle) > 0 {
		g.config.Work.AddBrittle(now, b.Brittle)
	}
	if len(b.Placements) > 0 {
		g.config.Work.AddPlacements(now, b.Placements)
	}
}

func (g *Gossip) publish(l *loop, now time.Time) {
	l.publishedAt = now
	g.view.Store(l.table.view(now, l.relay.Sums(now)))
}

// observeBehind measures how long the node knew of a newer position, once it has
// caught up. It runs once per heartbeat, so the time is too long by up to one
// interval.
func (g *Gossip) observeBehind(l *loop, now time.Time) {
	if l.behindSince.IsZero() || g.config.Replica.Snapshot().Before(g.View().newest()) {
		return
	}
	g.config.Metrics.behind.Update(now.Sub(l.behindSince).Seconds())
	l.behindSince = time.Time{}
}
