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
	// lapsing is the remaining lapse time that fake replicas report.
	lapsing = 1700 * time.Millisecond
)

type (
	// fakeReplica is a replica of the store whose content a test sets.
	fakeReplica struct {
		mu       sync.Mutex
		epoch    uint64
		revision uint64
		items    []deployment.Item
		past     []deployment.Item
		access   deployment.Access
		lapsing  time.Duration
		news     chan struct{}
		// leaving are endpoints that have announced that they leave.
		leaving []uint32
	}

	// fakeWork is the state of a node's requests as a test sets it.
	fakeWork struct {
		mu     sync.Mutex
		active map[uint32]int
		// reading are prompt tokens that endpoints have yet to process.
		reading map[uint32]int
		// failures are failed attempts by endpoint.
		failures           map[uint32]int
		receivedPlacements []balance.Placement
		placements         []balance.Placement
		// reports are loads reported to this node, receivedReports those that
		// other nodes sent.
		reports         map[uint32]int
		receivedReports map[uint32]int
		// slowdowns and receivedSlowdowns are the same for slowdowns.
		slowdowns         balance.Slowdowns
		receivedSlowdowns balance.Slowdowns
		// brittle are services that have told this node that they are brittle,
		// receivedBrittle those that other nodes sent.
		brittle         []uint32
		receivedBrittle []uint32
	}

	node struct {
		gossip  *gossip.Gossip
		replica *fakeReplica
		work    *fakeWork
		mu      sync.Mutex
		state   gossip.State
		crashes *fakeCrashes
		lost    []uint32
		rereads int
	}

	fleet struct {
		t       *testing.T
		network string
		port    uint16
		// maxDirect is the largest fleet without relays.
		maxDirect int
	}
)

// at returns a position in a store that has no epochs.
func at(revision uint64) deployment.Position { return deployment.Position{Revision: revision} }

// position is the position up to which the replica is up to date; the mutex must
// be held.
func (b *fakeReplica) position() deployment.Position {
	return deployment.Position{Epoch: b.epoch, Revision: b.revision}
}

func (b *fakeReplica) Snapshot() *deployment.Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &deployment.Snapshot{Position: b.position()}
}

func (b *fakeReplica) Items() []deployment.Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.items
}

func (b *fakeReplica) Record() *deployment.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &deployment.Record{Items: b.items, Position: b.position()}
}

func (b *fakeReplica) Replaced() []deployment.Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.past
}

func (b *fakeReplica) Apply(_ context.Context, u deployment.Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.items = append(b.items, u.Items...)
	newest := deployment.Later(b.position(), u.Position)
	b.epoch, b.revision = newest.Epoch, newest.Revision
	b.lapsing = max(b.lapsing, u.Lapsing)
}

func (b *fakeReplica) Access() deployment.Access {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.access
}

func (b *fakeReplica) setAccess(a deployment.Access) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.access = a
}

func (*fakeReplica) Confirm() {}

func (*fakeReplica) ReaderFailed() {}

func (*fakeReplica) Lapsing() time.Duration { return lapsing }

func (*fakeReplica) Settling() time.Duration { return 0 }

func (b *fakeReplica) Updates() <-chan struct{} { return b.news }

// Leaving implements gossip.Replica.
func (b *fakeReplica) Leaving(time.Time) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

// AddLeaving implements gossip.Replica.
func (b *fakeReplica) AddLeaving(keys []uint32, _ string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = slices.Compact(slices.Sorted(slices.Values(append(slices.Clone(b.leaving), keys...))))
}

// addLeaving adds endpoints that have announced that they leave.
func (b *fakeReplica) addLeaving(keys ...uint32) { b.AddLeaving(keys, "") }

func (w *fakeWork) Active() map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.active)
}

// setFailures sets the failed attempts.
func (w *fakeWork) setFailures(failures map[uint32]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = failures
}

// Failures implements gossip.Work.
func (w *fakeWork) Failures(time.Time) map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.failures)
}

func (w *fakeWork) PendingPrefill() map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.reading)
}

func (w *fakeWork) Placements(_, _ time.Time) []balance.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.placements
}

func (w *fakeWork) AddPlacements(_ time.Time, list []balance.Placement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receivedPlacements = list
}

func (w *fakeWork) Reports(_, _ time.Time) map[uint32]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.reports)
}

// Brittle implements gossip.Work.
func (w *fakeWork) Brittle(time.Time) []uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.brittle
}

// AddBrittle implements gossip.Work.
func (w *fakeWork) AddBrittle(_ time.Time, list []uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receivedBrittle = append(w.receivedBrittle, list...)
}

func (w *fakeWork) AddReports(_ time.Time, list map[uint32]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receivedReports = list
}

// Slowdowns implements gossip.Work.
func (w *fakeWork) Slowdowns(_, _ time.Time) balance.Slowdowns {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.slowdowns)
}

// AddSlowdowns implements gossip.Work.
func (w *fakeWork) AddSlowdowns(_ time.Time, list balance.Slowdowns) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.receivedSlowdowns = list
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
// never exists.
func (f *fleet) start(n int, r *fakeReplica, log ...*decision.Log) *node {
	r.news = make(chan struct{}, 1)
	nd := f.serve(n, r, log...)
	nd.replica = r
	return nd
}

// serve is start for any replica.
func (f *fleet) serve(n int, r gossip.Replica, log ...*decision.Log) *node {
	nd := &node{crashes: newFakeCrashes(), work: &fakeWork{active: map[uint32]int{uint32(n): n}, reading: map[uint32]int{uint32(n): 100 * n}}, state: gossip.Ready}
	g, err := gossip.New(gossip.Config{
		Self: gossip.Member{Name: fmt.Sprint("n", n), Zone: fmt.Sprint("z", n%2), IP: f.ip(n), Power: 100, Incarnation: rand.Uint64()},
		Port: f.port, MaxDirect: f.maxDirect, Seeds: func() []netip.Addr { return []netip.Addr{f.ip(1), f.ip(200)} }, Replica: r, Work: nd.work,
		Log: append(log, nil)[0],
		State: func() gossip.State {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			return nd.state
		},
		Crashes: nd.crashes,
		Lost: func() []uint32 {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			return nd.lost
		},
		Reread: func() {
			nd.mu.Lock()
			defer nd.mu.Unlock()
			nd.rereads++
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
		list = append(list, f.start(n, &fakeReplica{}))
	}
	for _, n := range list {
		f.eventually(func() bool { return len(n.gossip.View().Alive) == 3 }, "all other nodes are alive")
		require.Equal(t, 4, n.gossip.View().Known)
	}
	f.eventually(func() bool { return list[0].gossip.Others(4) == 4 }, "loads propagate")
	f.eventually(func() bool { return list[0].gossip.OthersPrefill(4) == 400 }, "unprocessed tokens propagate")
	list[3].work.setFailures(map[uint32]int{4: 7})
	f.eventually(func() bool { return list[0].gossip.OthersFailures(4) == 7 }, "failures propagate")
	list[3].gossip.Close()
	f.eventually(func() bool { return len(list[0].gossip.View().Alive) == 2 }, "an unreachable node is lost")
	require.Zero(t, list[0].gossip.Others(4))
	f.start(4, &fakeReplica{})
	f.eventually(func() bool { return len(list[0].gossip.View().Alive) == 3 }, "it is found again")
}

// Guards against a node that is cut off from the store and serves an old
// configuration.
func TestPullFromPeer(t *testing.T) {
	f := newFleet(t)
	ahead := &fakeReplica{revision: 7, access: deployment.Reading, items: []deployment.Item{{Key: "a", Revision: 7}, {Key: "old", Revision: 2}}}
	f.start(1, ahead)
	other := f.start(2, &fakeReplica{revision: 3})
	f.eventually(func() bool { return other.replica.Snapshot().Revision == 7 }, "the change is pulled")
	require.Equal(t, []deployment.Item{{Key: "a", Revision: 7}}, other.replica.Items())
	other.replica.mu.Lock()
	defer other.replica.mu.Unlock()
	require.Equal(t, lapsing, other.replica.lapsing)
}

// Guards against calls between nodes that time out after each change of a large
// configuration.
func TestLargeValueIsSentAsDelta(t *testing.T) {
	old := make([]byte, 500_000)
	for i := range old {
		old[i] = byte(rand.Uint32())
	}
	changed := append(slices.Clone(old[:1000]), old[1010:]...)
	f := newFleet(t)
	out := &pullCounter{}
	ahead := &fakeReplica{revision: 7, items: []deployment.Item{{Key: "a", Value: changed, Revision: 7}}, past: []deployment.Item{{Key: "a", Value: old, Revision: 3}}}
	f.start(1, ahead)
	other := f.start(2, &fakeReplica{revision: 3, items: []deployment.Item{{Key: "a", Value: old, Revision: 3}}}, decision.New(decision.LogConfig{To: out}))
	f.eventually(func() bool { return other.replica.Snapshot().Revision == 7 }, "the change is pulled")
	require.Equal(t, changed, other.replica.Items()[1].Value)
	f.eventually(func() bool { return out.lastBytes() > 0 }, "the pull is logged")
	require.Less(t, out.lastBytes(), 2000)
}

// pullCounter is a log writer that keeps the number of bytes of the last pull.
type pullCounter struct {
	mu    sync.Mutex
	bytes int
}

func (c *pullCounter) Write(line []byte) (int, error) {
	var entry struct {
		Event string
		Bytes int
	}
	if json.Unmarshal(line, &entry) == nil && entry.Event == "pull" {
		c.mu.Lock()
		c.bytes = entry.Bytes
		c.mu.Unlock()
	}
	return len(line), nil
}

func (c *pullCounter) lastBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// Only a few nodes read the store, and another replaces one whose reads fail.
func TestFewNodesReadTheStore(t *testing.T) {
	f := newFleet(t)
	var list []*node
	for n := 1; n <= 6; n++ {
		list = append(list, f.start(n, &fakeReplica{access: deployment.Reading}))
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
	f.eventually(func() bool { return len(readers()) == 3 }, "three nodes read")
	failed := readers()[2]
	failed.replica.setAccess(deployment.Failing)
	f.eventually(func() bool {
		able := 0
		for _, n := range readers() {
			if n != failed {
				able++
			}
		}
		return able == 3
	}, "another node replaces it")
}

func TestCrashesPlacementsAndReportsPropagate(t *testing.T) {
	f := newFleet(t)
	one, two := f.start(1, &fakeReplica{}), f.start(2, &fakeReplica{})
	one.work.mu.Lock()
	one.work.placements = []balance.Placement{{Part: 5, Endpoint: 6}}
	one.work.reports = map[uint32]int{6: 11}
	one.work.slowdowns = balance.Slowdowns{6: 250}
	one.work.mu.Unlock()
	f.eventually(func() bool { return len(one.gossip.View().Alive) == 1 }, "the nodes know each other")
	one.crashes.saw(9, 3)
	f.eventually(func() bool { return two.crashes.of(9) == 1 }, "the crash propagates")
	one.crashes.served(9)
	f.eventually(func() bool { return two.crashes.of(9) == 0 }, "its clearing propagates")
	f.eventually(func() bool {
		two.work.mu.Lock()
		defer two.work.mu.Unlock()
		return len(two.work.receivedPlacements) == 1 && two.work.receivedReports[6] == 11 && two.work.receivedSlowdowns[6] == 250
	}, "the placement and the report propagate")
}

// Datagrams that are no heartbeat are dropped, and the node keeps running.
func TestMalformedDatagramsAreDropped(t *testing.T) {
	f := newFleet(t)
	n := f.start(1, &fakeReplica{})
	c, err := net.Dial("udp4", netip.AddrPortFrom(f.ip(1), f.port).String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	for _, data := range []string{"", "garbage", "\xa1\x01\xa0", "\xbf"} {
		_, err := c.Write([]byte(data))
		require.NoError(t, err)
	}
	f.start(2, &fakeReplica{})
	f.eventually(func() bool { return len(n.gossip.View().Alive) == 1 }, "heartbeats are still received")
}

// rawNode is a node whose datagrams a test writes itself.
type rawNode struct {
	t    *testing.T
	conn *net.UDPConn
}

func (f *fleet) rawNode(n int) *rawNode {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.ip(n), f.port)))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &rawNode{t: f.t, conn: conn}
}

// send sends a heartbeat with fields by their numbers.
func (s *rawNode) send(to netip.AddrPort, fields map[int]any) {
	data, err := cbor.Marshal(fields)
	require.NoError(s.t, err)
	_, err = s.conn.WriteToUDPAddrPort(data, to)
	require.NoError(s.t, err)
}

// next reads heartbeats until one matches, and returns its size.
func (s *rawNode) next(match func(fields map[int]any) bool) int {
	buffer := make([]byte, 64<<10)
	for {
		require.NoError(s.t, s.conn.SetReadDeadline(time.Now().Add(patience)))
		size, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		require.NoError(s.t, err)
		var fields map[int]any
		require.NoError(s.t, cbor.Unmarshal(buffer[:size], &fields))
		if match(fields) {
			return size
		}
	}
}

// Guards against large heartbeats: each goes to every other node several times a
// second. Only nodes that do not know the sender get its name and addresses.
func TestHeartbeatSize(t *testing.T) {
	cases := []struct {
		name       string
		loads      int
		placements int
		// reading is how many endpoints have prompt tokens left to process.
		reading int
		most    int
	}{
		{name: "few entries", loads: 6, placements: 2, most: 110},
		{name: "many entries", loads: 90, placements: 40, most: 1300},
		{name: "many entries and unprocessed tokens", loads: 90, placements: 40, reading: 30, most: 1600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			n := f.start(1, &fakeReplica{revision: 500})
			n.work.mu.Lock()
			for range c.loads {
				n.work.active[rand.Uint32()] = 5
			}
			for range c.reading {
				n.work.reading[rand.Uint32()] = 12_000
			}
			for range c.placements {
				n.work.placements = append(n.work.placements, balance.Placement{Part: rand.Uint64(), Endpoint: rand.Uint32()})
			}
			n.work.mu.Unlock()
			s := f.rawNode(2)
			s.send(netip.AddrPortFrom(f.ip(1), f.port), map[int]any{1: 7, 2: 1, 10: map[int]any{1: "n2", 2: "z", 3: f.ip(2), 4: netip.AddrPort{}}})
			size := s.next(func(fields map[int]any) bool { return fields[10] == nil })
			t.Log(size, "bytes")
			require.LessOrEqual(t, size, c.most)
		})
	}
}

// Guards against a restarted node that counts as unreachable, or as its previous
// incarnation.
func TestRestartedNodeReplacesIncarnation(t *testing.T) {
	f := newFleet(t)
	n := f.start(1, &fakeReplica{})
	to := netip.AddrPortFrom(f.ip(1), f.port)
	s := f.rawNode(2)
	identity := map[int]any{1: "n2", 2: "z", 3: f.ip(2), 4: netip.AddrPort{}}
	incarnation := func() uint64 {
		for _, m := range n.gossip.View().Alive {
			return m.Incarnation
		}
		return 0
	}
	s.send(to, map[int]any{1: 7, 2: 1})
	s.next(func(fields map[int]any) bool { return fields[11] == true && fields[10] != nil })
	s.send(to, map[int]any{1: 7, 2: 2, 10: identity})
	f.eventually(func() bool { return incarnation() == 7 }, "an identified node is alive")
	s.send(to, map[int]any{1: 8, 2: 1, 10: identity})
	f.eventually(func() bool { return incarnation() == 8 }, "its next incarnation replaces it")
	s.send(to, map[int]any{1: 7, 2: 3, 10: identity})
	s.send(to, map[int]any{1: 8, 2: 2, 4: gossip.Ready, 10: identity})
	f.eventually(func() bool {
		alive := n.gossip.View().Alive
		return len(alive) == 1 && alive[0].State == gossip.Ready
	}, "the present incarnation stays")
	require.Equal(t, uint64(8), incarnation())
}
