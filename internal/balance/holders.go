package balance

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// holdersKept is how many endpoints are remembered for one part of a prompt.
	holdersKept = 3
	// maxKeys bounds the parts remembered, in each of two generations.
	maxKeys = 8192
	// heldFor is how long after its last use a part counts as kept in an
	// endpoint's memory.
	heldFor = 30 * time.Second
	// tellFor is how long a placement stands in this node's heartbeats at least:
	// three of them in a small fleet, as datagrams get lost.
	tellFor = 300 * time.Millisecond
	// tellAgain is how often a placement is told that goes on.
	tellAgain = 10 * time.Second
	// maxTold bounds the placements in one heartbeat.
	maxTold = 40
)

type (
	// Placement says that an endpoint has got a part of a prompt, both by their
	// short names.
	Placement struct {
		Part     uint64 `cbor:"1,keyasint"`
		Endpoint uint32 `cbor:"2,keyasint"`
	}

	// holders remembers which endpoints have got the parts of prompts, newest
	// first.
	holders struct {
		now, old map[uint64][]holder
		news     []placed
	}

	holder struct {
		endpoint uint32
		at       time.Time
		told     time.Time
	}

	placed struct {
		placement Placement
		at        time.Time
	}
)

func newHolders() *holders {
	return &holders{now: map[uint64][]holder{}, old: map[uint64][]holder{}}
}

func (h *holders) get(part uint64) []holder {
	if list, ok := h.now[part]; ok {
		return list
	}
	return h.old[part]
}

// has reports whether an endpoint, by its Key, is believed to keep a part.
func (h *holders) has(part uint64, key uint32, now time.Time) bool {
	for _, o := range h.get(part) {
		if o.endpoint == key && now.Sub(o.at) < heldFor {
			return true
		}
	}
	return false
}

// note remembers a placement of this node, and tells the others if they may not
// know of it.
func (h *holders) note(p Placement, now time.Time) {
	told := time.Time{}
	for _, o := range h.get(p.Part) {
		if o.endpoint == p.Endpoint {
			told = o.told
		}
	}
	if now.Sub(told) > tellAgain {
		told = now
		h.news = append(h.news, placed{placement: p, at: now})
	}
	h.put(p, holder{endpoint: p.Endpoint, at: now, told: told})
}

func (h *holders) put(p Placement, newest holder) {
	list := []holder{newest}
	for _, o := range h.get(p.Part) {
		if o.endpoint != p.Endpoint && len(list) < holdersKept {
			list = append(list, o)
		}
	}
	if len(h.now) >= maxKeys {
		h.old, h.now = h.now, map[uint64][]holder{}
	}
	h.now[p.Part] = list
}

// recent returns the placements that the other nodes are to be told of, the
// newest last: those since a time, and of the last moments anyhow.
func (h *holders) recent(now, since time.Time) []Placement {
	h.news = slices.DeleteFunc(h.news, func(p placed) bool { return now.Sub(p.at) > tellFor && p.at.Before(since) })
	var list []Placement
	for _, n := range h.news[max(len(h.news)-maxTold, 0):] {
		list = append(list, n.placement)
	}
	return list
}

// source returns the endpoint from which the chosen one should fetch a part, or
// nil if it is believed to keep the part itself: the one that got the part
// last, or else the first in the part's rendezvous order.
func (h *holders) source(part uint64, chosen *candidate, list []*deployment.Endpoint, now time.Time) *deployment.Endpoint {
	if h.has(part, chosen.key, now) {
		return nil
	}
	for _, o := range h.get(part) {
		if o.endpoint == chosen.key || now.Sub(o.at) >= heldFor {
			continue
		}
		i := slices.IndexFunc(list, func(e *deployment.Endpoint) bool { return e.Start().Key() == o.endpoint })
		if i >= 0 {
			return list[i]
		}
	}
	return first(part, list, chosen.endpoint)
}
