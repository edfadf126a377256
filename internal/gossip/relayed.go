package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

const (
	// cborArray is the first byte's upper three bits of an encoded array: a
	// summary. Heartbeats are maps.
	cborArray = 4 << 5
	cborMajor = 7 << 5

	// idle is how often a node of a small fleet looks whether it needs relays.
	idle = time.Second
	// lossDoubt is how long ago a node must have been heard here for a relay's
	// word that it is lost to count.
	lossDoubt = 650 * time.Millisecond
	// accessBits is where a mark holds a node's access to the store.
	accessBits = 4
	// sourceRelay is the source of what relays tell.
	sourceRelay = "relay"
)

// How a heartbeat goes to a relay.
const (
	// plain is one that goes to all nodes.
	plain reporting = iota
	// reported is one to a relay, and followed one to the relay that is to tell
	// the sums.
	reported
	followed
)

type (
	// reporting is how a heartbeat goes to a relay.
	reporting uint8

	// summaryDatagram is a summary on its way to one node. Many get the same
	// body.
	summaryDatagram struct {
		_    struct{} `cbor:",toarray"`
		Told uint64
		Body cbor.RawMessage
	}
)

func short(incarnation uint64) relay.ID { return relay.ID(incarnation) }

func markOf(s State, a deployment.Access) relay.Mark {
	return relay.Mark(uint8(s) | uint8(a)<<accessBits)
}

// state and access return what a mark says.
func state(m byte) State { return State(m & (1<<accessBits - 1)) }

func access(m byte) deployment.Access { return deployment.Access(m >> accessBits) }

// relayed reports whether the fleet is so large that nodes tell each other
// through relays.
func (g *Gossip) relayed() bool { return g.View().Known > g.config.Relays }

// pause is how long until the next step.
func (g *Gossip) pause() time.Duration {
	if !g.relayed() {
		return idle
	}
	return relay.Step(g.View().Known)
}

// step reports to the node's relays, and relays for others.
func (g *Gossip) step(ctx context.Context, o *owner, now time.Time) {
	if !g.relayed() {
		return
	}
	last := &o.toRelays
	if o.relay.Whole(now) == nil {
		// What no relay takes stays for the heartbeat to all.
		last = &o.toAll
	}
	b := g.heartbeat(o, *last, now)
	o.toRelays.again(now)
	own := report(b, g.config.Self.IP)
	encoded := map[*relay.Summary][]byte{}
	for _, m := range o.relay.Step(now, o.table.peers(), own) {
		if m.Report != nil {
			g.report(b, m)
			continue
		}
		g.sendSummary(encoded, m)
	}
	g.believe(ctx, o, now)
	g.noteRelay(o, now)
}

// noteRelay logs from whom the node now knows what the others do, and whether it
// relays itself.
func (g *Gossip) noteRelay(o *owner, now time.Time) {
	id, followers := o.relay.Relay(now)
	if id == o.following && (followers > 0) == o.relaying {
		return
	}
	o.following, o.relaying = id, followers > 0
	f := decision.Fields{"relaying": o.relaying, "followers": followers}
	if n := o.table.shorts()[id]; n != nil {
		f["peer"] = n.member.Name
	}
	if id == 0 {
		g.config.Log.Event("relay.lost", f)
		return
	}
	f["own"] = id == short(g.config.Self.Incarnation)
	g.config.Log.Event("relay.found", f)
}

// report sends a heartbeat to a relay.
func (g *Gossip) report(b *heartbeat, m relay.Message) {
	to := *b
	to.Reporting = reported
	if m.Report.Follows {
		to.Reporting = followed
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
	data, err := cbor.Marshal(summaryDatagram{Told: m.Told, Body: body})
	if err != nil {
		g.config.Log.Event("summary.unsent", decision.Fields{"error": err.Error()})
		return
	}
	g.send(m.To, data)
}

// report returns what a heartbeat says, for a relay.
func report(b *heartbeat, addr netip.Addr) relay.Report {
	r := relay.Report{
		ID: short(b.ID), Addr: addr, Sequence: b.Sequence, Mark: markOf(b.State, b.Access), Position: b.position(),
		Loads: b.Loads, Reading: b.Reading, Failures: b.Failures, Follows: b.Reporting == followed,
		News: relay.News{Placements: b.Placements, EndpointLoads: b.Reports, Leaving: b.Leaving},
	}
	for _, c := range b.Crashes {
		r.Crashes = append(r.Crashes, relay.Crash(c))
	}
	return r
}

// receiveSummary decodes a summary; one that cannot be decoded says nothing.
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
	g.put(arrival{summary: s, told: d.Told, addr: from})
}

// takeSummary takes a summary from a node that is known.
func (g *Gossip) takeSummary(ctx context.Context, o *owner, a arrival, now time.Time) {
	n := o.table.nodes[a.addr]
	if n == nil || short(n.member.Incarnation) != a.summary.ID {
		return
	}
	if o.relay.Take(now, n.peer(), a.summary, a.told) {
		g.believe(ctx, o, now)
	}
}

// believe takes what the newest summary of the fleet says.
func (g *Gossip) believe(ctx context.Context, o *owner, now time.Time) {
	w := o.relay.Whole(now)
	if w == nil || o.believed == w {
		return
	}
	o.believed = w
	by := o.table.shorts()
	w.Covered.Each(func(i int, id relay.ID) {
		if n := by[id]; n != nil {
			g.cover(n, w.Marks[i], now)
		}
	})
	w.Lost.Each(func(_ int, id relay.ID) {
		if n := by[id]; n != nil {
			g.lose(n, by[w.ID], now)
		}
	})
	w.Informed.Each(func(_ int, id relay.ID) {
		if n := by[id]; n != nil {
			n.position = deployment.Later(n.position, w.Position())
		}
	})
	b := &heartbeat{Placements: w.News.Placements, Reports: w.News.EndpointLoads, Leaving: w.News.Leaving}
	for _, c := range w.News.Crashes {
		b.Crashes = append(b.Crashes, Crash(c))
	}
	g.learn(o, b, sourceRelay, now)
	g.publish(o, now)
	g.newer(ctx, o, w.Position(), now)
}

// cover notes that a relay hears a node.
func (g *Gossip) cover(n *node, mark byte, now time.Time) {
	if !n.alive {
		g.config.Log.Event("node.heard", decision.Fields{"peer": n.member.Name, "incarnation": n.member.Incarnation, "relayed": true})
	}
	n.alive, n.covered = true, now
	// The states of one incarnation follow each other, and a heartbeat of the
	// node itself may have overtaken the relays.
	n.member.State = max(n.member.State, state(mark))
	if now.Sub(n.heard) > lossDoubt {
		n.member.Access = access(mark)
	}
	if access(mark) == deployment.Failing {
		g.config.Book.Doubt()
	}
}

// lose takes a relay's word that a node is silent.
func (g *Gossip) lose(n, by *node, now time.Time) {
	if !n.alive || now.Sub(n.heard) < lossDoubt {
		return
	}
	silent := now.Sub(later(n.heard, n.covered))
	n.alive, n.covered = false, time.Time{}
	f := decision.Fields{"peer": n.member.Name, "silent_ms": silent.Milliseconds(), "relayed": true}
	if by != nil {
		f["by"] = by.member.Name
	}
	g.config.Metrics.silence.Update(silent.Seconds())
	g.config.Log.Event("node.lost", f)
}

// peers returns the living nodes, for the relay.
func (t *table) peers() []relay.Peer {
	list := make([]relay.Peer, 0, len(t.nodes))
	for _, n := range t.nodes {
		if n.alive {
			list = append(list, n.peer())
		}
	}
	return list
}

// shorts returns the nodes that said who they are by their short names.
func (t *table) shorts() map[relay.ID]*node {
	by := make(map[relay.ID]*node, len(t.ids))
	for id, n := range t.ids {
		by[short(id)] = n
	}
	return by
}

func (n *node) peer() relay.Peer {
	return relay.Peer{
		ID: short(n.member.Incarnation), Zone: n.member.Zone, Addr: n.addr, Power: int(n.member.Power), Heard: n.heard, First: n.introduced,
	}
}
