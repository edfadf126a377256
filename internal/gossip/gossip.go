package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/catchup"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

const (
	// heartbeatInterval is the time between two heartbeats in a small fleet, and
	// heartbeatPerNode the increase per node: loads older than a few tenths of a
	// second say little about a plain service. Above largeFleet nodes, each adds
	// heartbeatPerExtra: relays then carry urgent updates, and with 330 nodes
	// each one sends 7 KB/s for the rest.
	heartbeatInterval = 100 * time.Millisecond
	heartbeatPerNode  = 3 * time.Millisecond
	largeFleet        = 100
	heartbeatPerExtra = 20 * time.Millisecond
	// inboxLength bounds the queued datagrams; further ones are dropped.
	inboxLength = 256
)

// ErrStart is returned if the sockets cannot be opened.
var ErrStart = errors.New("gossip: start")

type (
	// Replica is the node's copy of the platform's store.
	Replica interface {
		Snapshot() *deployment.Snapshot
		Record() *deployment.Record
		// Replaced returns large values that were replaced recently.
		Replaced() []deployment.Item
		Apply(ctx context.Context, u deployment.Update)
		// Access returns whether this node reads the store. Confirm records that a
		// node that reads it has nothing newer.
		Access() deployment.Access
		Confirm()
		// ReaderFailed records that a node that should read the store cannot.
		ReaderFailed()
		// Lapsing returns how much longer removals may be the result of a store
		// outage, and Settling how much longer the store may lack data written
		// before it was restored.
		Lapsing() time.Duration
		Settling() time.Duration
		// Leaving returns the endpoints that have announced that they leave, as
		// far as this became known after since, by the Keys of their starts.
		// AddLeaving adds those reported by another node.
		Leaving(since time.Time) []uint32
		AddLeaving(keys []uint32, source string)
		// Updates signals an update that came from the store itself.
		Updates() <-chan struct{}
	}

	// Work is the state of the node's requests.
	Work interface {
		// Active returns this node's requests in progress by endpoint.
		Active() map[uint32]int
		// PendingPrefill returns the prompt tokens of these requests that endpoints have
		// yet to process.
		PendingPrefill() map[uint32]int
		// Failures returns this node's recently failed attempts by endpoint.
		Failures(now time.Time) map[uint32]int
		// Placements returns where this node has sent parts of prompts after since,
		// and always the most recent ones. AddPlacements adds those reported by another
		// node.
		Placements(now, since time.Time) []balance.Placement
		AddPlacements(now time.Time, list []balance.Placement)
		// Reports returns the loads that endpoints have reported to this node after
		// since. AddReports adds those reported by another node.
		Reports(now, since time.Time) map[uint32]int
		AddReports(now time.Time, list map[uint32]int)
		// Slowdowns returns how long work takes now at endpoints that have reported it
		// to this node after since. AddSlowdowns adds those reported to another node.
		Slowdowns(now, since time.Time) balance.Slowdowns
		AddSlowdowns(now time.Time, list balance.Slowdowns)
		// Brittle returns the services that have told this node that they are brittle,
		// by their Keys. AddBrittle adds those that have told another node.
		Brittle(now time.Time) []uint32
		AddBrittle(now time.Time, list []uint32)
	}

	// Crashes are the endpoints that ended while they ran a request.
	Crashes interface {
		// Recent returns what this node has learned after since, and at least in
		// the last seconds: what matters most, as a heartbeat has room for little.
		Recent(now, since time.Time) crash.News
		// Known returns what nodes may have missed that have just started or were
		// unreachable.
		Known(now time.Time) crash.News
		// Add adds what another node reports.
		Add(now time.Time, n crash.News, source string)
	}

	// Config is the settings of a Gossip.
	Config struct {
		// Self is this node; its state is given by State.
		Self Member
		// Port is the port for datagrams and RPCs, the same on all nodes.
		Port uint16
		// Seeds returns the addresses of some nodes; they may be down or stale.
		Seeds   func() []netip.Addr
		Replica Replica
		// Bound is the time within which a change of the store must be in force, 0
		// for catchup.DefaultBound.
		Bound time.Duration
		// State returns whether this node takes callers.
		State   func() State
		Work    Work
		Crashes Crashes
		// Lost returns the services that this node does not reach, by their Keys; nil
		// means none.
		Lost func() []uint32
		// Reread is called if the store must be reread: a pull from a peer that is
		// ahead failed, or too many nodes report a different digest.
		Reread func()
		// MaxDirect is the largest fleet in which nodes gossip directly; larger
		// ones use relays. 0 means relay.MaxDirect.
		MaxDirect int
		// Metrics counts traffic and staleness; nil discards them.
		Metrics *Metrics
		Log     *decision.Log
	}

	// Gossip is this node's part in the fleet's membership. One goroutine owns
	// its state.
	Gossip struct {
		config  Config
		started time.Time
		// patience is how long the node waits for a peer before it reads the store
		// although others should.
		patience time.Duration
		socket   *net.UDPConn
		client   *client
		server   *server
		view     atomic.Pointer[View]
		inbox    chan packet
		// announced holds a value if this node's state has changed.
		announced chan struct{}
		cancel    context.CancelFunc
		running   sync.WaitGroup
	}

	// packet is a received heartbeat or summary and its sender's address.
	packet struct {
		heartbeat *heartbeat
		summary   *relay.Summary
		sequence  uint64
		addr      netip.Addr
	}

	// loop is the state of the control goroutine.
	loop struct {
		table *table
		// relay is the node's part in relaying, and applied the last summary that
		// was applied.
		relay   *relay.Node
		applied *relay.Summary
		// loggedRelay and loggedRelaying are the last logged relay and role.
		loggedRelay    relay.ID
		loggedRelaying bool
		sequence       uint64
		// broadcasts counts the heartbeats sent to all nodes.
		broadcasts uint64
		// pulling holds a value while a pull runs, which then owns the puller.
		pulling chan struct{}
		puller  *catchup.Puller
		// publishedAt is when the view was last published.
		publishedAt time.Time
		// broadcastTimes are those of heartbeats to all, reportTimes to relays.
		broadcastTimes sendTimes
		reportTimes    sendTimes
		// previousPullsEpoch is the epoch in which peers were last asked for items
		// of previous epochs, and previousPulls how many were asked.
		previousPullsEpoch uint64
		previousPulls      int
		// behindSince is when a newer position than the node's own became known;
		// zero if none is.
		behindSince time.Time
		// differsSince is since when too many nodes have reported another digest,
		// zero if they do not.
		differsSince time.Time
		// rereadAt is when the node last reread the store because of a digest
		// mismatch.
		rereadAt time.Time
	}

	// sendTimes are the times of the last message of a kind and the one before.
	sendTimes struct{ last, previous time.Time }
)

// New opens the sockets and starts to send heartbeats.
func New(c Config) (*Gossip, error) {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	if c.Lost == nil {
		c.Lost = func() []uint32 { return nil }
	}
	c.MaxDirect = cmp.Or(c.MaxDirect, relay.MaxDirect)
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
		config: c, started: time.Now(), patience: catchup.MinPatience + rand.N(catchup.MaxPatience-catchup.MinPatience), socket: socket, client: newClient(c.Port), inbox: make(chan packet, inboxLength), announced: make(chan struct{}, 1),
		cancel: cancel,
	}
	g.view.Store(&View{Known: 1})
	g.server = newServer(ctx, listener, c.Replica)
	g.running.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			n, from, err := socket.ReadFromUDPAddrPort(buffer)
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				continue
			}
			g.receive(buffer[:n], from.Addr().Unmap())
		}
	})
	g.running.Go(func() {
		l := &loop{
			table: newTable(), pulling: make(chan struct{}, 1),
			puller: catchup.NewPuller(catchup.Config{Zone: c.Self.Zone, Bound: c.Bound, Draw: rand.Float64}),
			relay:  relay.New(relay.Config{ID: shortID(c.Self.Incarnation), Zone: c.Self.Zone, Power: int(c.Self.Power)}),
		}
		timer, steps := time.NewTimer(0), time.NewTimer(relayCheckInterval)
		defer timer.Stop()
		defer steps.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case p := <-g.inbox:
				g.handle(ctx, l, p, time.Now())
			case <-c.Replica.Updates():
				g.propagate(ctx, l, time.Now())
			case <-g.announced:
				g.propagate(ctx, l, time.Now())
			case now := <-steps.C:
				g.step(ctx, l, now)
				steps.Reset(g.stepInterval())
			case now := <-timer.C:
				g.tick(l, now)
				timer.Reset(interval(g.View().Known))
			}
		}
	})
	return g, nil
}

// record notes that a message was sent.
func (t *sendTimes) record(now time.Time) { t.previous, t.last = t.last, now }

// Announce sends a changed state of this node without waiting for the next heartbeat.
func (g *Gossip) Announce() {
	select {
	case g.announced <- struct{}{}:
	default:
	}
}

// View returns the newest view, never nil.
func (g *Gossip) View() *View { return g.view.Load() }

// Others returns the requests in progress at an endpoint that other nodes sent.
func (g *Gossip) Others(key uint32) int { return g.View().Others(key) }

// OthersPrefill returns the prompt tokens of other nodes' requests that an
// endpoint has yet to process.
func (g *Gossip) OthersPrefill(key uint32) int { return g.View().OthersPrefill(key) }

// OthersFailures returns the recently failed attempts of other nodes at an
// endpoint.
func (g *Gossip) OthersFailures(key uint32) int { return g.View().OthersFailures(key) }

// Age returns the mean age of the other nodes' loads.
func (g *Gossip) Age(now time.Time) time.Duration { return g.View().Age(now) }

// Relayed reports whether the node gets the other nodes' loads through a relay.
func (g *Gossip) Relayed() bool { return g.View().Relayed }

// Close stops the heartbeats and closes the sockets.
func (g *Gossip) Close() {
	g.cancel()
	_ = g.socket.Close()
	g.server.close()
	g.running.Wait()
}

func interval(nodes int) time.Duration {
	base := min(nodes, largeFleet)
	return max(heartbeatInterval, time.Duration(base)*heartbeatPerNode+time.Duration(nodes-base)*heartbeatPerExtra)
}

// Reads reports whether this node reads the store on behalf of all. The readers are
// the first, in rank order, of the nodes that can. A node that cannot keeps trying
// only if it is among the first of all nodes.
func (g *Gossip) Reads() bool {
	view, known := g.View(), g.config.Replica.Snapshot().Position
	failing := g.config.Replica.Access() == deployment.Failing
	r := catchup.Reader{
		Age: time.Since(g.started), Met: time.Since(later(view.metAt, g.started)), Alone: view.metAt.IsZero(), Patience: g.patience, Empty: known.IsZero(), Informed: !view.newest().IsZero(), Seed: g.isSeed(),
	}
	for _, m := range view.Alive {
		if m.State != Stopping && readsBefore(m, g.config.Self) && (failing || m.Access != deployment.Failing) {
			r.Ahead++
		}
	}
	return r.Reads()
}

// isSeed reports whether other nodes ask this one when they start, or whether it
// knows no node to ask.
func (g *Gossip) isSeed() bool {
	seeds := g.config.Seeds()
	return len(seeds) == 0 || slices.Contains(seeds, g.config.Self.IP)
}

// readsBefore is the rank order of the readers: those with the most processor time
// first, as all others get the changes from them. Among equals a hash spreads them
// over the availability zones, whose nodes often have similar names.
func readsBefore(a, b Member) bool {
	return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(rank(a.Name), rank(b.Name))) < 0
}

func rank(name string) uint64 { return xxhash.Sum64String(name) }
