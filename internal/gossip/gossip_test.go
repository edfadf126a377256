package gossip_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gossip"
)

const (
	patience = 30 * time.Second
	// lapsing is for how much longer the books of tests say that entries lapse.
	lapsing = 1700 * time.Millisecond
)

type (
	// book is what a node has read of the store, as a test sets it.
	book struct {
		mu       sync.Mutex
		epoch    uint64
		revision uint64
		items    []deployment.Item
		past     []deployment.Item
		access   deployment.Access
		lapsing  time.Duration
		news     chan struct{}
		// leaving are endpoints that said that they leave.
		leaving []uint32
	}

	// work is a node's requests, as a test sets them.
	work struct {
		mu     sync.Mutex
		active map[uint32]int
		// reading are tokens that endpoints are to read.
		reading map[uint32]int
		// failures are attempts that endpoints have failed.
		failures map[uint32]int
		placed   []balance.Placement
		told     []balance.Placement
		// reports are what endpoints said here, heard what other nodes told.
		reports map[uint32]int
		heard   map[uint32]int
	}

	node struct {
		gossip  *gossip.Gossip
		book    *book
		work    *work
		mu      sync.Mutex
		state   gossip.State
		crashes []gossip.Crash
		untold  int
	}

	fleet struct {
		t       *testing.T
		network string
		port    uint16
		// relays is from how many nodes on they need relays.
		relays int
	}
)

// at is a position in the only epoch of a store that names none.
func at(revision uint64) deployment.Position { return deployment.Position{Revision: revision} }

// position is what the book knows all up to; the mutex must be held.
func (b *book) position() deployment.Position {
	return deployment.Position{Epoch: b.epoch, Revision: b.revision}
}

func (b *book) Snapshot() *deployment.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &deployment.Snapshot{Position: b.position()}
}

func (b *book) Items() []deployment.Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.items
}

func (b *book) Record() *deployment.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &deployment.Record{Items: b.items, Position: b.position()}
}

func (b *book) Past() []deployment.Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.past
}

func (b *book) Apply(_ context.Context, u deployment.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, u.Items...)
	newest := deployment.Later(b.position(), u.Position)
	b.epoch, b.revision = newest.Epoch, newest.Revision
	b.lapsing = max(b.lapsing, u.Lapsing)
}

func (b *book) Access() deployment.Access {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.access
}

func (b *book) set(a deployment.Access) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.access = a
}

func (*book) Confirm() {}

func (*book) Doubt() {}

func (*book) Lapsing() time.Duration { return lapsing }

func (*book) Settling() time.Duration { return 0 }

func (b *book) News() <-chan struct{} { return b.news }

// Announced implements gossip.Book.
func (b *book) Announced(time.Time) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// LeavingHeard implements gossip.Book.
func (b *book) LeavingHeard(keys []uint32, _ string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(b.leaving), keys...))))
}

// announce makes endpoints have said that they leave.
func (b *book) announce(keys ...uint32) { b.LeavingHeard(keys, "") }

func (w *work) Active() map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.active)
}

// fails makes endpoints have failed attempts.
func (w *work) fails(failures map[uint32]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = failures
}

// Failures implements gossip.Work.
func (w *work) Failures(time.Time) map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.failures)
}

func (w *work) Reading() map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.reading)
}

func (w *work) Placements(_, _ time.Time) []balance.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.told
}

func (w *work) Placed(_ time.Time, list []balance.Placement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.placed = list
}

func (w *work) Reports(_, _ time.Time) map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.reports)
}

func (w *work) ReportsHeard(_ time.Time, list map[uint32]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = list
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, network: fmt.Sprintf("127.%d.%d.", 128+rand.IntN(64), 1+rand.IntN(250))}
	l, err := net.Listen("tcp4", f.network+"1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	f.port = netip.MustParseAddrPort(l.Addr().String()).Port()
	return f
}

func (f *fleet) ip(n int) netip.Addr { return netip.MustParseAddr(fmt.Sprint(f.network, n)) }

// start starts the node with a number; its seeds are the first node and one that
// never was.
func (f *fleet) start(n int, b *book, log ...*decision.Log) *node {
	b.news = make(chan struct{}, 1)
	nd := f.serve(n, b, log...)
	nd.book = b
	return nd
}

// serve is start for any book.
func (f *fleet) serve(n int, b gossip.Book, log ...*decision.Log) *node {
	nd := &node{work: &work{active: map[uint32]int{uint32(n): n}, reading: map[uint32]int{uint32(n): 100 * n}}, state: gossip.Ready}
	g, err := gossip.New(gossip.Config{
		Self: gossip.Member{Name: fmt.Sprint("n", n), Zone: fmt.Sprint("z", n%2), IP: f.ip(n), Power: 100, Incarnation: rand.Uint64()},
		Port: f.port, Relays: f.relays, Seeds: func() []netip.Addr { return []netip.Addr{f.ip(1), f.ip(200)} }, Book: b, Work: nd.work,
		Log: append(log, nil)[0],
		State: func() gossip.State {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			return nd.state
		},
		Crashed: func(c gossip.Crash) {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			nd.crashes = append(nd.crashes, c)
		},
		Untold: func() {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			nd.untold++
		},
	})
	require.NoError(f.t, err)
	f.t.Cleanup(g.Close)
	nd.gossip = g
	return nd
}

func (f *fleet) eventually(ok func() bool, what string) {
	f.t.Helper()
	require.Eventually(f.t, ok, patience, 10*time.Millisecond, what)
}

func TestNodesFindEachOtherThroughASeed(t *testing.T) {
	f := newFleet(t)
	var list []*node
	for n := 1; n <= 4; n++ {
		list = append(list, f.start(n, &book{}))
	}
	for _, n := range list {
		f.eventually(func() bool { return len(n.gossip.View().Alive) == 3 }, "all are heard of")
		require.Equal(t, 4, n.gossip.View().Known)
	}
	f.eventually(func() bool { return list[0].gossip.Others(4) == 4 }, "loads are told")
	f.eventually(func() bool { return list[0].gossip.OthersReading(4) == 400 }, "so is what is to be read")
	list[3].work.fails(map[uint32]int{4: 7})
	f.eventually(func() bool { return list[0].gossip.OthersFailures(4) == 7 }, "and what endpoints have failed")
	list[3].gossip.Close()
	f.eventually(func() bool { return len(list[0].gossip.View().Alive) == 2 }, "a silent node is missed")
	require.Zero(t, list[0].gossip.Others(4))
	f.start(4, &book{})
	f.eventually(func() bool { return len(list[0].gossip.View().Alive) == 3 }, "and found again")
}

// Guards against this failure: a node that is cut off from the store serves an old
// configuration.
func TestNewsIsTakenFromAPeer(t *testing.T) {
	f := newFleet(t)
	knows := &book{revision: 7, access: deployment.Reading, items: []deployment.Item{{Key: "a", Revision: 7}, {Key: "old", Revision: 2}}}
	f.start(1, knows)
	other := f.start(2, &book{revision: 3})
	f.eventually(func() bool { return other.book.Snapshot().Revision == 7 }, "the news is taken")
	require.Equal(t, []deployment.Item{{Key: "a", Revision: 7}}, other.book.Items())
	other.book.mu.Lock()
	defer other.book.mu.Unlock()
	require.Equal(t, lapsing, other.book.lapsing)
}

// Guards against this failure: calls between nodes time out after each change of a large
// configuration.
func TestChangeOfALargeValueIsSentAsADifference(t *testing.T) {
	old := make([]byte, 500_000)
	for i := range old {
		old[i] = byte(rand.Uint32())
	}
	changed := append(slices.Clone(old[:1000]), old[1010:]...)
	f := newFleet(t)
	out := &counted{}
	knows := &book{revision: 7, items: []deployment.Item{{Key: "a", Value: changed, Revision: 7}}, past: []deployment.Item{{Key: "a", Value: old, Revision: 3}}}
	f.start(1, knows)
	other := f.start(2, &book{revision: 3, items: []deployment.Item{{Key: "a", Value: old, Revision: 3}}}, decision.New(decision.LogConfig{To: out}))
	f.eventually(func() bool { return other.book.Snapshot().Revision == 7 }, "the news is taken")
	require.Equal(t, changed, other.book.Items()[1].Value)
	f.eventually(func() bool { return out.pulled() > 0 }, "the pull is logged")
	require.Less(t, out.pulled(), 2000)
}

// counted is a log of which only the bytes of the last pull count.
type counted struct {
	mu    sync.Mutex
	bytes int
}

func (c *counted) Write(line []byte) (int, error) {
	var w struct {
		Event string
		Bytes int
	}
	if json.Unmarshal(line, &w) == nil && w.Event == "pull" {
		c.mu.Lock()
		c.bytes = w.Bytes
		c.mu.Unlock()
	}
	return len(line), nil
}

func (c *counted) pulled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// Only a few nodes read the store, also after one of them has failed to.
func TestFewNodesReadTheStore(t *testing.T) {
	f := newFleet(t)
	var list []*node
	for n := 1; n <= 6; n++ {
		list = append(list, f.start(n, &book{access: deployment.Reading}))
	}
	readers := func() []*node {
		var r []*node
		for _, n := range list {
			if n.gossip.Reads() {
				r = append(r, n)
			}
		}
		return r
	}
	f.eventually(func() bool { return len(readers()) == 3 }, "three read")
	failed := readers()[2]
	failed.book.set(deployment.Failing)
	f.eventually(func() bool {
		able := 0
		for _, n := range readers() {
			if n != failed {
				able++
			}
		}
		return able == 3
	}, "another takes its place")
}

func TestCrashesPlacementsAndReportsAreTold(t *testing.T) {
	f := newFleet(t)
	one, two := f.start(1, &book{}), f.start(2, &book{})
	one.work.mu.Lock()
	one.work.told = []balance.Placement{{Part: 5, Endpoint: 6}}
	one.work.reports = map[uint32]int{6: 11}
	one.work.mu.Unlock()
	f.eventually(func() bool { return len(one.gossip.View().Alive) == 1 }, "they know each other")
	one.gossip.Tell(gossip.Crash{Print: 9, Endpoint: 3})
	f.eventually(func() bool {
		two.mu.Lock()
		defer two.mu.Unlock()
		return len(two.crashes) > 0
	}, "the crash is told")
	two.mu.Lock()
	require.Equal(t, gossip.Crash{Print: 9, Endpoint: 3}, two.crashes[0])
	two.mu.Unlock()
	f.eventually(func() bool {
		two.work.mu.Lock()
		defer two.work.mu.Unlock()
		return len(two.work.placed) == 1 && two.work.heard[6] == 11
	}, "the placement and the report are told")
}

// Bytes that are no heartbeat change nothing.
func TestStrayDatagramsAreDropped(t *testing.T) {
	f := newFleet(t)
	n := f.start(1, &book{})
	c, err := net.Dial("udp4", netip.AddrPortFrom(f.ip(1), f.port).String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	for _, data := range []string{"", "garbage", "\xa1\x01\xa0", "\xbf"} {
		_, err := c.Write([]byte(data))
		require.NoError(t, err)
	}
	f.start(2, &book{})
	f.eventually(func() bool { return len(n.gossip.View().Alive) == 1 }, "heartbeats are still read")
}

// stray is a node of which a test writes the datagrams itself.
type stray struct {
	t    *testing.T
	conn *net.UDPConn
}

func (f *fleet) stray(n int) *stray {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.ip(n), f.port)))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &stray{t: f.t, conn: conn}
}

// send sends a heartbeat with fields by their numbers.
func (s *stray) send(to netip.AddrPort, fields map[int]any) {
	data, err := cbor.Marshal(fields)
	require.NoError(s.t, err)
	_, err = s.conn.WriteToUDPAddrPort(data, to)
	require.NoError(s.t, err)
}

// next reads heartbeats until one fits.
func (s *stray) next(fits func(fields map[int]any) bool) int {
	buffer := make([]byte, 64<<10)
	for {
		require.NoError(s.t, s.conn.SetReadDeadline(time.Now().Add(patience)))
		size, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		require.NoError(s.t, err)
		var fields map[int]any
		require.NoError(s.t, cbor.Unmarshal(buffer[:size], &fields))
		if fits(fields) {
			return size
		}
	}
}

// A heartbeat is small: it goes to every other node several times a second. Only
// nodes that do not know the sender are told its name and addresses.
func TestSizeOfHeartbeats(t *testing.T) {
	cases := []struct {
		name       string
		loads      int
		placements int
		// reading is how many endpoints are to read for the node.
		reading int
		most    int
	}{
		{name: "little to tell", loads: 6, placements: 2, most: 110},
		{name: "much to tell", loads: 90, placements: 40, most: 1300},
		{name: "much to read besides", loads: 90, placements: 40, reading: 30, most: 1600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			n := f.start(1, &book{revision: 500})
			n.work.mu.Lock()
			for range c.loads {
				n.work.active[rand.Uint32()] = 5
			}
			for range c.reading {
				n.work.reading[rand.Uint32()] = 12_000
			}
			for range c.placements {
				n.work.told = append(n.work.told, balance.Placement{Part: rand.Uint64(), Endpoint: rand.Uint32()})
			}
			n.work.mu.Unlock()
			s := f.stray(2)
			s.send(netip.AddrPortFrom(f.ip(1), f.port), map[int]any{1: 7, 2: 1, 10: map[int]any{1: "n2", 2: "z", 3: f.ip(2), 4: netip.AddrPort{}}})
			size := s.next(func(fields map[int]any) bool { return fields[10] == nil })
			t.Log(size, "bytes")
			require.LessOrEqual(t, size, c.most)
		})
	}
}

// Guards against this failure: a node that has started anew counts as silent, or as the one
// before.
func TestIncarnations(t *testing.T) {
	f := newFleet(t)
	n := f.start(1, &book{})
	to := netip.AddrPortFrom(f.ip(1), f.port)
	s := f.stray(2)
	who := map[int]any{1: "n2", 2: "z", 3: f.ip(2), 4: netip.AddrPort{}}
	incarnation := func() uint64 {
		for _, m := range n.gossip.View().Alive {
			return m.Incarnation
		}
		return 0
	}
	s.send(to, map[int]any{1: 7, 2: 1})
	s.next(func(fields map[int]any) bool { return fields[11] == true && fields[10] != nil })
	s.send(to, map[int]any{1: 7, 2: 2, 10: who})
	f.eventually(func() bool { return incarnation() == 7 }, "a node that was asked who it is counts")
	s.send(to, map[int]any{1: 8, 2: 1, 10: who})
	f.eventually(func() bool { return incarnation() == 8 }, "so does its next start")
	s.send(to, map[int]any{1: 7, 2: 3, 10: who})
	s.send(to, map[int]any{1: 8, 2: 2, 4: gossip.Ready, 10: who})
	f.eventually(func() bool {
		alive := n.gossip.View().Alive
		return len(alive) == 1 && alive[0].State == gossip.Ready
	}, "the present one goes on")
	require.Equal(t, uint64(8), incarnation())
}
