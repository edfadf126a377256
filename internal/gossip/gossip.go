package gossip

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// beatInterval is the time between two heartbeats in a small fleet, and
	// beatPerNode what each further node adds, so that a node's traffic stays
	// under the 14 KB/s that control may cost.
	beatInterval = 100 * time.Millisecond
	beatPerNode  = 8 * time.Millisecond
	// contactsPerBeat is how many other nodes a heartbeat names: new nodes
	// know the whole fleet after a few.
	contactsPerBeat = 4
	// crashFor is how long a crash is repeated in heartbeats.
	crashFor = 2 * time.Second
	// crashesPerBeat bounds a heartbeat.
	crashesPerBeat = 16
	inboxLength    = 256
	// readers is how many nodes read the store for all: one or two of them
	// may be cut off without anyone's knowing yet.
	readers = 3
)

// ErrStart is returned where the sockets cannot be opened.
var ErrStart = errors.New("gossip: start")

type (
	// Book is what the node has read of the platform's store.
	Book interface {
		Snapshot() *deployment.Snapshot
		Items() []deployment.Item
		// Past returns large values that were replaced lately.
		Past() []deployment.Item
		Apply(ctx context.Context, u deployment.Update)
		// Access returns whether this node reads the store, and Confirm notes
		// that a node which does knows nothing newer.
		Access() deployment.Access
		Confirm()
		// Lapsing reports whether removals may stem from an outage.
		Lapsing() bool
		// News tells when the store itself has told something new.
		News() <-chan struct{}
	}

	// Work is what the node's requests are doing.
	Work interface {
		// Active returns this node's requests in progress by endpoint.
		Active() map[uint32]int
		// Placements returns where this node has lately sent parts of prompts,
		// and Placed takes the same from another node.
		Placements(now time.Time) []balance.Placement
		Placed(now time.Time, list []balance.Placement)
	}

	// Config is the settings of a Gossip.
	Config struct {
		// Self is this node; its State is given by State.
		Self Member
		// Port is the port for datagrams and calls, the same on all nodes.
		Port uint16
		// Seeds returns the addresses of some nodes; they may be down or stale.
		Seeds func() []netip.Addr
		Book  Book
		// State returns whether this node takes callers.
		State func() State
		Work  Work
		// Crashed takes what other nodes tell of crashes.
		Crashed func(c Crash)
		// Untold is called when a peer that knows more could not be asked.
		Untold func()
		Log    *decision.Log
	}

	// Gossip is this node's part of the fleet's membership. One goroutine owns
	// what it knows.
	Gossip struct {
		config  Config
		socket  *net.UDPConn
		caller  *caller
		server  *server
		view    atomic.Pointer[View]
		inbox   chan *heartbeat
		crashes chan Crash
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// owner is the control goroutine's state.
	owner struct {
		table    *table
		sequence uint64
		recent   []recentCrash
		pulling  chan struct{}
	}

	recentCrash struct {
		crash Crash
		at    time.Time
	}
)

// New opens the sockets and starts to send heartbeats.
func New(c Config) (*Gossip, error) {
	own := netip.AddrPortFrom(c.Self.IP, c.Port)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(own))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStart, err)
	}
	listener, err := net.Listen("tcp4", own.String())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("%w: %v", ErrStart, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gossip{
		config: c, socket: socket, caller: newCaller(c.Port), inbox: make(chan *heartbeat, inboxLength),
		crashes: make(chan Crash, crashesPerBeat), cancel: cancel,
	}
	g.view.Store(&View{Known: 1})
	g.server = newServer(ctx, listener, c.Book)
	g.running.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			g.receive(buffer[:n])
		}
	})
	g.running.Go(func() {
		o := &owner{table: newTable(), pulling: make(chan struct{}, 1)}
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case b := <-g.inbox:
				g.take(ctx, o, b, time.Now())
			case crash := <-g.crashes:
				o.recent = append(o.recent, recentCrash{crash: crash, at: time.Now()})
			case <-c.Book.News():
				g.broadcast(o, time.Now())
			case now := <-timer.C:
				g.tick(o, now)
				timer.Reset(interval(g.View().Known))
			}
		}
	})
	return g, nil
}

// View returns the newest view, never nil.
func (g *Gossip) View() *View { return g.view.Load() }

// Others returns the requests in progress at an endpoint that other nodes sent.
func (g *Gossip) Others(key uint32) int { return g.View().Others(key) }

// Tell tells the other nodes of a crash, or drops that if too many wait.
func (g *Gossip) Tell(c Crash) {
	select {
	case g.crashes <- c:
	default:
		g.config.Log.Event("crash.untold", decision.Fields{"print": c.Print})
	}
}

// Close leaves the fleet.
func (g *Gossip) Close() {
	g.cancel()
	_ = g.socket.Close()
	g.server.close()
	g.running.Wait()
}

func interval(nodes int) time.Duration {
	return max(beatInterval, time.Duration(nodes)*beatPerNode)
}

// Reads reports whether this node is one of the few that read the store for
// all: the first ones, in an order that all nodes know, of those that can. One
// that cannot goes on trying only if it is among the first of all.
func (g *Gossip) Reads() bool {
	failing := g.config.Book.Access() == deployment.Failing
	self := order(g.config.Self.Name)
	ahead := 0
	for _, m := range g.View().Alive {
		if m.State == Stopping || order(m.Name) >= self {
			continue
		}
		if failing || m.Access != deployment.Failing {
			ahead++
		}
	}
	return ahead < readers
}

// order spreads the readers over the availability zones, whose nodes often have
// similar names.
func order(name string) uint64 { return xxhash.Sum64String(name) }

// receive decodes a datagram; one that cannot be decoded says nothing.
func (g *Gossip) receive(data []byte) {
	b := &heartbeat{}
	if err := cbor.Unmarshal(data, b); err != nil || b.From.Name == "" || !b.From.IP.IsValid() {
		g.config.Log.Event("heartbeat.bad", decision.Fields{"bytes": len(data)})
		return
	}
	if b.From.Name == g.config.Self.Name {
		return
	}
	select {
	case g.inbox <- b:
	default:
	}
}

func (g *Gossip) take(ctx context.Context, o *owner, b *heartbeat, now time.Time) {
	regained, fresh := o.table.heard(b, now)
	if !fresh {
		return
	}
	for _, c := range b.Contacts {
		if c.Name != g.config.Self.Name {
			o.table.learn(c, now)
		}
	}
	for _, c := range b.Crashes {
		g.config.Crashed(c)
	}
	if len(b.Placements) > 0 {
		g.config.Work.Placed(now, b.Placements)
	}
	if regained {
		g.config.Log.Event("node.heard", decision.Fields{"peer": b.From.Name, "incarnation": b.From.Incarnation, "revision": b.Revision})
		g.answer(o, b.From.IP, now)
	}
	g.view.Store(o.table.view())
	known := g.config.Book.Snapshot().Revision
	switch {
	case b.Revision > known:
		g.pull(ctx, o)
	case b.From.Access == deployment.Reading:
		g.config.Book.Confirm()
	}
}

// answer greets a node that has just been heard of, so that it knows this one
// before the next heartbeat is due.
func (g *Gossip) answer(o *owner, to netip.Addr, now time.Time) {
	g.send(to, g.heartbeat(o, now))
}

func (g *Gossip) tick(o *owner, now time.Time) {
	for _, name := range o.table.expire(now) {
		g.config.Log.Event("node.lost", decision.Fields{"peer": name, "silent_ms": now.Sub(o.table.nodes[name].heard).Milliseconds()})
	}
	g.view.Store(o.table.view())
	g.broadcast(o, now)
}

// broadcast sends a heartbeat to all nodes. What the store has just told is not
// kept until the next one is due.
func (g *Gossip) broadcast(o *owner, now time.Time) {
	data := g.heartbeat(o, now)
	sent := map[netip.Addr]bool{g.config.Self.IP: true}
	for _, n := range o.table.nodes {
		// A silent node gets one heartbeat in eight.
		if n.alive || rand.IntN(8) == 0 {
			g.send(n.contact.IP, data)
			sent[n.contact.IP] = true
		}
	}
	for _, seed := range g.config.Seeds() {
		known := len(g.View().Alive) > 0
		if !sent[seed] && (!known || rand.IntN(8) == 0) {
			g.send(seed, data)
		}
	}
}

func (g *Gossip) heartbeat(o *owner, now time.Time) []byte {
	o.sequence++
	self := g.config.Self
	self.State = g.config.State()
	self.Access = g.config.Book.Access()
	b := heartbeat{
		From: self, Sequence: o.sequence, Revision: g.config.Book.Snapshot().Revision,
		Loads: g.config.Work.Active(), Contacts: o.contacts(), Crashes: o.told(now),
		Placements: g.config.Work.Placements(now),
	}
	data, err := cbor.Marshal(b)
	if err != nil {
		g.config.Log.Event("heartbeat.unsent", decision.Fields{"error": err.Error()})
		return nil
	}
	return data
}

// contacts draws some living nodes to name.
func (o *owner) contacts() []Contact {
	var list []Contact
	for _, n := range o.table.nodes {
		if n.alive {
			list = append(list, n.contact)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), contactsPerBeat)]
}

func (o *owner) told(now time.Time) []Crash {
	var list []Crash
	var rest []recentCrash
	for _, r := range o.recent {
		if now.Sub(r.at) > crashFor {
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
	_, _ = g.socket.WriteToUDPAddrPort(data, netip.AddrPortFrom(to, g.config.Port))
}
