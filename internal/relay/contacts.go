package relay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relaysPerZone is how many relays of a zone are contacted: one may die.
	relaysPerZone = 2
	// skipFor is how long a relay is skipped that has not responded in time.
	skipFor = 3 * time.Second
	// maxTried bounds the contacted relays while others are skipped: after many
	// deaths some of the next candidates are dead too, and trying one after the
	// other would take seconds.
	maxTried = 16
)

type (
	// contacts are the relays of one zone that a node contacts, and whether they
	// respond.
	contacts struct {
		active map[ID]contact
		// skipped is until when unresponsive relays are skipped.
		skipped map[ID]time.Time
		// lastSeen is when any relay of the zone was last heard from, zero if never.
		lastSeen time.Time
	}

	// contact is a contacted relay: since when, and when it was last heard from.
	contact struct{ since, lastSeen time.Time }
)

func newContacts() *contacts {
	return &contacts{active: map[ID]contact{}, skipped: map[ID]time.Time{}}
}

// received records a message from a relay.
func (c *contacts) received(now time.Time, id ID) {
	c.lastSeen = now
	c.markAlive(now, id)
}

// markAlive records that a relay is alive, if it is contacted.
func (c *contacts) markAlive(now time.Time, id ID) {
	if k, ok := c.active[id]; ok {
		c.active[id] = contact{since: k.since, lastSeen: now}
	}
	delete(c.skipped, id)
}

// has reports whether a relay is contacted.
func (c *contacts) has(id ID) bool {
	_, ok := c.active[id]
	return ok
}

// responds reports whether a contacted relay has responded within the timeout.
func (c *contacts) responds(now time.Time, timeout time.Duration, id ID) bool {
	return now.Sub(c.active[id].lastSeen) <= timeout
}

// any reports whether a relay other than the node itself responds.
func (c *contacts) any(now time.Time, timeout time.Duration, self ID) bool {
	for id := range c.active {
		if id != self && c.responds(now, timeout, id) {
			return true
		}
	}
	return false
}

// choose returns the relays to contact from now on: the first two of a list that
// are not skipped. Until they respond, others that do are kept. While none does,
// more are tried, each until it responds or is skipped: if those that have yet to
// respond were dropped, they would be tried again two at a time.
func (c *contacts) choose(now time.Time, timeout time.Duration, list []Peer, self ID) []Peer {
	c.skipSilent(now, timeout)
	widen := len(c.skipped) > 0 && !c.any(now, timeout, self)
	var chosen []Peer
	first, responding := 0, 0
	for _, p := range list {
		if _, skip := c.skipped[p.ID]; skip {
			continue
		}
		responds := c.responds(now, timeout, p.ID)
		switch {
		case first < relaysPerZone:
			first++
		case responds && responding >= relaysPerZone:
			continue
		case !responds && !c.has(p.ID) && (!widen || len(chosen) >= maxTried):
			continue
		}
		if responds {
			responding++
		}
		chosen = append(chosen, p)
	}
	active := make(map[ID]contact, len(chosen))
	for _, p := range chosen {
		k, ok := c.active[p.ID]
		if !ok {
			k.since = now
		}
		active[p.ID] = k
	}
	c.active = active
	return chosen
}

// skipSilent skips unresponsive relays for skipFor.
func (c *contacts) skipSilent(now time.Time, timeout time.Duration) {
	for id, until := range c.skipped {
		if now.After(until) {
			delete(c.skipped, id)
		}
	}
	for id, k := range c.active {
		if now.Sub(k.since) > timeout && now.Sub(k.lastSeen) > timeout {
			c.skipped[id] = now.Add(skipFor)
		}
	}
}

// groupByZone returns the candidate relays of each zone, unranked.
func groupByZone(self Peer, peers []Peer) map[string][]Peer {
	zones := map[string][]Peer{self.Zone: {self}}
	for _, p := range peers {
		if p.Power > 0 {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	return zones
}

// rankRelays sorts the candidate relays of a zone: those with the most processor
// time first, and among equals in an order that all nodes share.
func rankRelays(list []Peer) []Peer {
	slices.SortFunc(list, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return list
}
