package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

const (
	// cborArray is the major type (the upper three bits of the first byte) of an
	// array: a summary. Heartbeats are maps. cborMajor masks the major type.
	cborArray = 4 << 5
	cborMajor = 7 << 5

	// relayCheckInterval is how often a node of a small fleet checks whether it
	// needs relays.
	relayCheckInterval = time.Second
	// A status byte holds the state, a flag for nodes that do not reach some service,
	// and from accessShift on the store access.
	stateMask   = 7
	lostFlag    = 8
	accessShift = 4
	// sourceRelay is the logged source of updates that come through relays.
	sourceRelay = "relay"
)

// Purposes of a heartbeat.
const (
	// deliverBroadcast goes to all nodes.
	deliverBroadcast delivery = iota
	// deliverReport goes to a relay, and deliverFollow to the relay that is to
	// send its summaries of the fleet in return.
	deliverReport
	deliverFollow
)

type (
	// delivery is the purpose of a heartbeat.
	delivery uint8

	// summaryDatagram is a summary for one node. Many nodes get the same body.
	summaryDatagram struct {
		_        struct{} `cbor:",toarray"`
		Sequence uint64
		Body     cbor.RawMessage
	}
)

func shortID(incarnation uint64) relay.ID { return relay.ID(incarnation) }

func statusOf(b *heartbeat) relay.Status {
	status := uint8(b.State) | uint8(b.Access)<<accessShift
	if len(b.Lost) > 0 {
		status |= lostFlag
	}
	return relay.Status(status)
}

// state, access and lost return the parts of a status byte.
func state(status byte) State { return State(status & stateMask) }

func lost(status byte) []uint32 {
	if status&lostFlag == 0 {
		return nil
	}
	return []uint32{someService}
}

func access(status byte) deployment.Access { return deployment.Access(status >> accessShift) }

// usesRelays reports whether the fleet is too large for nodes to gossip directly.
func (g *Gossip) usesRelays() bool { return g.View().Known > g.config.MaxDirect }

// stepInterval returns the time until the next step.
func (g *Gossip) stepInterval() time.Duration {
	if !g.usesRelays() {
		return relayCheckInterval
	}
	return relay.NewTiming(g.View().Known).Step
}

// step reports to the node's relays, and sends summaries if it is a relay.
func (g *Gossip) step(ctx context.Context, l *loop, now time.Time) {
	if !g.usesRelays() {
		return
	}
	last := &l.reportTimes
	if l.relay.Fleet(now) == nil {
		// Without a responsive relay, updates stay pending for the broadcast.
		last = &l.broadcastTimes
	}
	b := g.heartbeat(l, *last, now)
	l.reportTimes.record(now)
	own := newReport(b, g.config.Self.IP)
	encoded := map[*relay.Summary][]byte{}
	for _, m := range l.relay.Step(now, relay.NewTiming(g.View().Known), l.table.peers(), own) {
		if m.Report != nil {
			g.sendReport(b, m)
			continue
		}
		g.sendSummary(encoded, m)
	}
	g.applySummary(ctx, l, now)
	g.logRelay(l, now)
}

// logRelay logs changes of the relay that this node follows, and of whether it is
// a relay itself.
func (g *Gossip) logRelay(l *loop, now time.Time) {
	id, followers := l.relay.Relay(now)
	if id == l.loggedRelay && (followers > 0) == l.loggedRelaying {
		return
	}
	l.loggedRelay, l.loggedRelaying = id, followers > 0
	f := decision.Fields{"relaying": l.loggedRelaying, "followers": followers}
	if n := l.table.byShortID()[id]; n != nil {
		f["peer"] = n.member.Name
	}
	if id == 0 {
		g.config.Log.Event("relay.lost", f)
		return
	}
	f["own"] = id == shortID(g.config.Self.Incarnation)
	g.config.Log.Event("relay.found", f)
}

// sendReport sends a heartbeat to a relay.
func (g *Gossip) sendReport(b *heartbeat, m relay.Message) {
	to := *b
	to.Delivery = deliverReport
	if m.Report.Follows {
		to.Delivery = deliverFollow
	}
	g.send(m.To, g.encode(&to))
}

func (g *Gossip) sendSummary(encoded map[*relay.Summary][]byte, m relay.Message) {
	body, ok := encoded[m.Summary]
	if !ok {
		data, err := cbor.Marshal(m.Summary)
		if err != nil {
			g.config.Log.Event("summary.unsent", decision.Fields{"error": err.Error()})
		}
		body, encoded[m.Summary] = data, data
	}
	if len(body) == 0 {
		return
	}
	data, err := cbor.Marshal(summaryDatagram{Sequence: m.Sequence, Body: body})
	if err != nil {
		g.config.Log.Event("summary.unsent", decision.Fields{"error": err.Error()})
		return
	}
	g.send(m.To, data)
}

// newReport returns a heartbeat's content as a report to a relay.
func newReport(b *heartbeat, addr netip.Addr) relay.Report {
	r := relay.Report{
		ID: shortID(b.ID), Addr: addr, Sequence: b.Sequence, Status: statusOf(b), Position: b.position(),
		Loads: b.Loads, PendingPrefill: b.PendingPrefill, Failures: b.Failures, Follows: b.Delivery == deliverFollow,
		Updates: relay.Updates{
			Placements: b.Placements, EndpointLoads: b.EndpointLoads, Slowdowns: b.Slowdowns, Leaving: b.Leaving,
			Crashes: mapSlice(b.Crashes, relayedCrash), Cleared: mapSlice(b.Cleared, relayedCrash), Unproven: mapSlice(b.Unproven, relayedCrash),
		},
	}
	return r
}

// relayedCrash and receivedCrash convert a crash for relays, which pass it on within
// seconds: its age is left out, so that repeated reports are equal.
func relayedCrash(k crashReport) relay.Crash {
	return relay.Crash{Feature: k.Feature, Endpoint: k.Endpoint, Scope: uint8(k.Scope)}
}

func receivedCrash(k relay.Crash) crashReport {
	return crashReport{Feature: k.Feature, Endpoint: k.Endpoint, Scope: crash.Scope(k.Scope)}
}

// receiveSummary decodes a summary and drops it if it is malformed.
func (g *Gossip) receiveSummary(data []byte, from netip.Addr) {
	var d summaryDatagram
	s := &relay.Summary{}
	err := cbor.Unmarshal(data, &d)
	if err == nil {
		err = cbor.Unmarshal(d.Body, s)
	}
	if err != nil {
		g.config.Log.Event("summary.bad", decision.Fields{"bytes": len(data), "from": from, "error": err.Error()})
		return
	}
	g.enqueue(packet{summary: s, sequence: d.Sequence, addr: from})
}

// handleSummary handles a summary from a known node and drops any other.
func (g *Gossip) handleSummary(ctx context.Context, l *loop, p packet, now time.Time) {
	n := l.table.nodes[p.addr]
	if n == nil || shortID(n.member.Incarnation) != p.summary.ID {
		return
	}
	if l.relay.ReceiveSummary(now, n.peer(), p.summary, p.sequence) {
		g.applySummary(ctx, l, now)
	}
}

// applySummary applies the newest summary of the fleet, once.
func (g *Gossip) applySummary(ctx context.Context, l *loop, now time.Time) {
	fleet := l.relay.Fleet(now)
	if fleet == nil || l.applied == fleet {
		return
	}
	l.applied = fleet
	nodes := l.table.byShortID()
	fleet.Covered.Each(func(i int, id relay.ID) {
		if n := nodes[id]; n != nil {
			g.markCovered(n, fleet.Statuses[i], l.relay.Timing().Lost, now)
		}
	})
	fleet.Lost.Each(func(_ int, id relay.ID) {
		if n := nodes[id]; n != nil {
			g.markLost(n, nodes[fleet.ID], l.relay.Timing().Lost, now)
		}
	})
	fleet.UpToDate.Each(func(_ int, id relay.ID) {
		if n := nodes[id]; n != nil {
			n.position = deployment.Later(n.position, fleet.Position())
		}
	})
	b := &heartbeat{Placements: fleet.Updates.Placements, EndpointLoads: fleet.Updates.EndpointLoads, Slowdowns: fleet.Updates.Slowdowns, Leaving: fleet.Updates.Leaving}
	b.Crashes, b.Cleared = mapSlice(fleet.Updates.Crashes, receivedCrash), mapSlice(fleet.Updates.Cleared, receivedCrash)
	b.Unproven = mapSlice(fleet.Updates.Unproven, receivedCrash)
	g.applyUpdates(l, b, sourceRelay, now)
	g.publish(l, now)
	g.pullIfBehind(ctx, l, fleet.Position(), now)
}

// markCovered records that a relay has recent reports of a node. Its reported store
// access counts if the node itself has sent nothing for the time of silence.
func (g *Gossip) markCovered(n *node, status byte, silence time.Duration, now time.Time) {
	if !n.alive {
		g.config.Log.Event("node.heard", decision.Fields{"peer": n.member.Name, "incarnation": n.member.Incarnation, "relayed": true})
	}
	n.alive, n.coveredAt = true, now
	// The states of one incarnation only advance, and the node's own heartbeat
	// may have arrived before the relayed status.
	n.member.State = max(n.member.State, state(status))
	if now.Sub(n.lastSeen) > silence {
		n.member.Access, n.member.Lost = access(status), lost(status)
	}
	if access(status) == deployment.Failing {
		g.config.Replica.ReaderFailed()
	}
}

// markLost handles a relay's report that a node is unreachable. It is accepted if the
// node itself has sent nothing for the time of silence.
func (g *Gossip) markLost(n, by *node, silence time.Duration, now time.Time) {
	if !n.alive || now.Sub(n.lastSeen) < silence {
		return
	}
	silent := now.Sub(later(n.lastSeen, n.coveredAt))
	n.alive, n.coveredAt = false, time.Time{}
	f := decision.Fields{"peer": n.member.Name, "silent_ms": silent.Milliseconds(), "relayed": true}
	if by != nil {
		f["by"] = by.member.Name
	}
	g.config.Metrics.lostAfter.Update(silent.Seconds())
	g.config.Log.Event("node.lost", f)
}

// peers returns the living nodes as the relay's peers.
func (t *table) peers() []relay.Peer {
	list := make([]relay.Peer, 0, len(t.nodes))
	for _, n := range t.nodes {
		if n.alive {
			list = append(list, n.peer())
		}
	}
	return list
}

// byShortID returns the identified nodes by their short IDs.
func (t *table) byShortID() map[relay.ID]*node {
	by := make(map[relay.ID]*node, len(t.ids))
	for id, n := range t.ids {
		by[shortID(id)] = n
	}
	return by
}

func (n *node) peer() relay.Peer {
	return relay.Peer{
		ID: shortID(n.member.Incarnation), Zone: n.member.Zone, Addr: n.addr, Power: int(n.member.Power), LastSeen: n.lastSeen, FirstSeen: n.introducedAt,
	}
}
