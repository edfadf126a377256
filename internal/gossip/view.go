package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// aliveFor is how long after its last heartbeat a node counts as alive at
	// least: callers are sent to it, and its load counts.
	aliveFor = 1200 * time.Millisecond
	// aliveBeats is the same in heartbeats, for larger fleets: two may be lost.
	aliveBeats = 2.5
	// reachFor is how long a silent node is still sent heartbeats, so that
	// nodes find each other again after a partition.
	reachFor = 5 * time.Minute
)

type (
	// View is what a node knows of the others at one moment. It is immutable.
	View struct {
		// Alive are the other nodes heard of lately, sorted by name.
		Alive []Member
		// Known is how many nodes there are, this one and silent ones too.
		Known int
		loads map[uint32]int
		// revisions are those of the store that the nodes know all up to.
		revisions map[string]uint64
	}

	// table is the control goroutine's knowledge of other nodes.
	table struct{ nodes map[string]*node }

	node struct {
		member   Member
		contact  Contact
		heard    time.Time
		first    time.Time
		sequence uint64
		revision uint64
		loads    map[uint32]int
		alive    bool
	}
)

// Others returns the requests in progress at an endpoint that other nodes have
// sent.
func (v *View) Others(key uint32) int { return v.loads[key] }

// informed draws a living node that knows more of the store than a revision, so
// that not all ask the same one.
func (v *View) informed(after uint64) (Member, bool) {
	var list []Member
	for _, m := range v.Alive {
		if v.revisions[m.Name] > after {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[rand.IntN(len(list))], true
}

func newTable() *table { return &table{nodes: map[string]*node{}} }

// learn notes where a node can be reached.
func (t *table) learn(c Contact, now time.Time) {
	if n := t.nodes[c.Name]; n != nil {
		if !n.alive {
			n.contact = c
		}
		return
	}
	t.nodes[c.Name] = &node{contact: c, first: now}
}

// heard notes a heartbeat and reports whether the node was not alive before.
// Datagrams overtake each other; an older one says nothing.
func (t *table) heard(b *heartbeat, now time.Time) (regained, fresh bool) {
	t.learn(Contact{Name: b.From.Name, IP: b.From.IP}, now)
	n := t.nodes[b.From.Name]
	if n.member.Incarnation == b.From.Incarnation && b.Sequence <= n.sequence {
		return false, false
	}
	regained = !n.alive
	n.contact = Contact{Name: b.From.Name, IP: b.From.IP}
	n.member, n.sequence, n.revision, n.loads = b.From, b.Sequence, b.Revision, b.Loads
	n.heard, n.alive = now, true
	return regained, true
}

// expire marks silent nodes and returns the names of those it marked.
func (t *table) expire(now time.Time) []string {
	patience := max(aliveFor, time.Duration(aliveBeats*float64(interval(len(t.nodes)+1))))
	var lost []string
	for name, n := range t.nodes {
		if n.alive && now.Sub(n.heard) > patience {
			n.alive = false
			lost = append(lost, name)
		}
		if !n.alive && now.Sub(later(n.heard, n.first)) > reachFor {
			delete(t.nodes, name)
		}
	}
	return lost
}

func (t *table) view() *View {
	v := &View{Known: len(t.nodes) + 1, loads: map[uint32]int{}, revisions: map[string]uint64{}}
	for _, name := range slices.Sorted(maps.Keys(t.nodes)) {
		n := t.nodes[name]
		if !n.alive {
			continue
		}
		v.Alive = append(v.Alive, n.member)
		v.revisions[name] = n.revision
		for key, load := range n.loads {
			v.loads[key] += load
		}
	}
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
