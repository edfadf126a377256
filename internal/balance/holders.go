package balance

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// maxHolders is how many endpoints are remembered for one prompt part.
	maxHolders = 3
	// maxParts bounds the parts remembered, in each of two generations.
	maxParts = 8192
	// holdTTL is how long after its last use a part counts as held in an endpoint's
	// memory.
	holdTTL = 30 * time.Second
	// announceFor is how long a placement stays in this node's heartbeats, at least:
	// three of them in a small fleet, as datagrams get lost.
	announceFor = 300 * time.Millisecond
	// announceInterval is how often a placement that remains in use is sent again.
	announceInterval = 10 * time.Second
	// maxAnnounced bounds the placements in one heartbeat.
	maxAnnounced = 40
)

type (
	// Placement records that an endpoint was sent a part of a prompt: the part by its
	// hash, the endpoint by the Key of its Start.
	Placement struct {
		Part     uint64 `cbor:"1,keyasint"`
		Endpoint uint32 `cbor:"2,keyasint"`
	}

	// holders remembers which endpoints were sent which prompt parts, newest first.
	holders struct {
		current, previous map[uint64][]holder
		unsent            []announcement
	}

	holder struct {
		endpoint  uint32
		at        time.Time
		announced time.Time
	}

	announcement struct {
		placement Placement
		at        time.Time
	}
)

func newHolders() *holders {
	return &holders{current: map[uint64][]holder{}, previous: map[uint64][]holder{}}
}

func (h *holders) get(part uint64) []holder {
	if list, ok := h.current[part]; ok {
		return list
	}
	return h.previous[part]
}

// has reports whether an endpoint, given by its Key, probably holds a part.
func (h *holders) has(part uint64, key uint32, now time.Time) bool {
	return holds(h.get(part), key, now)
}

// holds reports whether an endpoint, given by its Key, is in the list of a part.
func holds(list []holder, key uint32, now time.Time) bool {
	for _, o := range list {
		if o.endpoint == key && now.Sub(o.at) < holdTTL {
			return true
		}
	}
	return false
}

// record stores a placement of this node, and queues it for the other nodes if they
// may not know it.
func (h *holders) record(p Placement, now time.Time) {
	announced := time.Time{}
	for _, o := range h.get(p.Part) {
		if o.endpoint == p.Endpoint {
			announced = o.announced
		}
	}
	if now.Sub(announced) > announceInterval {
		announced = now
		h.unsent = append(h.unsent, announcement{placement: p, at: now})
	}
	h.put(p, holder{endpoint: p.Endpoint, at: now, announced: announced})
}

func (h *holders) put(p Placement, newest holder) {
	list := []holder{newest}
	for _, o := range h.get(p.Part) {
		if o.endpoint != p.Endpoint && len(list) < maxHolders {
			list = append(list, o)
		}
	}
	if len(h.current) >= maxParts {
		h.previous, h.current = h.current, map[uint64][]holder{}
	}
	h.current[p.Part] = list
}

// announcements returns the placements to send to the other nodes, the newest last:
// those since a time, and those of the last announceFor in any case.
func (h *holders) announcements(now, since time.Time) []Placement {
	h.unsent = slices.DeleteFunc(h.unsent, func(p announcement) bool { return now.Sub(p.at) > announceFor && p.at.Before(since) })
	var list []Placement
	for _, n := range h.unsent[max(len(h.unsent)-maxAnnounced, 0):] {
		list = append(list, n.placement)
	}
	return list
}

// source returns the endpoint from which the chosen one should fetch a part: the one
// that was sent the part last, or else the first in the part's rendezvous order. It
// returns nil if the chosen one probably holds the part itself.
func (h *holders) source(part uint64, chosen *candidate, list []*deployment.Endpoint, now time.Time) *deployment.Endpoint {
	if h.has(part, chosen.key, now) {
		return nil
	}
	for _, o := range h.get(part) {
		if o.endpoint == chosen.key || now.Sub(o.at) >= holdTTL {
			continue
		}
		i := slices.IndexFunc(list, func(e *deployment.Endpoint) bool { return e.Start().Key() == o.endpoint })
		if i >= 0 {
			return list[i]
		}
	}
	return first(part, list, chosen.endpoint)
}
