package relay_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

type (
	// plan is the parameters of a simulation.
	plan struct {
		nodes, zones int
		// endpoints is the number of endpoints, each the number of requests per node.
		endpoints, each int
		// loss is the fraction of datagrams that are lost.
		loss float64
		seed uint64
	}

	// model simulates a fleet and its network in virtual time.
	model struct {
		plan   plan
		timing relay.Timing
		random *rand.Rand
		now    time.Time
		queue  events
		nodes  []*modelNode
		byAddr map[netip.Addr]*modelNode
		number int
		// largest is the size of the largest datagram.
		largest int
		encoded map[*relay.Summary]decodedSummary
		// cut returns whether datagrams from one node to another are dropped.
		cut func(from, to *modelNode) bool
	}

	// modelNode is a simulated node, with as much of membership as a relay
	// needs.
	modelNode struct {
		model     *model
		index     int
		relay     *relay.Node
		peer      relay.Peer
		dead      bool
		startedAt time.Time
		// loads are the node's requests in progress. The entry at clockKey is the
		// time of the last change, in milliseconds since the start.
		loads map[uint32]int
		seq   uint64
		known map[relay.ID]*relay.Peer
		// order are the keys of known, sorted; nil after a change.
		order []relay.ID
		// lost is when a peer was lost.
		lost     map[relay.ID]time.Time
		sent     int
		bytes    int
		received int
		// frozen stops changes of loads; updates are sent with each report, and
		// onFleet is called with each summary of the fleet.
		frozen  bool
		updates relay.Updates
		onFleet func(s *relay.Summary)
	}

	// decodedSummary is a summary as received, with its encoded size.
	decodedSummary struct {
		summary *relay.Summary
		size    int
	}

	event struct {
		at time.Time
		n  int
		do func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newModel(p plan) *model {
	m := &model{
		plan: p, timing: relay.NewTiming(p.nodes), random: rand.New(rand.NewPCG(p.seed, 1)), now: time.Unix(1_000_000, 0), byAddr: map[netip.Addr]*modelNode{}, encoded: map[*relay.Summary]decodedSummary{},
		cut: func(_, _ *modelNode) bool { return false },
	}
	for i := range p.nodes {
		m.add(i)
	}
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			a.addPeer(b)
		}
	}
	return m
}

// add starts a node that no other node knows yet.
func (m *model) add(i int) *modelNode {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(len(m.nodes) >> 8), byte(len(m.nodes))})
	power := 192
	if m.random.Float64() < 0.08 {
		power = 800
	}
	zone := fmt.Sprint("z", i%m.plan.zones)
	id := relay.ID(m.random.Uint32())
	nd := &modelNode{
		model: m, index: len(m.nodes), startedAt: m.now, loads: map[uint32]int{}, known: map[relay.ID]*relay.Peer{}, lost: map[relay.ID]time.Time{},
		relay: relay.New(relay.Config{ID: id, Zone: zone, Power: power}),
		peer:  relay.Peer{ID: id, Zone: zone, Addr: addr, Power: power, FirstSeen: m.now},
	}
	m.nodes = append(m.nodes, nd)
	m.byAddr[addr] = nd
	m.after(time.Duration(m.random.Int64N(int64(300*time.Millisecond))), nd.step)
	return nd
}

func (a *modelNode) addPeer(b *modelNode) {
	if a != b {
		p := b.peer
		p.FirstSeen, p.LastSeen = a.model.now, a.model.now
		a.known[p.ID] = &p
		a.order = nil
	}
}

func (a *modelNode) forget(id relay.ID) {
	delete(a.known, id)
	a.order = nil
}

func (m *model) after(d time.Duration, do func()) {
	m.number++
	heap.Push(&m.queue, event{at: m.now.Add(d), n: m.number, do: do})
}

// run advances the virtual time.
func (m *model) run(d time.Duration) {
	until := m.now.Add(d)
	for len(m.queue) > 0 && !m.queue[0].at.After(until) {
		e, _ := heap.Pop(&m.queue).(event)
		m.now = e.at
		if len(m.encoded) > 2000 {
			clear(m.encoded)
		}
		e.do()
	}
	m.now = until
}

// step is a node's periodic work; at random it is late, as on a busy node.
func (a *modelNode) step() {
	if a.dead {
		return
	}
	m := a.model
	a.work()
	a.seq++
	own := relay.Report{ID: a.peer.ID, Addr: a.peer.Addr, Sequence: a.seq, Loads: a.copyLoads(), Position: deployment.Position{Revision: 1}, Status: 1, Updates: a.updates}
	for _, msg := range a.relay.Step(m.now, m.timing, a.peers(), own) {
		a.send(msg)
	}
	a.applySummary()
	delay := time.Duration(0)
	if m.random.Float64() < 0.02 {
		delay = time.Duration(m.random.Int64N(int64(100 * time.Millisecond)))
	}
	m.after(m.timing.Step+delay, a.step)
}

// work changes the node's loads.
func (a *modelNode) work() {
	m := a.model
	if a.frozen {
		return
	}
	a.loads = map[uint32]int{a.clockKey(): int(m.now.Sub(time.Unix(1_000_000, 0)).Milliseconds()) + 1}
	for range m.plan.each {
		a.loads[uint32(m.random.IntN(max(m.plan.endpoints, 1)))]++
	}
}

// clockKey is the key under which the node's loads carry the time.
func (a *modelNode) clockKey() uint32 { return uint32(1_000_000 + a.index) }

func (a *modelNode) copyLoads() map[uint32]int {
	out := make(map[uint32]int, len(a.loads))
	for k, v := range a.loads {
		out[k] = v
	}
	return out
}

func (a *modelNode) peers() []relay.Peer {
	if len(a.order) != len(a.known) {
		a.order = slices.Sorted(maps.Keys(a.known))
	}
	list := make([]relay.Peer, 0, len(a.known))
	for _, id := range a.order {
		list = append(list, *a.known[id])
	}
	return list
}

func (a *modelNode) send(msg relay.Message) {
	m := a.model
	to := m.byAddr[msg.To]
	size := 40
	if msg.Summary != nil {
		msg.Summary, size = m.encode(msg.Summary)
	} else {
		size += 7 * len(msg.Report.Loads)
	}
	a.sent++
	a.bytes += size
	m.largest = max(m.largest, size)
	if m.random.Float64() < m.plan.loss || m.cut(a, to) {
		return
	}
	delay := 500*time.Microsecond + time.Duration(m.random.Int64N(int64(2*time.Millisecond)))
	m.after(delay, func() {
		if to.dead {
			return
		}
		to.received += size
		to.take(a, msg)
	})
}

// encode returns a summary as its receivers decode it, and its size. It is cached,
// as many nodes get the same summary.
func (m *model) encode(s *relay.Summary) (*relay.Summary, int) {
	if c, ok := m.encoded[s]; ok {
		return c.summary, c.size
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err)
	}
	c := decodedSummary{summary: &relay.Summary{}, size: len(data)}
	if err := cbor.Unmarshal(data, c.summary); err != nil {
		panic(err)
	}
	m.encoded[s] = c
	return c.summary, c.size
}

func (a *modelNode) take(from *modelNode, msg relay.Message) {
	if msg.Report != nil {
		a.relay.ReceiveReport(a.model.now, *msg.Report)
		a.receivedFrom(from)
		return
	}
	if a.relay.ReceiveSummary(a.model.now, from.peer, msg.Summary, msg.Sequence) {
		a.applySummary()
	}
}

func (a *modelNode) receivedFrom(from *modelNode) {
	p := a.known[from.peer.ID]
	if p == nil {
		a.addPeer(from)
		delete(a.lost, from.peer.ID)
		return
	}
	p.LastSeen = a.model.now
}

// applySummary updates the known nodes from the newest summary.
func (a *modelNode) applySummary() {
	fleet := a.relay.Fleet(a.model.now)
	if fleet == nil {
		return
	}
	if a.onFleet != nil {
		a.onFleet(fleet)
	}
	fleet.Lost.Each(func(_ int, id relay.ID) {
		p := a.known[id]
		if p == nil || a.model.now.Sub(p.LastSeen) < a.model.timing.Lost {
			return
		}
		a.forget(id)
		a.lost[id] = a.model.now
	})
	fleet.Covered.Each(func(_ int, id relay.ID) {
		if _, was := a.lost[id]; !was {
			return
		}
		for _, o := range a.model.nodes {
			if o.peer.ID == id {
				delete(a.lost, id)
				a.addPeer(o)
			}
		}
	})
}

// kill ends the selected nodes and returns them.
func (m *model) kill(match func(a *modelNode) bool) []*modelNode {
	var killed []*modelNode
	for _, a := range m.nodes {
		if !a.dead && match(a) {
			a.dead = true
			killed = append(killed, a)
		}
	}
	return killed
}

func (m *model) living() []*modelNode {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(a *modelNode) bool { return a.dead })
}

// ages returns the sorted ages of each living node's data on each other one, and
// how many have no data.
func (m *model) ages() ([]time.Duration, int) {
	var ages []time.Duration
	missing := 0
	for _, a := range m.living() {
		s := a.relay.Sums(m.now)
		for _, b := range m.living() {
			if a == b {
				continue
			}
			if s == nil || s.Loads[b.clockKey()] == 0 {
				missing++
				continue
			}
			at := time.Unix(1_000_000, 0).Add(time.Duration(s.Loads[b.clockKey()]-1) * time.Millisecond)
			ages = append(ages, m.now.Sub(at))
		}
	}
	slices.Sort(ages)
	return ages, missing
}

// quantile returns a quantile of sorted durations.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(int(q*float64(len(list))), len(list)-1)]
}
