package gossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
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
		// Relayed says that the loads of most came through a relay.
		Relayed bool
		loads   map[uint32]int
		// reading are the tokens that endpoints are to read for other nodes.
		reading map[uint32]int
		// failures are other nodes' attempts that endpoints have failed lately.
		failures map[uint32]int
		// heard is the mean of the moments at which the living nodes were heard.
		heard time.Time
		// positions are those of the store that the living nodes know all up to,
		// in their order.
		positions []deployment.Position
	}

	// table is the control goroutine's knowledge of other nodes.
	table struct {
		// nodes are all known ones by address, ids those that said who they are
		// by incarnation.
		nodes map[netip.Addr]*node
		ids   map[uint64]*node
	}

	node struct {
		addr netip.Addr
		// member is who the node is, with its newest State and Access; former
		// is the incarnation before.
		member Member
		former uint64
		heard  time.Time
		first  time.Time
		// covered is when a relay last told that it hears the node, and introduced
		// when this incarnation of it became known.
		covered    time.Time
		introduced time.Time
		sequence   uint64
		position   deployment.Position
		loads      map[uint32]int
		reading    map[uint32]int
		failures   map[uint32]int
		alive      bool
		// digest is that of the node's record at the position digested.
		digest   uint32
		digested deployment.Position
	}

	// hearing is what a heartbeat brought.
	hearing int
)

// What a heartbeat brought.
const (
	// stale is an older one than the last.
	stale hearing = iota
	// stranger is one of a node that has not said who it is.
	stranger
	// usual is the next one of a living node.
	usual
	// changed is the same with another state or position.
	changed
	// regained is one of a node that was not alive before.
	regained
)

// Others returns the requests in progress at an endpoint that other nodes have
// sent.
func (v *View) Others(key uint32) int { return v.loads[key] }

// OthersReading returns the prompt tokens that an endpoint is still to read for
// other nodes' requests.
func (v *View) OthersReading(key uint32) int { return v.reading[key] }

// OthersFailures returns the attempts of other nodes that an endpoint has failed
// lately.
func (v *View) OthersFailures(key uint32) int { return v.failures[key] }

// informed draws a living node that knows more of the store than up to a position,
// so that not all ask the same one.
func (v *View) informed(after deployment.Position) (Member, bool) {
	return v.draw(func(at deployment.Position) bool { return after.Before(at) })
}

// contemporary draws a living node that knows an epoch.
func (v *View) contemporary(epoch uint64) (Member, bool) {
	return v.draw(func(at deployment.Position) bool { return at.Epoch == epoch && !at.IsZero() })
}

// draw draws a living node whose position fits.
func (v *View) draw(fits func(at deployment.Position) bool) (Member, bool) {
	var list []Member
	for i, m := range v.Alive {
		if fits(v.positions[i]) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[rand.IntN(len(list))], true
}

// newest returns the newest position that a living node knows.
func (v *View) newest() (newest deployment.Position) {
	for _, at := range v.positions {
		newest = deployment.Later(newest, at)
	}
	return newest
}

// Age returns how old the loads are on the mean over the living nodes.
func (v *View) Age(now time.Time) time.Duration {
	if v.heard.IsZero() {
		return 0
	}
	return max(now.Sub(v.heard), 0)
}

func newTable() *table { return &table{nodes: map[netip.Addr]*node{}, ids: map[uint64]*node{}} }

// learn notes that a node is at an address, and returns it.
func (t *table) learn(addr netip.Addr, now time.Time) *node {
	n := t.nodes[addr]
	if n == nil {
		n = &node{addr: addr, first: now}
		t.nodes[addr] = n
	}
	return n
}

// introduce notes who a node is. Datagrams overtake each other: one of a node's
// earlier incarnation must not replace the present one.
func (t *table) introduce(b *heartbeat, now time.Time) {
	n := t.learn(b.From.IP, now)
	if n.member.Incarnation == b.ID || n.former == b.ID {
		return
	}
	delete(t.ids, n.member.Incarnation)
	n.former = n.member.Incarnation
	n.member = *b.From
	n.introduced, n.covered = now, time.Time{}
	n.member.Incarnation = b.ID
	n.sequence = 0
	t.ids[b.ID] = n
}

// heard notes a heartbeat and tells what it brought. An older one than the last
// says nothing.
func (t *table) heard(b *heartbeat, now time.Time) (*node, hearing) {
	if b.From != nil {
		t.introduce(b, now)
	}
	n := t.ids[b.ID]
	if n == nil {
		if b.From != nil {
			return nil, stale
		}
		return nil, stranger
	}
	if b.Sequence <= n.sequence {
		return n, stale
	}
	brought := usual
	switch {
	case !n.alive:
		brought = regained
	case n.member.State != b.State || n.member.Access != b.Access || n.position != b.position():
		brought = changed
	}
	n.member.State, n.member.Access = b.State, b.Access
	n.sequence, n.position, n.loads, n.reading, n.failures = b.Sequence, b.position(), b.Loads, b.Reading, b.Failures
	n.heard, n.alive = now, true
	if b.Digest != 0 {
		n.digest, n.digested = b.Digest, b.position()
	}
	return n, brought
}

// expire marks silent nodes and returns those it marked.
func (t *table) expire(now time.Time) []*node {
	patience := max(aliveFor, time.Duration(aliveBeats*float64(interval(len(t.nodes)+1))))
	var lost []*node
	for addr, n := range t.nodes {
		if n.alive && now.Sub(later(n.heard, n.covered)) > patience {
			n.alive = false
			lost = append(lost, n)
		}
		if !n.alive && now.Sub(later(n.heard, n.first)) > reachFor {
			delete(t.nodes, addr)
			delete(t.ids, n.member.Incarnation)
		}
	}
	return lost
}

// view returns what the node knows. Of the nodes that relays cover it takes the
// sums, of the others their own last word.
func (t *table) view(now time.Time, sums *relay.Sums) *View {
	living := make([]*node, 0, len(t.nodes))
	for _, n := range t.nodes {
		if n.alive {
			living = append(living, n)
		}
	}
	slices.SortFunc(living, func(a, b *node) int { return cmp.Compare(a.member.Name, b.member.Name) })
	v := &View{Known: len(t.nodes) + 1, loads: map[uint32]int{}, reading: map[uint32]int{}, failures: map[uint32]int{}}
	if sums != nil {
		v.loads, v.reading, v.failures, v.Relayed = sums.Loads, sums.Reading, sums.Failures, true
	}
	var ages time.Duration
	for _, n := range living {
		v.Alive = append(v.Alive, n.member)
		v.positions = append(v.positions, n.position)
		if sums.Covers(short(n.member.Incarnation)) {
			ages += sums.Age
			continue
		}
		ages += now.Sub(n.heard)
		for key, load := range n.loads {
			v.loads[key] += load
		}
		for key, tokens := range n.reading {
			v.reading[key] += tokens
		}
		for key, failures := range n.failures {
			v.failures[key] += failures
		}
	}
	if len(living) > 0 {
		v.heard = now.Add(-ages / time.Duration(len(living)))
	}
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
