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
	// contactsPerBeat is how many other nodes a heartbeat names, so that parts
	// of a fleet that do not know each other meet; contactsToNew is the same in
	// an introduction: a new node knows hundreds after a few.
	contactsPerBeat = 1
	contactsToNew   = 24
	// greetFor is how long a node of which only the address is known is sent
	// each heartbeat, and afterwards, as to a silent one, greetShare is the part
	// of the heartbeats that it is sent.
	greetFor   = 2 * time.Second
	greetShare = 0.125
	// crashFor is how long a crash is repeated in heartbeats, if it has been in
	// two to all by then.
	crashFor = 2 * time.Second
	// crashesPerBeat bounds a heartbeat.
	crashesPerBeat = 16
	// leavingFor is how long each heartbeat names an endpoint that has said that it
	// leaves; afterwards those do that have a digest, and introductions.
	leavingFor = 3 * time.Second
)

func (g *Gossip) tick(o *owner, now time.Time) {
	for _, n := range o.table.expire(now) {
		silent := now.Sub(n.heard)
		g.config.Metrics.silence.Update(silent.Seconds())
		g.config.Log.Event("node.lost", decision.Fields{"peer": n.member.Name, "silent_ms": silent.Milliseconds()})
	}
	g.config.Metrics.aged(o.table, o.relay.Sums(now), now)
	g.caughtUp(o, now)
	g.compare(o, now)
	g.publish(o, now)
	g.broadcast(o, now)
}

// tellNews tells what the store has just told: it is not kept until the next
// heartbeat is due. Where relays answer, they tell it to all.
func (g *Gossip) tellNews(ctx context.Context, o *owner, now time.Time) {
	if g.relayed() && o.relay.Whole(now) != nil {
		g.step(ctx, o, now)
		return
	}
	g.broadcast(o, now)
}

// broadcast sends a heartbeat to all nodes.
func (g *Gossip) broadcast(o *owner, now time.Time) {
	b := g.heartbeat(o, o.toAll, now)
	if o.rounds%digestEvery == 0 || g.relayed() {
		b.Digest = g.config.Book.Record().Digest
		b.Leaving = g.config.Book.Announced(time.Time{})
	}
	o.rounds++
	data := g.encode(b)
	hello := sync.OnceValue(func() []byte { return g.introduction(o, false, now) })
	sent := map[netip.Addr]bool{g.config.Self.IP: true}
	for _, n := range o.table.nodes {
		switch {
		case n.alive:
			g.send(n.addr, data)
		case n.heard.IsZero() && now.Sub(n.first) < greetFor, rand.Float64() < greetShare:
			g.send(n.addr, hello())
		}
		sent[n.addr] = true
	}
	o.toAll.again(now)
	alone := len(g.View().Alive) == 0
	for _, seed := range g.config.Seeds() {
		if !sent[seed] && (alone || rand.Float64() < greetShare) {
			g.send(seed, hello())
		}
	}
}

// heartbeat returns a heartbeat with what is new since the last ones of its kind.
func (g *Gossip) heartbeat(o *owner, t tellings, now time.Time) *heartbeat {
	o.sequence++
	at := g.config.Book.Record().Position
	return &heartbeat{
		ID: g.config.Self.Incarnation, Sequence: o.sequence, Epoch: at.Epoch, Revision: at.Revision,
		State: g.config.State(), Access: g.config.Book.Access(),
		Loads: g.config.Work.Active(), Reading: g.config.Work.Reading(), Failures: g.config.Work.Failures(now), Contacts: o.contacts(contactsPerBeat), Crashes: o.crashes(now),
		// Each placement is told twice, as datagrams get lost.
		Placements: g.config.Work.Placements(now, t.before), Reports: g.config.Work.Reports(now, t.last),
		Leaving: g.config.Book.Announced(now.Add(-leavingFor)),
	}
}

// introduction is a heartbeat that tells who this node is, and many others.
func (g *Gossip) introduction(o *owner, ask bool, now time.Time) []byte {
	b := g.heartbeat(o, o.toAll, now)
	b.From, b.Ask, b.Contacts = &g.config.Self, ask, o.contacts(contactsToNew)
	b.Leaving = g.config.Book.Announced(time.Time{})
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

// contacts draws some living nodes to name.
func (o *owner) contacts(most int) []netip.Addr {
	var list []netip.Addr
	for _, n := range o.table.nodes {
		if n.alive {
			list = append(list, n.addr)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), most)]
}

// crashes returns those that are still to be told.
func (o *owner) crashes(now time.Time) []Crash {
	var list []Crash
	var rest []recentCrash
	for _, r := range o.recent {
		if now.Sub(r.at) > crashFor && r.at.Before(o.toAll.before) {
			continue
		}
		rest = append(rest, r)
		if len(list) < crashesPerBeat {
			list = append(list, r.crash)
		}
	}
	o.recent = rest
	return list
}

// send sends a datagram; what is lost is said again in the next one.
func (g *Gossip) send(to netip.Addr, data []byte) {
	if len(data) == 0 {
		return
	}
	g.config.Metrics.out(len(data))
	_, _ = g.socket.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, g.config.Port))
}
