package catchup_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/catchup"
)

const (
	// step is the period of the relays, and named how many informed nodes of a zone
	// a relay names in each.
	step  = 300 * time.Millisecond
	named = 8
	// timeout is how long a node waits for a reply.
	timeout = 800 * time.Millisecond
	// readTime is how long a full read of the store takes.
	readTime = 1200 * time.Millisecond
	// meetingTime is how long after their start nodes meet others, and firstMeeting
	// when, at the latest, a node meets the first.
	meetingTime  = time.Second
	firstMeeting = 1600 * time.Millisecond
	zones        = 5
	seeds        = 3
)

type (
	// model simulates how the store's content spreads over a fleet, in virtual time.
	model struct {
		random *rand.Rand
		now    time.Duration
		queue  events
		number int
		nodes  []*modelNode
		// size is the size of a reply in bytes.
		size int
		// storeFails is which nodes cannot read the store.
		storeFails func(n *modelNode) bool
		// reads counts full reads of the store, and whole replies that were sent.
		reads   int
		replies int
	}

	modelNode struct {
		index    int
		name     string
		zone     string
		relay    bool
		seed     bool
		puller   *catchup.Puller
		server   catchup.Server
		patience time.Duration
		// meets is when it meets the first other node.
		meets time.Duration
		// link is the link's capacity in bytes a second, and free when it has sent
		// everything.
		link float64
		free time.Duration
		// informed is when the node knew the content, negative before.
		informed time.Duration
		ahead    []int
		pulling  bool
		reading  bool
	}

	event struct {
		at time.Duration
		n  int
		do func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// newModel returns a fleet of which every node has just started. One node in twenty
// has a link of 200 Mbit/s, the others one of 20.
func newModel(nodes, size int, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 2)), size: size, storeFails: func(*modelNode) bool { return false }}
	relays := map[string]int{}
	for i := range nodes {
		n := &modelNode{index: i, name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones), link: 2.5e6, informed: -1, seed: i >= nodes-seeds}
		if i < nodes/20 {
			n.link = 25e6
		}
		n.relay = relays[n.zone] < 2
		relays[n.zone]++
		n.patience = catchup.MinPatience + time.Duration(m.random.Float64()*float64(catchup.MaxPatience-catchup.MinPatience))
		n.meets = time.Duration(m.random.Float64() * float64(firstMeeting))
		n.puller = catchup.NewPuller(catchup.Config{Zone: n.zone, Bound: 5 * time.Second, Draw: m.random.Float64})
		m.nodes = append(m.nodes, n)
		m.after(time.Duration(m.random.Float64()*float64(step)), func() { m.step(n) })
		m.after(time.Duration(m.random.Float64()*float64(100*time.Millisecond)), func() { m.checkRole(n) })
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	m.number++
	heap.Push(&m.queue, event{at: m.now + d, n: m.number, do: do})
}

func (m *model) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		e, _ := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	m.now = until
}

// checkRole lets a node read the store if its role says so.
func (m *model) checkRole(n *modelNode) {
	if n.informed >= 0 {
		return
	}
	m.after(100*time.Millisecond, func() { m.checkRole(n) })
	r := catchup.Reader{Age: m.now, Met: max(m.now-meetingTime, 0), Patience: n.patience, Empty: true, Informed: len(n.ahead) > 0, Seed: n.seed, Ahead: m.ahead(n)}
	if m.now < n.meets {
		r.Alone, r.Met, r.Ahead = true, r.Age, 0
	}
	if r.Reads() {
		m.read(n)
	}
}

// ahead returns how many of the nodes that a node has met come before it as readers.
func (m *model) ahead(n *modelNode) int {
	met := min(m.now.Seconds()/meetingTime.Seconds(), 1)
	count := 0
	for _, o := range m.nodes[:n.index] {
		if !m.storeFails(o) && m.random.Float64() < met {
			count++
		}
	}
	return count
}

func (m *model) read(n *modelNode) {
	if n.reading {
		return
	}
	n.reading = true
	m.reads++
	m.after(readTime, func() {
		n.reading = false
		if !m.storeFails(n) {
			m.inform(n)
		}
	})
}

func (m *model) inform(n *modelNode) {
	if n.informed < 0 {
		n.informed = m.now
		n.puller.Done()
	}
}

// step names informed nodes to the followers of a zone, as its relay does.
func (m *model) step(n *modelNode) {
	m.after(step, func() { m.step(n) })
	if !n.relay {
		return
	}
	own, other := m.informedNodes(func(o *modelNode) bool { return o.zone == n.zone }), []int(nil)
	if len(own) == 0 {
		other = m.informedNodes(func(o *modelNode) bool { return o.zone != n.zone && o.informed+step < m.now })
	}
	for _, o := range m.nodes {
		if o.zone == n.zone && o.informed < 0 {
			for _, i := range append(own, other...) {
				if !slices.Contains(o.ahead, i) {
					o.ahead = append(o.ahead, i)
				}
			}
			m.pull(o)
		}
	}
}

// informedNodes returns some matching nodes that know the content, others each time.
func (m *model) informedNodes(match func(o *modelNode) bool) []int {
	var list []int
	for _, o := range m.nodes {
		if o.informed >= 0 && match(o) {
			list = append(list, o.index)
		}
	}
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), named)]
}

func (m *model) pull(n *modelNode) {
	if !n.pulling && n.informed < 0 {
		n.pulling = true
		m.ask(n)
	}
}

func (m *model) ask(n *modelNode) {
	n.pulling = n.informed < 0
	if !n.pulling {
		return
	}
	f := catchup.Fleet{Nodes: len(m.nodes), Relay: n.relay}
	for _, i := range n.ahead {
		f.Ahead = append(f.Ahead, catchup.Peer{Name: m.nodes[i].name, Zone: m.nodes[i].zone})
	}
	start := time.Unix(1_000_000, 0)
	peer, wait, ok := n.puller.Next(start.Add(m.now), f)
	switch {
	case !ok:
		n.pulling = false
	case wait > 0:
		m.after(wait, func() { m.ask(n) })
	default:
		m.request(n, peer)
	}
}

// request sends a request to a peer, whose link sends replies one after the other.
func (m *model) request(n *modelNode, peer catchup.Peer) {
	start := time.Unix(1_000_000, 0)
	from := m.named(peer.Name)
	if !from.server.Begin(m.size) {
		m.after(2*time.Millisecond, func() {
			n.puller.Busy(start.Add(m.now), peer)
			m.ask(n)
		})
		return
	}
	m.replies++
	from.free = max(from.free, m.now) + time.Duration(float64(m.size)/min(from.link, n.link)*float64(time.Second))
	took := from.free - m.now
	m.after(took, func() { from.server.End(m.size) })
	if took > timeout {
		m.after(timeout, func() {
			if n.puller.Failed(start.Add(m.now), peer, len(m.nodes)) {
				m.read(n)
			}
			m.ask(n)
		})
		return
	}
	m.after(took, func() {
		m.inform(n)
		n.pulling = false
	})
}

func (m *model) named(name string) *modelNode {
	i, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err)
	}
	return m.nodes[i]
}

// uninformed returns how many nodes do not know the content, and when the last of
// the others knew it.
func (m *model) uninformed() (count int, last time.Duration) {
	for _, n := range m.nodes {
		if n.informed < 0 {
			count++
		}
		last = max(last, n.informed)
	}
	return count, last
}
