package gossip

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/catchup"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

const (
	// aliveTimeout is the least time after its last heartbeat for which a node
	// counts as alive: it gets callers, and its load counts.
	aliveTimeout = 1200 * time.Millisecond
	// aliveHeartbeats is the same in heartbeat intervals, for larger fleets: two
	// heartbeats may be lost.
	aliveHeartbeats = 2.5
	// forgetAfter is how long an unreachable node is still sent heartbeats, so
	// that nodes find each other again after a partition.
	forgetAfter = 5 * time.Minute
)

type (
	// View is a snapshot of what the node knows of the others. It is immutable.
	View struct {
		// Alive are the other living nodes, sorted by name.
		Alive []Member
		// Known is the number of nodes, including this one and unreachable ones.
		Known int
		// Relayed says that most loads came through a relay.
		Relayed bool
		loads   map[uint32]int
		// reading are other nodes' prompt tokens that endpoints have yet to process.
		reading map[uint32]int
		// failures are other nodes' recently failed attempts by endpoint.
		failures map[uint32]int
		// loadsAt is the mean time of the living nodes' loads.
		loadsAt time.Time
		// positions are the store positions of the nodes in Alive, in the same
		// order.
		positions []deployment.Position
		// metAt is when another node became known last.
		metAt time.Time
	}

	// table is what the control goroutine knows of other nodes.
	table struct {
		// nodes are all known nodes by address, ids the identified ones by
		// incarnation.
		nodes map[netip.Addr]*node
		ids   map[uint64]*node
	}

	node struct {
		addr netip.Addr
		// member is the node's identity with its newest State and Access; previous
		// is its previous incarnation.
		member    Member
		previous  uint64
		lastSeen  time.Time
		firstSeen time.Time
		// coveredAt is when a relay last reported the node as alive, introducedAt
		// when its present incarnation became known.
		coveredAt    time.Time
		introducedAt time.Time
		sequence     uint64
		position     deployment.Position
		loads        map[uint32]int
		reading      map[uint32]int
		failures     map[uint32]int
		alive        bool
		// digest is that of the node's record at position digestAt.
		digest   uint32
		digestAt deployment.Position
	}

	// result is the effect of a heartbeat.
	result int
)

// Effects of a heartbeat.
const (
	// resultStale is an older heartbeat than the last.
	resultStale result = iota
	// resultUnknown is one of a node whose identity is not known.
	resultUnknown
	// resultCurrent is a newer one of a living node.
	resultCurrent
	// resultChanged is the same with another state or position.
	resultChanged
	// resultRecovered is one of a node that was not alive before.
	resultRecovered
)

// Others returns the requests in progress at an endpoint that other nodes sent.
func (v *View) Others(key uint32) int { return v.loads[key] }

// OthersPrefill returns the prompt tokens of other nodes' requests that an
// endpoint has yet to process.
func (v *View) OthersPrefill(key uint32) int { return v.reading[key] }

// OthersFailures returns the recently failed attempts of other nodes at an
// endpoint.
func (v *View) OthersFailures(key uint32) int { return v.failures[key] }

// aheadOf returns the living nodes whose positions are newer.
func (v *View) aheadOf(after deployment.Position) []catchup.Peer {
	return v.matching(func(at deployment.Position) bool { return after.Before(at) })
}

// inEpoch returns a random living node whose position is in an epoch.
func (v *View) inEpoch(epoch uint64) (catchup.Peer, bool) {
	list := v.matching(func(at deployment.Position) bool { return at.Epoch == epoch && !at.IsZero() })
	if len(list) == 0 {
		return catchup.Peer{}, false
	}
	return list[rand.IntN(len(list))], true
}

// matching returns the living nodes whose positions match.
func (v *View) matching(match func(at deployment.Position) bool) []catchup.Peer {
	var list []catchup.Peer
	for i, m := range v.Alive {
		if match(v.positions[i]) {
			list = append(list, catchup.Peer{Name: m.Name, Zone: m.Zone, IP: m.IP})
		}
	}
	return list
}

// newest returns the newest position of a living node.
func (v *View) newest() (newest deployment.Position) {
	for _, at := range v.positions {
		newest = deployment.Later(newest, at)
	}
	return newest
}

// Age returns the mean age of the living nodes' loads.
func (v *View) Age(now time.Time) time.Duration {
	if v.loadsAt.IsZero() {
		return 0
	}
	return max(now.Sub(v.loadsAt), 0)
}

func newTable() *table { return &table{nodes: map[netip.Addr]*node{}, ids: map[uint64]*node{}} }

// add adds the node at an address if it is new, and returns it.
func (t *table) add(addr netip.Addr, now time.Time) *node {
	n := t.nodes[addr]
	if n == nil {
		n = &node{addr: addr, firstSeen: now}
		t.nodes[addr] = n
	}
	return n
}

// identify records a node's identity. Datagrams may be reordered: one of a node's
// previous incarnation must not replace the present one.
func (t *table) identify(b *heartbeat, now time.Time) {
	n := t.add(b.From.IP, now)
	if n.member.Incarnation == b.ID || n.previous == b.ID {
		return
	}
	delete(t.ids, n.member.Incarnation)
	n.previous = n.member.Incarnation
	n.member = *b.From
	n.introducedAt, n.coveredAt = now, time.Time{}
	n.member.Incarnation = b.ID
	n.sequence = 0
	t.ids[b.ID] = n
}

// record applies a heartbeat and returns its effect. One that is not newer than
// the last is ignored.
func (t *table) record(b *heartbeat, now time.Time) (*node, result) {
	if b.From != nil {
		t.identify(b, now)
	}
	n := t.ids[b.ID]
	if n == nil {
		if b.From != nil {
			return nil, resultStale
		}
		return nil, resultUnknown
	}
	if b.Sequence <= n.sequence {
		return n, resultStale
	}
	res := resultCurrent
	switch {
	case !n.alive:
		res = resultRecovered
	case n.member.State != b.State || n.member.Access != b.Access || n.position != b.position() || !slices.Equal(n.member.Lost, b.Lost):
		res = resultChanged
	}
	n.member.State, n.member.Access, n.member.Lost = b.State, b.Access, b.Lost
	n.sequence, n.position, n.loads, n.reading, n.failures = b.Sequence, b.position(), b.Loads, b.PendingPrefill, b.Failures
	n.lastSeen, n.alive = now, true
	if b.Digest != 0 {
		n.digest, n.digestAt = b.Digest, b.position()
	}
	return n, res
}

// expire marks nodes as not alive after the timeout and returns them, and
// forgets those unreachable for long.
func (t *table) expire(now time.Time) []*node {
	timeout := max(aliveTimeout, time.Duration(aliveHeartbeats*float64(interval(len(t.nodes)+1))))
	var lost []*node
	for addr, n := range t.nodes {
		if n.alive && now.Sub(later(n.lastSeen, n.coveredAt)) > timeout {
			n.alive = false
			lost = append(lost, n)
		}
		if !n.alive && now.Sub(later(n.lastSeen, n.firstSeen)) > forgetAfter {
			delete(t.nodes, addr)
			delete(t.ids, n.member.Incarnation)
		}
	}
	return lost
}

// view returns a view of the table. It uses the sums for nodes that relays cover,
// and the last heartbeat for others.
func (t *table) view(now time.Time, sums *relay.Sums) *View {
	living := make([]*node, 0, len(t.nodes))
	var metAt time.Time
	for _, n := range t.nodes {
		metAt = later(metAt, n.introducedAt)
		if n.alive {
			living = append(living, n)
		}
	}
	slices.SortFunc(living, func(a, b *node) int { return cmp.Compare(a.member.Name, b.member.Name) })
	v := &View{Known: len(t.nodes) + 1, metAt: metAt, loads: map[uint32]int{}, reading: map[uint32]int{}, failures: map[uint32]int{}}
	if sums != nil {
		v.loads, v.reading, v.failures, v.Relayed = sums.Loads, sums.PendingPrefill, sums.Failures, true
	}
	var ages time.Duration
	for _, n := range living {
		v.Alive = append(v.Alive, n.member)
		v.positions = append(v.positions, n.position)
		if sums.Covers(shortID(n.member.Incarnation)) {
			ages += sums.Age
			continue
		}
		ages += now.Sub(n.lastSeen)
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
		v.loadsAt = now.Add(-ages / time.Duration(len(living)))
	}
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
