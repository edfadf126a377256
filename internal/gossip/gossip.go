package gossip

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

const (
	// beatInterval is the time between two heartbeats in a small fleet, and
	// beatPerNode what each further node adds: loads that are older than some
	// tenths of a second say little about a plain service. From denseNodes on
	// each node adds beatPerMore: what is urgent goes through relays then, and
	// 330 nodes send 7 KB/s each for the rest.
	beatInterval = 100 * time.Millisecond
	beatPerNode  = 3 * time.Millisecond
	denseNodes   = 100
	beatPerMore  = 20 * time.Millisecond
	// inboxLength bounds the heartbeats that wait; those that come then are lost.
	inboxLength = 256
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
		Record() *deployment.Record
		// Past returns large values that were replaced lately.
		Past() []deployment.Item
		Apply(ctx context.Context, u deployment.Update)
		// Access returns whether this node reads the store, and Confirm notes
		// that a node which does knows nothing newer.
		Access() deployment.Access
		Confirm()
		// Doubt notes that a node which should read the store cannot.
		Doubt()
		// Lapsing returns for how much longer removals may stem from an outage, and
		// Settling for how much longer the store may lack what it was told before it
		// was restored.
		Lapsing() time.Duration
		Settling() time.Duration
		// Announced returns the endpoints that have said themselves that they leave,
		// as far as that became known since a time, by the Keys of their starts;
		// LeavingHeard takes the same from another node.
		Announced(since time.Time) []uint32
		LeavingHeard(keys []uint32, source string)
		// News tells when the store itself has told something new.
		News() <-chan struct{}
	}

	// Work is what the node's requests are doing.
	Work interface {
		// Active returns this node's requests in progress by endpoint.
		Active() map[uint32]int
		// Reading returns the prompt tokens that endpoints are still to read for
		// them.
		Reading() map[uint32]int
		// Failures returns this node's attempts that endpoints have failed lately.
		Failures(now time.Time) map[uint32]int
		// Placements returns where this node has sent parts of prompts since a
		// time, and in the last moments anyhow; Placed takes the same from another
		// node.
		Placements(now, since time.Time) []balance.Placement
		Placed(now time.Time, list []balance.Placement)
		// Reports returns what endpoints have said of their load to this node
		// since a time, and ReportsHeard takes the same from another node.
		Reports(now, since time.Time) map[uint32]int
		ReportsHeard(now time.Time, list map[uint32]int)
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
		// Untold is called when a peer that knows more could not be asked, or too
		// many know something else.
		Untold func()
		// Relays is how many nodes may tell each other everything themselves;
		// larger fleets have relays. 0 is relay.Least.
		Relays int
		// Metrics counts what the node tells and hears; nil for nowhere.
		Metrics *Metrics
		Log     *decision.Log
	}

	// Gossip is this node's part of the fleet's membership. One goroutine owns
	// what it knows.
	Gossip struct {
		config  Config
		socket  *net.UDPConn
		caller  *caller
		server  *server
		view    atomic.Pointer[View]
		inbox   chan arrival
		crashes chan Crash
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// arrival is a heartbeat, or a summary, and the address that it came from.
	arrival struct {
		beat    *heartbeat
		summary *relay.Summary
		told    uint64
		addr    netip.Addr
	}

	// owner is the control goroutine's state.
	owner struct {
		table *table
		// relay is the node's part in relaying, and believed the newest summary
		// that was taken.
		relay    *relay.Node
		believed *relay.Summary
		// following and relaying are what was last logged of that.
		following relay.ID
		relaying  bool
		sequence  uint64
		// rounds counts the heartbeats to all.
		rounds  uint64
		recent  []recentCrash
		pulling chan struct{}
		// viewed is when the view was last made.
		viewed time.Time
		// toAll is when heartbeats last went to all, and toRelays to relays.
		toAll    tellings
		toRelays tellings
		// recalling is the epoch in which peers were asked what still holds of
		// earlier ones, and recalls how many were.
		recalling uint64
		recalls   int
		// behind is since when a newer position than the node's own is known of;
		// zero if none is.
		behind time.Time
		// differed is when the node last read the store anew since others know
		// another state.
		differed time.Time
	}

	// tellings is when something was told last, and before that.
	tellings struct{ last, before time.Time }

	recentCrash struct {
		crash Crash
		at    time.Time
	}
)

// New opens the sockets and starts to send heartbeats.
func New(c Config) (*Gossip, error) {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	c.Relays = cmp.Or(c.Relays, relay.Least)
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
		config: c, socket: socket, caller: newCaller(c.Port), inbox: make(chan arrival, inboxLength),
		crashes: make(chan Crash, crashesPerBeat), cancel: cancel,
	}
	g.view.Store(&View{Known: 1})
	g.server = newServer(ctx, listener, c.Book)
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
		o := &owner{table: newTable(), pulling: make(chan struct{}, 1), relay: relay.New(relay.Config{
			ID: short(c.Self.Incarnation), Zone: c.Self.Zone, Power: int(c.Self.Power),
		})}
		timer, steps := time.NewTimer(0), time.NewTimer(idle)
		defer timer.Stop()
		defer steps.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case a := <-g.inbox:
				g.take(ctx, o, a, time.Now())
			case crash := <-g.crashes:
				o.recent = append(o.recent, recentCrash{crash: crash, at: time.Now()})
			case <-c.Book.News():
				g.tellNews(ctx, o, time.Now())
			case now := <-steps.C:
				g.step(ctx, o, now)
				steps.Reset(g.pause())
			case now := <-timer.C:
				g.tick(o, now)
				timer.Reset(interval(g.View().Known))
			}
		}
	})
	return g, nil
}

// again notes one more telling.
func (t *tellings) again(now time.Time) { t.before, t.last = t.last, now }

// View returns the newest view, never nil.
func (g *Gossip) View() *View { return g.view.Load() }

// Others returns the requests in progress at an endpoint that other nodes sent.
func (g *Gossip) Others(key uint32) int { return g.View().Others(key) }

// OthersReading returns the prompt tokens that an endpoint is still to read for
// other nodes' requests.
func (g *Gossip) OthersReading(key uint32) int { return g.View().OthersReading(key) }

// OthersFailures returns the attempts of other nodes that an endpoint has failed
// lately.
func (g *Gossip) OthersFailures(key uint32) int { return g.View().OthersFailures(key) }

// Age returns how old the other nodes' loads are, on the mean.
func (g *Gossip) Age(now time.Time) time.Duration { return g.View().Age(now) }

// Relayed reports whether the node knows what the others do through a relay.
func (g *Gossip) Relayed() bool { return g.View().Relayed }

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
	dense := min(nodes, denseNodes)
	return max(beatInterval, time.Duration(dense)*beatPerNode+time.Duration(nodes-dense)*beatPerMore)
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
