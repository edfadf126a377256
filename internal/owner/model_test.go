package owner_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/admission"
	"bulrushhinge.example/bulrushhinge/internal/owner"
)

const (
	// Of the time in milliseconds, the model counts requests that arrive from warmUp to
	// endAt; a third of the nodes is partitioned from the others for a while, then another
	// third restarts. The last requests are served or refused within coolDown.
	warmUp, partitionAt, reunitedAt, restartAt, endAt, coolDown = 3000, 7000, 10000, 12000, 16000, 1300
	// down is how long a node that restarts is down.
	down = 1000
	// queueDepth is how many requests an endpoint has at most, as a multiple of its
	// slots.
	queueDepth = 4
	// reportInterval is the time between two reports of served requests.
	reportInterval = 500
)

// Ways in which the nodes of a model share the slots of a service: each by itself, also
// by what the others report of served requests, or through an owner.
const (
	alone way = iota
	sharing
	owning
)

type (
	way int

	// model is a fleet in front of a service, in steps of a millisecond.
	model struct {
		way       way
		nodes     []*modelNode
		endpoints []modelEndpoint
		slots     int
		work      int
		rng       *rand.Rand
		step      int
		due       map[int][]func()
		// loads are the nodes' requests at the endpoints, every 100 ms.
		loads [][][]int
		// asked and served are the requests of each phase by kind.
		asked, served [5][3]float64
	}

	modelNode struct {
		model    *model
		index    int
		name     string
		up       bool
		queue    *admission.Queue
		tracker  *owner.Tracker
		contacts *owner.Contacts
		waiting  []*modelRequest
		// active are its requests at endpoints, others those of other nodes as far as
		// known, refused until when it avoids an endpoint.
		active, others, refused []int
		othersAt, roundAt       int
		// arrived and admitted are the requests since the last report by kind.
		arrived, admitted [3]int
	}

	// modelEndpoint has the time at which each slot is free, and its requests.
	modelEndpoint struct {
		free []int
		load int
	}

	modelRequest struct {
		kind, phase int
		from        *modelNode
		waiter      *admission.Waiter
	}
)

// kinds are the competing requests: an urgent kind and two of equal priority, of which
// one arrives twice as often and the other waits three times as long.
var kinds = []admission.Request{
	{Kind: "urgent", Priority: 0, Objective: 400 * ms},
	{Kind: "often", Priority: 1, Objective: 400 * ms},
	{Kind: "patient", Priority: 1, Objective: 1200 * ms},
}

// upAt reports whether a node is up at a time.
func upAt(n, step int) bool {
	began := restartAt + n*20
	return n%3 != 2 || step < began || step >= began+down
}

// connectedAt reports whether two nodes reach each other at a time.
func connectedAt(a, b, step int) bool {
	return step < partitionAt || step >= reunitedAt || a%3 == 1 == (b%3 == 1)
}

// delay is how old what a node knows of another is, 0.1 to 3 s.
func delay(a, b int) int { return 100 + (a*7919+b*104729)%2900 }

// newModel returns a fleet whose slots suffice for five of seven requests.
func newModel(w way, nodes, endpoints, slots, work int) *model {
	m := &model{way: w, slots: slots, work: work, rng: rand.New(rand.NewPCG(1, uint64(nodes))), due: map[int][]func(){}}
	for range endpoints {
		m.endpoints = append(m.endpoints, modelEndpoint{free: make([]int, slots)})
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &modelNode{model: m, index: i, name: strconv.Itoa(i), up: true})
		m.nodes[i].start()
	}
	return m
}

func (m *model) now() time.Time { return at(m.step) }

func (m *model) after(ms int, do func()) { m.due[m.step+ms] = append(m.due[m.step+ms], do) }

// run returns the served share of each kind, by phase.
func (m *model) run() (share [3][3]float64) {
	mean := 1.4 * float64(m.slots*len(m.endpoints)) / float64(m.work)
	for ; m.step < endAt+coolDown; m.step++ {
		for _, do := range m.due[m.step] {
			do()
		}
		delete(m.due, m.step)
		if m.step%100 == 0 {
			m.report()
		}
		for _, n := range m.nodes {
			n.tick()
		}
		for p := m.rng.Float64(); p > math.Exp(-mean); p *= m.rng.Float64() {
			m.arrive()
		}
	}
	for phase := range share {
		for kind := range kinds {
			share[phase][kind] = m.served[phase+1][kind] / m.asked[phase+1][kind]
		}
	}
	return share
}

// arrive adds a request. Four fifths of each kind arrive at one half of the nodes.
func (m *model) arrive() {
	r := &modelRequest{kind: []int{0, 1, 1, 2}[m.rng.IntN(4)]}
	half := (r.kind + m.rng.IntN(5)/4) % 2
	r.from = m.nodes[(half*len(m.nodes)+m.rng.IntN(len(m.nodes)))/2]
	r.phase = sort.SearchInts([]int{warmUp, partitionAt, restartAt, endAt}, m.step+1)
	if r.from.up {
		m.asked[r.phase][r.kind]++
		r.from.receive(r)
	}
}

// report records the loads, and reports served requests if the nodes share them.
func (m *model) report() {
	loads := make([][]int, len(m.nodes))
	for i, n := range m.nodes {
		loads[i] = slices.Clone(n.active)
	}
	m.loads = append(m.loads, loads)
	for _, n := range m.nodes {
		if m.way != sharing || m.step%reportInterval != 0 {
			continue
		}
		arrived, admitted := n.arrived, n.admitted
		n.arrived, n.admitted = [3]int{}, [3]int{}
		for _, to := range m.nodes {
			if to != n && connectedAt(n.index, to.index, m.step) {
				m.after(delay(to.index, n.index), func() { to.hear(arrived, admitted) })
			}
		}
	}
}

func (n *modelNode) hear(arrived, admitted [3]int) {
	for kind, r := range kinds {
		for range arrived[kind] {
			n.queue.Arrived(n.model.now(), r)
		}
		for range admitted[kind] {
			n.queue.Admitted(n.model.now(), r)
		}
	}
}

func (n *modelNode) start() {
	size := len(n.model.endpoints)
	n.queue, n.contacts, n.tracker = admission.NewQueue(), owner.NewContacts(), owner.NewTracker(owner.Config{Ratio: 2})
	n.active, n.others, n.refused, n.waiting = make([]int, size), make([]int, size), make([]int, size), nil
}

// tick ends and starts the node, and gives waiting requests their turns. Those of other
// nodes are lost at the end, and run at their own.
func (n *modelNode) tick() {
	if up := upAt(n.index, n.model.step); up != n.up {
		lost := n.waiting
		n.up = up
		n.start()
		for _, r := range lost {
			if r.from != n {
				r.from.serve(r)
			}
		}
	}
	if n.model.step%5 == n.index%5 {
		n.round()
	}
}

// round gives turns to waiting requests, once those that give up have left.
func (n *modelNode) round() {
	if n.model.step-n.roundAt < 5 {
		return
	}
	now := n.model.now()
	n.roundAt = n.model.step
	n.remove(func(r *modelRequest) bool {
		over := !now.Before(r.waiter.Deadline())
		if over {
			n.queue.Refused(now, kinds[r.kind])
		}
		return over
	})
	n.queue.StartRound(now)
	for turn := len(n.waiting) > 0; turn; {
		turn = false
		n.remove(func(r *modelRequest) bool {
			select {
			case <-r.waiter.Turn():
				turn = true
				defer n.queue.NextTurn()
				return n.place(r)
			default:
				return false
			}
		})
	}
}

// remove removes the waiting requests for which a function returns true.
func (n *modelNode) remove(gone func(r *modelRequest) bool) {
	n.waiting = slices.DeleteFunc(n.waiting, func(r *modelRequest) bool {
		left := gone(r)
		if left {
			n.queue.Leave(r.waiter)
		}
		return left
	})
}

// owner returns the service's owner by this node's view.
func (n *modelNode) owner() *modelNode {
	m := n.model
	d := n.tracker.Decide("s", owner.Key{Members: m.step / 50}, func() owner.Input {
		in := owner.Input{Service: "s", Slots: m.slots * len(m.endpoints), Nodes: len(m.nodes)}
		for i := range m.nodes {
			then := m.step - delay(n.index, i)
			if i == n.index || upAt(i, then) && connectedAt(n.index, i, then) {
				in.Members = append(in.Members, owner.Member{Name: m.nodes[i].name, Power: 1, Ready: true, Reaches: true})
			}
		}
		return in
	})
	i, _ := strconv.Atoi(d.Owner)
	return m.nodes[i]
}

// receive serves a caller's request here or at the owner.
func (n *modelNode) receive(r *modelRequest) {
	m, to, contacts := n.model, n, n.contacts
	if m.way == owning {
		to = n.owner()
	}
	switch {
	case to == n || !contacts.Begin(m.now(), to.name):
		n.serve(r)
	case to.up && connectedAt(n.index, to.index, m.step):
		contacts.Offered(m.now(), to.name, owner.Taken)
		contacts.Done(to.name)
		to.serve(r)
	default:
		m.after(250, func() {
			contacts.Offered(m.now(), to.name, owner.Silent)
			n.serve(r)
		})
	}
}

// serve places a request, or lets it wait.
func (n *modelNode) serve(r *modelRequest) {
	now, k := n.model.now(), kinds[r.kind]
	n.queue.Arrived(now, k)
	n.arrived[r.kind]++
	if n.queue.MayTry(now, k) && n.place(r) {
		return
	}
	if r.waiter = n.queue.Join(now, k); r.waiter == nil {
		n.queue.Refused(now, k)
		return
	}
	n.waiting = append(n.waiting, r)
}

// place sends a request to an endpoint, and reports whether one takes it.
func (n *modelNode) place(r *modelRequest) bool {
	m := n.model
	for exclusive := m.way == owning && n.owner() == n; ; {
		i := n.choose(exclusive)
		if i < 0 {
			n.queue.NoPlace(m.now())
			return false
		}
		e := &m.endpoints[i]
		if e.load >= queueDepth*m.slots {
			n.refused[i] = m.step + 150
			continue
		}
		n.queue.Admitted(m.now(), kinds[r.kind])
		n.admitted[r.kind]++
		m.served[r.phase][r.kind]++
		slot := slices.Index(e.free, slices.Min(e.free))
		e.free[slot] = max(e.free[slot], m.step) + m.work/2 + m.rng.IntN(m.work)
		e.load++
		active := n.active
		active[i]++
		m.after(e.free[slot]-m.step, func() {
			active[i]--
			e.load--
			n.round()
		})
		return true
	}
}

// choose returns an endpoint with room, -1 if there is none: of two, or of all if all
// requests pass through this node.
func (n *modelNode) choose(exclusive bool) int {
	best, found := -1, 0
	n.observe()
	for _, i := range n.model.rng.Perm(len(n.active)) {
		full := n.active[i]+n.others[i] >= queueDepth*n.model.slots
		if exclusive {
			full = n.active[i] > n.model.slots
		}
		if full || n.model.step < n.refused[i] {
			continue
		}
		if found++; found > 2 && !exclusive {
			break
		}
		if best < 0 || n.active[i]+n.others[i] < n.active[best]+n.others[best] {
			best = i
		}
	}
	return best
}

// observe updates what the node knows of the other nodes' requests.
func (n *modelNode) observe() {
	m := n.model
	if m.step/100 == n.othersAt {
		return
	}
	n.othersAt = m.step / 100
	clear(n.others)
	for _, o := range m.nodes {
		then := (m.step - delay(n.index, o.index)) / 100
		if o == n || then < 0 || !connectedAt(n.index, o.index, m.step) {
			continue
		}
		for i, load := range m.loads[then][o.index] {
			n.others[i] += load
		}
	}
}
