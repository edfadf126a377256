package relay

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Least is the number of nodes from which they need relays. Below it each
	// tells all others several times a second.
	Least = 100

	// stepBase is the time between two reports, and two summaries, in a fleet of
	// up to stepNodes; each further node adds stepMore, so that with the loads
	// of more endpoints a summary may be larger. News takes three steps at most:
	// to the relay, to the other relays, to their followers.
	stepBase  = 130 * time.Millisecond
	stepNodes = 200
	stepMore  = 800 * time.Microsecond

	// lostAfter is how long a node that reported is silent until it is lost:
	// five reports at 195 nodes. One in forty gets lost, so that five in a row to
	// each of two relays are.
	lostAfter = 650 * time.Millisecond
	// settle is how long a relay waits for the nodes of its zone to find it
	// until it says of those that never did that they are lost: they all look
	// for another relay within answerIn of the same death.
	settle = 900 * time.Millisecond
	// zoneAfter is how long nothing is heard of any relay of a zone until its
	// nodes are lost: others have taken over by then, if any node lives.
	zoneAfter = 1500 * time.Millisecond
	// lostFor is how long a loss is told again.
	lostFor = 3 * time.Second
	// partFor is how long the summary of a relay counts after it came.
	partFor = time.Second
	// informedTold is how many of the nodes that know the newest revision are
	// named, so that not all ask one.
	informedTold = 8
	// reportsKept is how many of its own reports a node remembers, to know what
	// of the sums is its own: 2.4 s.
	reportsKept = 16
)

type (
	// Config is the settings of a Node.
	Config struct {
		ID   ID
		Zone string
		// Power is the node's own processor time, as in Peer.
		Power int
	}

	// Node is one node's part in reporting, relaying and following. It is not
	// safe for concurrent use.
	Node struct {
		config    Config
		sequence  uint64
		followers map[ID]*follower
		// since is when this node got its first follower, zero if it has none.
		since time.Time
		parts map[ID]*part
		// lost is when nodes of this zone were found silent, and unheard the same
		// of zones of which no relay is heard.
		lost    map[ID]time.Time
		unheard map[ID]time.Time
		// whole is the newest summary of the fleet, and told the number of the
		// own report that is in it.
		whole   *Summary
		wholeAt time.Time
		told    uint64
		// serving is the relay that this node follows, 0 if it follows all that it
		// reports to until one answers.
		serving ID
		// zones are the relays of each zone that the node talks to.
		zones   map[string]*contacts
		reports []Report
		seen    *seen
		// toRelays is news of this zone for the other relays, toFollowers that of
		// all zones.
		toRelays    outbox
		toFollowers outbox
	}

	// follower is a node that reports to this one.
	follower struct {
		report Report
		heard  time.Time
	}

	// part is a zone's summary, from one of its relays.
	part struct {
		summary *Summary
		at      time.Time
		peer    Peer
	}
)

// Step returns the time between two calls of Step in a fleet of some size.
func Step(nodes int) time.Duration {
	return stepBase + time.Duration(max(nodes-stepNodes, 0))*stepMore
}

// New returns a Node that knows nobody.
func New(c Config) *Node {
	return &Node{
		config: c, followers: map[ID]*follower{}, parts: map[ID]*part{}, lost: map[ID]time.Time{}, unheard: map[ID]time.Time{},
		zones: map[string]*contacts{c.Zone: newContacts()}, seen: newSeen(),
	}
}

// Step makes what is due: the node's own report and, where it is a relay, the
// summaries for others. It returns what to send.
func (n *Node) Step(now time.Time, peers []Peer, own Report) []Message {
	n.keep(own)
	zones := order(Peer{ID: n.config.ID, Zone: n.config.Zone, Power: n.config.Power}, peers)
	relays, first := n.choose(now, zones[n.config.Zone])
	var messages []Message
	for _, r := range relays {
		report := own
		report.Follows = !first && (n.serving == 0 || r.ID == n.serving)
		messages = append(messages, Message{To: r.Addr, Report: &report})
	}
	n.drop(now)
	if !first && len(n.followers) == 0 {
		return messages
	}
	n.learn(now, own.News)
	return append(messages, n.relay(now, peers, n.others(now, zones, relays), own, first)...)
}

// relay returns the summaries for others. One of the first relays of its zone
// follows no other, and takes its own summary of the fleet.
func (n *Node) relay(now time.Time, peers, others []Peer, own Report, first bool) []Message {
	n.sequence++
	zone := n.sum(now, peers, own, first)
	whole := n.compose(now, peers, zone)
	var messages []Message
	for _, p := range others {
		messages = append(messages, Message{To: p.Addr, Summary: zone})
	}
	here := &Summary{ID: n.config.ID, Sequence: n.sequence}
	for _, f := range sorted(n.followers) {
		m := Message{To: f.report.Addr, Summary: here}
		if f.report.Follows {
			m.Summary, m.Told = whole, f.report.Sequence
		}
		messages = append(messages, m)
	}
	if first {
		n.take(now, whole, own.Sequence)
	}
	return messages
}

// Relay returns the relay from which the node knows what the others do, itself if
// it is one, and how many nodes report to it; 0 if none tells it.
func (n *Node) Relay(now time.Time) (ID, int) {
	if w := n.Whole(now); w != nil {
		return w.ID, len(n.followers)
	}
	return 0, len(n.followers)
}

// Heard takes the report of a node that has chosen this one as its relay.
func (n *Node) Heard(now time.Time, r Report) {
	if f := n.followers[r.ID]; f != nil && f.report.Sequence >= r.Sequence {
		return
	}
	if len(n.followers) == 0 {
		n.since = now
	}
	n.followers[r.ID] = &follower{report: r, heard: now}
	delete(n.lost, r.ID)
	n.learn(now, r.News)
}

// Take takes a summary of another node, and reports whether it is one of the
// fleet that is newer than what the node knows.
func (n *Node) Take(now time.Time, from Peer, s *Summary, told uint64) bool {
	if !s.valid() || s.ID == n.config.ID {
		return false
	}
	n.contacts(from.Zone).heard(now, s.ID)
	switch {
	case s.Whole:
		return n.followed(now, s, told)
	case s.Zone == "":
		// An answer that only says that the relay is there.
		return false
	}
	if p := n.parts[s.ID]; p != nil && p.summary.Sequence >= s.Sequence {
		return false
	}
	n.parts[s.ID] = &part{summary: s, at: now, peer: from}
	n.toFollowers.add(n.seen.fresh(now, s.News))
	return false
}

// followed takes a summary of the fleet from the relay that this node follows, or
// the first one that answers.
func (n *Node) followed(now time.Time, s *Summary, told uint64) bool {
	if !n.contacts(n.config.Zone).talks(s.ID) || (n.serving != 0 && s.ID != n.serving) ||
		(n.whole != nil && n.whole.ID == s.ID && n.whole.Sequence >= s.Sequence) {
		return false
	}
	n.serving = s.ID
	n.take(now, s, told)
	return true
}

func (n *Node) take(now time.Time, s *Summary, told uint64) {
	n.whole, n.wholeAt, n.told = s, now, told
}

// learn takes news of the node's own zone.
func (n *Node) learn(now time.Time, news News) {
	fresh := n.seen.fresh(now, news)
	n.toRelays.add(fresh)
	n.toFollowers.add(fresh)
}

// keep remembers the node's own report.
func (n *Node) keep(own Report) {
	n.reports = append(n.reports, own)
	n.reports = n.reports[max(len(n.reports)-reportsKept, 0):]
}

func rank(id ID) uint64 { return xxhash.Sum64(IDs(nil).Add(id)) }

func (n *Node) contacts(zone string) *contacts {
	c := n.zones[zone]
	if c == nil {
		c = newContacts()
		n.zones[zone] = c
	}
	return c
}

// choose returns the relays to report to, and whether this node is itself one of
// the first of its zone; it then follows none. Of two that answer half of the
// nodes follow each.
func (n *Node) choose(now time.Time, zone []Peer) ([]Peer, bool) {
	c := n.contacts(n.config.Zone)
	c.sound(now, n.config.ID)
	relays := c.choose(now, zone, n.config.ID)
	own := slices.IndexFunc(relays, func(p Peer) bool { return p.ID == n.config.ID })
	if own >= 0 {
		relays = slices.Delete(relays, own, own+1)
	}
	if own >= 0 && own < relaysPerZone {
		n.serving = 0
		return relays, true
	}
	if !c.talks(n.serving) {
		n.serving = n.follow(now, c, relays)
	}
	return relays, false
}

// follow returns the relay to follow of those that the node reports to: one of
// the first two, if they answer or nothing speaks against them yet; 0 for all.
func (n *Node) follow(now time.Time, c *contacts, relays []Peer) ID {
	first := relays[:min(len(relays), relaysPerZone)]
	if len(c.skipped) > 0 {
		first = slices.DeleteFunc(slices.Clone(first), func(p Peer) bool { return !c.answers(now, p.ID) })
	}
	if len(first) == 0 {
		return 0
	}
	return first[int(n.config.ID)%len(first)].ID
}

// others returns the relays that are told what this one knows of its zone: those
// that tell it the same, the others of its zone, and the first of each zone.
func (n *Node) others(now time.Time, zones map[string][]Peer, own []Peer) []Peer {
	to := map[ID]Peer{}
	for _, p := range own {
		to[p.ID] = p
	}
	for id, p := range n.parts {
		if now.Sub(p.at) < partFor {
			to[id] = p.peer
		}
	}
	for zone, list := range zones {
		if zone == n.config.Zone {
			continue
		}
		for _, p := range n.contacts(zone).choose(now, list, n.config.ID) {
			to[p.ID] = p
		}
	}
	return sorted(to)
}

// sorted returns the values by their nodes, so that the same is done each time in
// the same order: a fault that was seen once can be played again.
func sorted[T any](of map[ID]T) []T {
	list := make([]T, 0, len(of))
	for _, id := range slices.Sorted(maps.Keys(of)) {
		list = append(list, of[id])
	}
	return list
}

// drop forgets followers, parts, losses and news that are long past.
func (n *Node) drop(now time.Time) {
	n.seen.forget(now)
	for id, f := range n.followers {
		if now.Sub(f.heard) > lostAfter {
			n.lost[id] = now
			delete(n.followers, id)
		}
	}
	if len(n.followers) == 0 {
		n.since = time.Time{}
	}
	for id, p := range n.parts {
		if now.Sub(p.at) > partFor {
			delete(n.parts, id)
		}
	}
	for _, lost := range []map[ID]time.Time{n.lost, n.unheard} {
		maps.DeleteFunc(lost, func(_ ID, at time.Time) bool { return now.Sub(at) > lostFor })
	}
}
