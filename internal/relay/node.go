package relay

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxDirect is the default size of the largest fleet without relays. In it
	// each node sends to all others several times a second.
	MaxDirect = 100

	// repeatLossFor is how long the loss of a node is repeated.
	repeatLossFor = 3 * time.Second
	// maxUpToDate bounds the nodes at the newest position that a summary names.
	maxUpToDate = 8
	// reportsKept is how many of its own reports a node keeps, to subtract its
	// share from the sums: more than are sent while a summary is valid.
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
		timing    Timing
		sequence  uint64
		followers map[ID]*follower
		// relaySince is when this node got its first follower, zero if it has none.
		relaySince time.Time
		parts      map[ID]*part
		// lost is when nodes of this zone became unreachable, zoneLost the same for
		// zones of which no relay is heard from.
		lost     map[ID]time.Time
		zoneLost map[ID]time.Time
		// fleet is the newest summary of the fleet or the newest shard of one, whose
		// shards are in fleetShards, and ownSequence that of the own report included
		// in it.
		fleet       *Summary
		fleetShards assembly
		fleetAt     time.Time
		ownSequence uint64
		// following is the relay that this node follows; 0 if it follows all that
		// it reports to until one responds.
		following ID
		// zoneContacts are the contacted relays by zone.
		zoneContacts map[string]*contacts
		ownReports   []Report
		seen         *seen
		// toRelays are updates of this zone for the other relays, toFollowers those
		// of all zones for the followers.
		toRelays    outbox
		toFollowers outbox
	}

	// follower is a node that reports to this one.
	follower struct {
		report   Report
		lastSeen time.Time
	}

	// part is a zone's summary from one of its relays.
	part struct {
		shards     assembly
		receivedAt time.Time
		// summary is that of the shards at the last step.
		summary *Summary
		peer    Peer
	}
)

// New returns a Node that knows no other nodes.
func New(c Config) *Node {
	return &Node{
		config: c, timing: NewTiming(0), followers: map[ID]*follower{}, parts: map[ID]*part{}, lost: map[ID]time.Time{}, zoneLost: map[ID]time.Time{},
		zoneContacts: map[string]*contacts{c.Zone: newContacts()}, seen: newSeen(),
	}
}

// Timing returns the node's period and timeouts.
func (n *Node) Timing() Timing { return n.timing }

// Step does the periodic work and returns the messages to send: the node's own
// report and, if it is a relay, summaries for other nodes. The timing is that of
// the fleet's present size.
func (n *Node) Step(now time.Time, timing Timing, peers []Peer, own Report) []Message {
	n.timing = timing
	n.rememberReport(own)
	zones := groupByZone(Peer{ID: n.config.ID, Zone: n.config.Zone, Power: n.config.Power}, peers)
	relays, first := n.chooseRelays(now, rankRelays(zones[n.config.Zone]))
	var messages []Message
	for _, r := range relays {
		report := own
		report.Follows = !first && (n.following == 0 || r.ID == n.following)
		messages = append(messages, Message{To: r.Addr, Report: &report})
	}
	n.expire(now)
	if !first && len(n.followers) == 0 {
		return messages
	}
	n.addUpdates(now, own.Updates)
	return append(messages, n.summaries(now, peers, n.summaryTargets(now, zones, relays), own, first)...)
}

// summaries returns the summaries to send. One of the first relays of its zone
// follows no other relay but uses its own summary of the fleet.
func (n *Node) summaries(now time.Time, peers, targets []Peer, own Report, first bool) []Message {
	n.sequence++
	zone := n.zoneSummary(now, peers, own, first)
	fleet := n.fleetSummary(now, peers, zone)
	var messages []Message
	zoneShards, fleetShards := zone.split(), fleet.split()
	for _, p := range targets {
		for _, s := range zoneShards {
			messages = append(messages, Message{To: p.Addr, Summary: s})
		}
	}
	presence := &Summary{ID: n.config.ID, Sequence: n.sequence}
	for _, f := range sorted(n.followers) {
		if !f.report.Follows {
			messages = append(messages, Message{To: f.report.Addr, Summary: presence})
			continue
		}
		for _, s := range fleetShards {
			messages = append(messages, Message{To: f.report.Addr, Summary: s, Sequence: f.report.Sequence})
		}
	}
	if first {
		n.setFleet(now, fleet, own.Sequence)
	}
	return messages
}

// Relay returns the relay whose summaries the node uses, itself if it is a first
// relay and 0 if there is none, and how many nodes report to this one.
func (n *Node) Relay(now time.Time) (ID, int) {
	if w := n.Fleet(now); w != nil {
		return w.ID, len(n.followers)
	}
	return 0, len(n.followers)
}

// First reports whether the node is one of the first relays of its zone.
func (n *Node) First(now time.Time) bool {
	id, _ := n.Relay(now)
	return id == n.config.ID
}

// ReceiveReport handles the report of a node that chose this one as its relay.
func (n *Node) ReceiveReport(now time.Time, r Report) {
	if f := n.followers[r.ID]; f != nil && f.report.Sequence >= r.Sequence {
		return
	}
	if len(n.followers) == 0 {
		n.relaySince = now
	}
	n.followers[r.ID] = &follower{report: r, lastSeen: now}
	delete(n.lost, r.ID)
	n.addUpdates(now, r.Updates)
}

// ReceiveSummary handles a summary from another node. It reports whether the node now
// has a newer summary of the fleet to use.
func (n *Node) ReceiveSummary(now time.Time, from Peer, s *Summary, sequence uint64) bool {
	if !s.valid() || s.ID == n.config.ID {
		return false
	}
	n.contacts(from.Zone).received(now, s.ID)
	switch {
	case s.Fleet:
		return n.receiveFleet(now, s, sequence)
	case s.Zone == "":
		// This response only shows that the relay is alive.
		return false
	}
	p := n.parts[s.ID]
	if p == nil {
		p = &part{}
	}
	if !p.shards.add(now, s) {
		return false
	}
	p.receivedAt, p.peer = now, from
	n.parts[s.ID] = p
	n.addForFollowers(now, n.seen.filter(now, s.Updates))
	return false
}

// receiveFleet handles a summary of the fleet, or a shard of one, from the relay that
// this node follows, or from the first one that responds.
func (n *Node) receiveFleet(now time.Time, s *Summary, sequence uint64) bool {
	if !n.contacts(n.config.Zone).has(s.ID) || (n.following != 0 && s.ID != n.following) {
		return false
	}
	if n.fleet == nil || n.fleet.ID != s.ID {
		n.fleetShards = assembly{}
	}
	if !n.fleetShards.add(now, s) {
		return false
	}
	n.following = s.ID
	n.setFleet(now, s, sequence)
	return n.fleetShards.ready()
}

func (n *Node) setFleet(now time.Time, s *Summary, sequence uint64) {
	n.fleet, n.fleetAt, n.ownSequence = s, now, sequence
}

// addUpdates queues new updates of the node's own zone.
func (n *Node) addUpdates(now time.Time, updates Updates) {
	fresh := n.seen.filter(now, updates)
	n.addForFollowers(now, fresh)
	fresh.Crashes = append(n.seen.crashes.suspects(fresh.Crashes), fresh.Crashes...)
	fresh.Unproven = append(n.seen.unproven.suspects(fresh.Unproven), fresh.Unproven...)
	n.toRelays.add(now, fresh, n.seen)
}

// addForFollowers queues new updates, but of crashes only those of suspected requests.
func (n *Node) addForFollowers(now time.Time, fresh Updates) {
	fresh.Crashes = n.seen.crashes.suspects(fresh.Crashes)
	fresh.Unproven = n.seen.unproven.suspects(fresh.Unproven)
	n.toFollowers.add(now, fresh, n.seen)
}

// rememberReport keeps the node's own report.
func (n *Node) rememberReport(own Report) {
	n.ownReports = append(n.ownReports, own)
	n.ownReports = n.ownReports[max(len(n.ownReports)-reportsKept, 0):]
}

func rank(id ID) uint64 {
	var b [idBytes]byte
	binary.BigEndian.PutUint32(b[:], uint32(id))
	return xxhash.Sum64(b[:])
}

func (n *Node) contacts(zone string) *contacts {
	c := n.zoneContacts[zone]
	if c == nil {
		c = newContacts()
		n.zoneContacts[zone] = c
	}
	return c
}

// chooseRelays returns the relays to report to, and whether this node is itself
// one of the first of its zone; it then follows none. If two respond, half of the
// nodes follow each.
func (n *Node) chooseRelays(now time.Time, zone []Peer) ([]Peer, bool) {
	c := n.contacts(n.config.Zone)
	c.markAlive(now, n.config.ID)
	relays := c.choose(now, n.timing.Response, zone, n.config.ID)
	own := slices.IndexFunc(relays, func(p Peer) bool { return p.ID == n.config.ID })
	if own >= 0 {
		relays = slices.Delete(relays, own, own+1)
	}
	if own >= 0 && own < relaysPerZone {
		n.following = 0
		return relays, true
	}
	if !c.has(n.following) {
		n.following = n.chooseFollowed(now, c, relays)
	}
	return relays, false
}

// chooseFollowed returns the relay to follow of those that the node reports to:
// one of the first two, if it responds or no relay has been skipped yet; 0 for
// all.
func (n *Node) chooseFollowed(now time.Time, c *contacts, relays []Peer) ID {
	first := relays[:min(len(relays), relaysPerZone)]
	if len(c.skipped) > 0 {
		first = slices.DeleteFunc(slices.Clone(first), func(p Peer) bool { return !c.responds(now, n.timing.Response, p.ID) })
	}
	if len(first) == 0 {
		return 0
	}
	return first[int(n.config.ID)%len(first)].ID
}

// summaryTargets returns the relays that get this one's summary of its zone:
// those that send it theirs, the others of its zone, and the first of each zone.
func (n *Node) summaryTargets(now time.Time, zones map[string][]Peer, own []Peer) []Peer {
	to := map[ID]Peer{}
	for _, p := range own {
		to[p.ID] = p
	}
	for id, p := range n.parts {
		if now.Sub(p.receivedAt) < n.timing.Valid {
			to[id] = p.peer
		}
	}
	for zone, list := range zones {
		if zone == n.config.Zone {
			continue
		}
		for _, p := range n.contacts(zone).choose(now, n.timing.Response, rankRelays(list), n.config.ID) {
			to[p.ID] = p
		}
	}
	return sorted(to)
}

// sorted returns the values in order of their nodes, so that each run does the
// same in the same order: a failure found once can be reproduced.
func sorted[T any](of map[ID]T) []T {
	list := make([]T, 0, len(of))
	for _, id := range slices.Sorted(maps.Keys(of)) {
		list = append(list, of[id])
	}
	return list
}

// expire drops outdated followers, parts, losses and seen updates.
func (n *Node) expire(now time.Time) {
	n.seen.expire(now)
	for id, f := range n.followers {
		if now.Sub(f.lastSeen) > n.timing.Lost {
			n.lost[id] = now
			delete(n.followers, id)
		}
	}
	if len(n.followers) == 0 {
		n.relaySince = time.Time{}
	}
	for id, p := range n.parts {
		if now.Sub(p.receivedAt) > n.timing.Valid {
			delete(n.parts, id)
		}
	}
	for _, lost := range []map[ID]time.Time{n.lost, n.zoneLost} {
		maps.DeleteFunc(lost, func(_ ID, at time.Time) bool { return now.Sub(at) > repeatLossFor })
	}
}
