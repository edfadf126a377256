package relay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relaysPerZone is how many relays of a zone are talked to: one may die.
	relaysPerZone = 2
	// answerIn is how long a relay may be silent that is talked to: three answers
	// at 195 nodes. skipFor is how long it is then passed over.
	answerIn = 450 * time.Millisecond
	skipFor  = 3 * time.Second
	// relaysTried bounds the relays that are talked to while others are passed
	// over: after many deaths some of the next ones are dead too, and one after
	// the other would take seconds to find.
	relaysTried = 16
)

type (
	// contacts are the relays of one zone that a node talks to, and whether they
	// answer.
	contacts struct {
		asked map[ID]contact
		// skipped is until when relays are passed over that did not answer.
		skipped map[ID]time.Time
		// spoke is when any of the zone was last heard, zero if none ever was.
		spoke time.Time
	}

	// contact is one relay that is talked to: since when, and when it was last
	// heard.
	contact struct{ since, heard time.Time }
)

func newContacts() *contacts {
	return &contacts{asked: map[ID]contact{}, skipped: map[ID]time.Time{}}
}

// heard notes a word of a relay.
func (c *contacts) heard(now time.Time, id ID) {
	c.spoke = now
	c.sound(now, id)
}

// sound notes that a relay is there, if it is talked to.
func (c *contacts) sound(now time.Time, id ID) {
	if k, ok := c.asked[id]; ok {
		c.asked[id] = contact{since: k.since, heard: now}
	}
	delete(c.skipped, id)
}

// talks reports whether a relay is talked to.
func (c *contacts) talks(id ID) bool {
	_, ok := c.asked[id]
	return ok
}

// answers reports whether a relay that is talked to answers.
func (c *contacts) answers(now time.Time, id ID) bool { return now.Sub(c.asked[id].heard) <= answerIn }

// any reports whether a relay other than the node itself answers.
func (c *contacts) any(now time.Time, self ID) bool {
	for id := range c.asked {
		if id != self && c.answers(now, id) {
			return true
		}
	}
	return false
}

// choose returns the relays to talk to from now on: the first two of a list that
// are not passed over. Until they answer, others that do are kept, and while
// none does, more are tried, each until it answers or is passed over: were those
// dropped that have not answered yet, they would be tried again two by two.
func (c *contacts) choose(now time.Time, list []Peer, self ID) []Peer {
	c.skip(now)
	wide := len(c.skipped) > 0 && !c.any(now, self)
	var chosen []Peer
	first, sure := 0, 0
	for _, p := range list {
		if _, skip := c.skipped[p.ID]; skip {
			continue
		}
		answers := c.answers(now, p.ID)
		switch {
		case first < relaysPerZone:
			first++
		case answers && sure >= relaysPerZone:
			continue
		case !answers && !c.talks(p.ID) && (!wide || len(chosen) >= relaysTried):
			continue
		}
		if answers {
			sure++
		}
		chosen = append(chosen, p)
	}
	asked := make(map[ID]contact, len(chosen))
	for _, p := range chosen {
		k, ok := c.asked[p.ID]
		if !ok {
			k.since = now
		}
		asked[p.ID] = k
	}
	c.asked = asked
	return chosen
}

// skip passes over relays that do not answer, for a while.
func (c *contacts) skip(now time.Time) {
	for id, until := range c.skipped {
		if now.After(until) {
			delete(c.skipped, id)
		}
	}
	for id, k := range c.asked {
		if now.Sub(k.since) > answerIn && now.Sub(k.heard) > answerIn {
			c.skipped[id] = now.Add(skipFor)
		}
	}
}

// order returns the peers of each zone that can be relays, first those with the
// most processor time, and of these in an order that all nodes know.
func order(self Peer, peers []Peer) map[string][]Peer {
	zones := map[string][]Peer{self.Zone: {self}}
	for _, p := range peers {
		if p.Power > 0 {
			zones[p.Zone] = append(zones[p.Zone], p)
		}
	}
	for _, list := range zones {
		slices.SortFunc(list, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
		})
	}
	return zones
}
