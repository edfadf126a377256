package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// contactsPerHeartbeat is how many other nodes a heartbeat names, so that
	// parts of a fleet that do not know each other meet. An introduction names
	// contactsPerIntroduction: a few of them make hundreds of nodes known.
	contactsPerHeartbeat    = 1
	contactsPerIntroduction = 24
	// introduceFor is how long each heartbeat is sent to a node of which only the
	// address is known. Afterwards such a node, like an unreachable one, is sent
	// the fraction introduceShare of them.
	introduceFor   = 2 * time.Second
	introduceShare = 0.125
	// repeatLeavingFor is how long each heartbeat names an endpoint that has
	// announced that it leaves; afterwards only heartbeats with a digest and
	// introductions do.
	repeatLeavingFor = 3 * time.Second
)

func (g *Gossip) tick(l *loop, now time.Time) {
	for _, n := range l.table.expire(now) {
		silent := now.Sub(n.lastSeen)
		g.config.Metrics.lostAfter.Update(silent.Seconds())
		g.config.Log.Event("node.lost", decision.Fields{"peer": n.member.Name, "silent_ms": silent.Milliseconds()})
	}
	g.config.Metrics.observeAges(l.table, l.relay.Sums(now), now)
	g.observeBehind(l, now)
	g.compareDigests(l, now)
	g.publish(l, now)
	g.broadcast(l, now)
}

// propagate sends an update that just came from the store without waiting for
// the next heartbeat. If the node has a working relay, it is sent through relays.
func (g *Gossip) propagate(ctx context.Context, l *loop, now time.Time) {
	if g.usesRelays() && l.relay.Fleet(now) != nil {
		g.step(ctx, l, now)
		return
	}
	g.broadcast(l, now)
}

// broadcast sends a heartbeat to all nodes.
func (g *Gossip) broadcast(l *loop, now time.Time) {
	b := g.heartbeat(l, l.broadcastTimes, now)
	if l.broadcasts%digestEvery == 0 || g.usesRelays() {
		b.Digest = g.config.Replica.Record().Digest
		b.Leaving = g.config.Replica.Leaving(time.Time{})
		g.addKnownCrashes(b, now)
	}
	l.broadcasts++
	data := g.encode(b)
	introduction := sync.OnceValue(func() []byte { return g.introduction(l, false, now) })
	sent := map[netip.Addr]bool{g.config.Self.IP: true}
	for _, n := range l.table.nodes {
		switch {
		case n.alive:
			g.send(n.addr, data)
		case n.lastSeen.IsZero() && now.Sub(n.firstSeen) < introduceFor, rand.Float64() < introduceShare:
			g.send(n.addr, introduction())
		}
		sent[n.addr] = true
	}
	l.broadcastTimes.record(now)
	alone := len(g.View().Alive) == 0
	for _, seed := range g.config.Seeds() {
		if !sent[seed] && (alone || rand.Float64() < introduceShare) {
			g.send(seed, introduction())
		}
	}
}

// heartbeat returns a heartbeat with the updates since the last ones of its kind.
func (g *Gossip) heartbeat(l *loop, t sendTimes, now time.Time) *heartbeat {
	l.sequence++
	at := g.config.Replica.Record().Position
	b := &heartbeat{
		ID: g.config.Self.Incarnation, Sequence: l.sequence, Epoch: at.Epoch, Revision: at.Revision,
		State: g.config.State(), Access: g.config.Replica.Access(),
		Loads: g.config.Work.Active(), PendingPrefill: g.config.Work.PendingPrefill(), Failures: g.config.Work.Failures(now), Contacts: l.contacts(contactsPerHeartbeat),
		// Each placement is sent twice, as datagrams get lost.
		Placements: g.config.Work.Placements(now, t.previous), EndpointLoads: g.config.Work.Reports(now, t.last), Slowdowns: g.config.Work.Slowdowns(now, t.last),
		Leaving: g.config.Replica.Leaving(now.Add(-repeatLeavingFor)), Lost: g.config.Lost(), Brittle: g.config.Work.Brittle(now),
	}
	b.setNews(g.config.Crashes.Recent(now, t.previous))
	return b
}

// addKnownCrashes adds the crashes of suspected features: nodes that have started or
// were unreachable have missed the reports of them.
func (g *Gossip) addKnownCrashes(b *heartbeat, now time.Time) {
	b.Crashes = append(b.Crashes, mapSlice(g.config.Crashes.Known(now).Crashes, encodeCrash)...)
}

// introduction returns a heartbeat with this node's identity and many contacts.
func (g *Gossip) introduction(l *loop, identify bool, now time.Time) []byte {
	b := g.heartbeat(l, l.broadcastTimes, now)
	b.From, b.Identify, b.Contacts = &g.config.Self, identify, l.contacts(contactsPerIntroduction)
	b.Leaving = g.config.Replica.Leaving(time.Time{})
	g.addKnownCrashes(b, now)
	return g.encode(b)
}

func (g *Gossip) encode(b *heartbeat) []byte {
	data, err := cbor.Marshal(b)
	if err != nil {
		g.config.Log.Event("heartbeat.unsent", decision.Fields{"error": err.Error()})
		return nil
	}
	return data
}

// contacts returns the addresses of up to most random living nodes.
func (l *loop) contacts(most int) []netip.Addr {
	var list []netip.Addr
	for _, n := range l.table.nodes {
		if n.alive {
			list = append(list, n.addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), most)]
}

// send sends a datagram without retry: later ones repeat the content.
func (g *Gossip) send(to netip.Addr, data []byte) {
	if len(data) == 0 {
		return
	}
	g.config.Metrics.countSent(len(data))
	if _, err := g.socket.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, g.config.Port)); err != nil {
		g.config.Metrics.unsent.Inc()
	}
}
