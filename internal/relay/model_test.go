package relay_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

type (
	// plan is what a model plays.
	plan struct {
		nodes, zones int
		// endpoints is how many endpoints each node has requests at, of all.
		endpoints, each int
		// loss is the share of datagrams that get lost.
		loss float64
		seed uint64
	}

	// model is a fleet in virtual time, with a network between its nodes.
	model struct {
		plan   plan
		random *rand.Rand
		now    time.Time
		queue  events
		nodes  []*machine
		byAddr map[netip.Addr]*machine
		number int
		codes  map[*relay.Summary]code
		// cut returns whether datagrams between two nodes get lost.
		cut func(from, to *machine) bool
	}

	// machine is one node of the model, with the little of membership that a
	// relay needs.
	machine struct {
		model *model
		index int
		relay *relay.Node
		peer  relay.Peer
		dead  bool
		born  time.Time
		// loads are what the node has in progress; its own key holds when it last
		// changed, in milliseconds since the start.
		loads map[uint32]int
		seq   uint64
		known map[relay.ID]*relay.Peer
		// missed is when a peer was taken as lost.
		missed map[relay.ID]time.Time
		sent   int
		bytes  int
		got    int
		// frozen keeps loads as they are; news is told with each report, and
		// onWhole sees each summary of the fleet.
		frozen  bool
		news    relay.News
		onWhole func(s *relay.Summary)
	}

	// code is a summary as it is received.
	code struct {
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
		plan: p, random: rand.New(rand.NewPCG(p.seed, 1)), now: time.Unix(1_000_000, 0), byAddr: map[netip.Addr]*machine{}, codes: map[*relay.Summary]code{},
		cut: func(_, _ *machine) bool { return false },
	}
	for i := range p.nodes {
		m.add(i)
	}
	for _, a := range m.nodes {
		for _, b := range m.nodes {
			a.meet(b)
		}
	}
	return m
}

// add starts a node that nobody knows yet.
func (m *model) add(i int) *machine {
	addr := netip.AddrFrom4([4]byte{10, 0, byte(len(m.nodes) >> 8), byte(len(m.nodes))})
	power := 192
	if m.random.Float64() < 0.08 {
		power = 800
	}
	zone := fmt.Sprint("z", i%m.plan.zones)
	id := relay.ID(m.random.Uint32())
	nd := &machine{
		model: m, index: len(m.nodes), born: m.now, loads: map[uint32]int{}, known: map[relay.ID]*relay.Peer{}, missed: map[relay.ID]time.Time{},
		relay: relay.New(relay.Config{ID: id, Zone: zone, Power: power}),
		peer:  relay.Peer{ID: id, Zone: zone, Addr: addr, Power: power, First: m.now},
	}
	m.nodes = append(m.nodes, nd)
	m.byAddr[addr] = nd
	m.after(time.Duration(m.random.Int64N(int64(300*time.Millisecond))), nd.step)
	return nd
}

func (a *machine) meet(b *machine) {
	if a != b {
		p := b.peer
		p.First, p.Heard = a.model.now, a.model.now
		a.known[p.ID] = &p
	}
}

func (m *model) after(d time.Duration, do func()) {
	m.number++
	heap.Push(&m.queue, event{at: m.now.Add(d), n: m.number, do: do})
}

// run plays some time.
func (m *model) run(d time.Duration) {
	until := m.now.Add(d)
	for len(m.queue) > 0 && !m.queue[0].at.After(until) {
		e, _ := heap.Pop(&m.queue).(event)
		m.now = e.at
		if len(m.codes) > 2000 {
			clear(m.codes)
		}
		e.do()
	}
	m.now = until
}

// step is a node's regular work; a busy node is late for it now and then.
func (a *machine) step() {
	if a.dead {
		return
	}
	m := a.model
	a.work()
	a.seq++
	own := relay.Report{ID: a.peer.ID, Addr: a.peer.Addr, Sequence: a.seq, Loads: a.told(), Position: deployment.Position{Revision: 1}, Mark: 1, News: a.news}
	for _, msg := range a.relay.Step(m.now, a.peers(), own) {
		a.send(msg)
	}
	a.believe()
	late := time.Duration(0)
	if m.random.Float64() < 0.02 {
		late = time.Duration(m.random.Int64N(int64(100 * time.Millisecond)))
	}
	m.after(relay.Step(m.plan.nodes)+late, a.step)
}

// work changes what the node has in progress.
func (a *machine) work() {
	m := a.model
	if a.frozen {
		return
	}
	a.loads = map[uint32]int{a.stamp(): int(m.now.Sub(time.Unix(1_000_000, 0)).Milliseconds()) + 1}
	for range m.plan.each {
		a.loads[uint32(m.random.IntN(max(m.plan.endpoints, 1)))]++
	}
}

// stamp is the key at which the node tells the time.
func (a *machine) stamp() uint32 { return uint32(1_000_000 + a.index) }

func (a *machine) told() map[uint32]int {
	out := make(map[uint32]int, len(a.loads))
	for k, v := range a.loads {
		out[k] = v
	}
	return out
}

func (a *machine) peers() []relay.Peer {
	list := make([]relay.Peer, 0, len(a.known))
	for _, p := range a.known {
		list = append(list, *p)
	}
	slices.SortFunc(list, func(x, y relay.Peer) int { return int(int64(x.ID) - int64(y.ID)) })
	return list
}

func (a *machine) send(msg relay.Message) {
	m := a.model
	to := m.byAddr[msg.To]
	size := 40
	if msg.Summary != nil {
		msg.Summary, size = m.coded(msg.Summary)
	} else {
		size += 7 * len(msg.Report.Loads)
	}
	a.sent++
	a.bytes += size
	if m.random.Float64() < m.plan.loss || m.cut(a, to) {
		return
	}
	delay := 500*time.Microsecond + time.Duration(m.random.Int64N(int64(2*time.Millisecond)))
	m.after(delay, func() {
		if to.dead {
			return
		}
		to.got += size
		to.take(a, msg)
	})
}

// coded returns a summary as it is after it was sent, and its size. One summary
// goes to many.
func (m *model) coded(s *relay.Summary) (*relay.Summary, int) {
	if c, ok := m.codes[s]; ok {
		return c.summary, c.size
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(err)
	}
	c := code{summary: &relay.Summary{}, size: len(data)}
	if err := cbor.Unmarshal(data, c.summary); err != nil {
		panic(err)
	}
	m.codes[s] = c
	return c.summary, c.size
}

func (a *machine) take(from *machine, msg relay.Message) {
	if msg.Report != nil {
		a.relay.Heard(a.model.now, *msg.Report)
		a.heard(from)
		return
	}
	if a.relay.Take(a.model.now, from.peer, msg.Summary, msg.Told) {
		a.believe()
	}
}

func (a *machine) heard(from *machine) {
	p := a.known[from.peer.ID]
	if p == nil {
		a.meet(from)
		delete(a.missed, from.peer.ID)
		return
	}
	p.Heard = a.model.now
}

// believe takes who lives from the newest summary.
func (a *machine) believe() {
	w := a.relay.Whole(a.model.now)
	if w == nil {
		return
	}
	if a.onWhole != nil {
		a.onWhole(w)
	}
	w.Lost.Each(func(_ int, id relay.ID) {
		p := a.known[id]
		if p == nil || a.model.now.Sub(p.Heard) < 600*time.Millisecond {
			return
		}
		delete(a.known, id)
		a.missed[id] = a.model.now
	})
	w.Covered.Each(func(_ int, id relay.ID) {
		if _, was := a.missed[id]; !was {
			return
		}
		for _, o := range a.model.nodes {
			if o.peer.ID == id {
				delete(a.missed, id)
				a.meet(o)
			}
		}
	})
}

// kill ends nodes, and returns them.
func (m *model) kill(which func(a *machine) bool) []*machine {
	var killed []*machine
	for _, a := range m.nodes {
		if !a.dead && which(a) {
			a.dead = true
			killed = append(killed, a)
		}
	}
	return killed
}

func (m *model) living() []*machine {
	return slices.DeleteFunc(slices.Clone(m.nodes), func(a *machine) bool { return a.dead })
}

// ages returns how old each living node's belief of each other's load is, and
// how many beliefs there are not.
func (m *model) ages() ([]time.Duration, int) {
	var ages []time.Duration
	missing := 0
	for _, a := range m.living() {
		s := a.relay.Sums(m.now)
		for _, b := range m.living() {
			if a == b {
				continue
			}
			if s == nil || s.Loads[b.stamp()] == 0 {
				missing++
				continue
			}
			at := time.Unix(1_000_000, 0).Add(time.Duration(s.Loads[b.stamp()]-1) * time.Millisecond)
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
