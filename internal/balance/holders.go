package balance

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// holdersKept is how many endpoints are remembered for one part of a prompt.
	holdersKept = 3
	// maxKeys bounds the parts remembered, in two generations.
	maxKeys = 8192
	// heldFor is how long after its last use a part counts as kept in an
	// endpoint's memory.
	heldFor = 30 * time.Second
)

type (
	// holders remembers where this node has sent the parts of prompts, newest
	// first.
	holders struct {
		now, old map[string][]holder
	}

	holder struct {
		id string
		at time.Time
	}
)

func newHolders() *holders { return &holders{now: map[string][]holder{}, old: map[string][]holder{}} }

func (h *holders) get(key string) []holder {
	if list, ok := h.now[key]; ok {
		return list
	}
	return h.old[key]
}

func (h *holders) note(key, id string, now time.Time) {
	list := []holder{{id: id, at: now}}
	for _, o := range h.get(key) {
		if o.id != id && len(list) < holdersKept {
			list = append(list, o)
		}
	}
	if len(h.now) >= maxKeys {
		h.old, h.now = h.now, map[string][]holder{}
	}
	h.now[key] = list
}

// source returns the endpoint from which the chosen one should fetch a part, or
// nil if it is believed to keep the part itself: the one that got the part
// last, or else the one to which other nodes send it.
func (h *holders) source(key string, chosen *deployment.Endpoint, order []*deployment.Endpoint, list []*deployment.Endpoint, now time.Time) *deployment.Endpoint {
	known := h.get(key)
	for _, o := range known {
		if o.id == chosen.ID && now.Sub(o.at) < heldFor {
			return nil
		}
	}
	for _, o := range known {
		i := slices.IndexFunc(list, func(e *deployment.Endpoint) bool { return e.ID == o.id })
		if i >= 0 && o.id != chosen.ID && now.Sub(o.at) < heldFor {
			return list[i]
		}
	}
	for _, e := range order {
		if e != chosen {
			return e
		}
	}
	return nil
}
