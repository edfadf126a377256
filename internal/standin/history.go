package standin

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// maxVersions is how many versions of a value are kept.
const maxVersions = 16

type (
	// history holds the newest versions of one value, oldest first. It is not
	// safe for concurrent use.
	history struct {
		versions []published
		flipped  bool
	}

	published struct {
		platform.Value
		at time.Time
	}

	// epochValue is a value with the platform's epoch at the time of the read.
	epochValue struct {
		platform.Value
		epoch uint64
	}
)

func (h *history) add(now time.Time, data []byte) {
	var version uint64
	if last := len(h.versions) - 1; last >= 0 {
		version = h.versions[last].Version
	}
	h.versions = append(h.versions, published{Value: platform.Value{Version: version + 1, Data: data}, at: now})
	if len(h.versions) > maxVersions {
		h.versions = h.versions[1:]
	}
}

// restore deletes the versions that were published after to.
func (h *history) restore(to time.Time) {
	h.versions = slices.DeleteFunc(h.versions, func(v published) bool { return v.at.After(to) })
}

// read returns the newest version that was published by until. If flip is set,
// every second read returns the version before it.
func (h *history) read(until time.Time, flip bool) platform.Value {
	newest := -1
	for i, v := range h.versions {
		if !v.at.After(until) {
			newest = i
		}
	}
	if newest < 0 {
		return platform.Value{}
	}
	h.flipped = !h.flipped
	if flip && h.flipped && newest > 0 {
		newest--
	}
	return h.versions[newest].Value
}
