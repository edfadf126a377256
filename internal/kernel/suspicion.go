package kernel

import (
	"slices"
	"time"
)

// IsolateAfter is the number of endpoints that must have died while running a
// request before the request is isolated. One death does not tell which of the
// endpoint's many requests caused it, and a second may be chance. A request that
// three endpoints were running when they died, the last of them without any other
// suspected request, is considered the cause.
const IsolateAfter = 3

// Suspicion is a request that ran on endpoints when they died.
type Suspicion struct {
	// Fingerprint is the fingerprint of the request, the same on all nodes.
	Fingerprint uint64 `json:"Print"`
	// Endpoints is the endpoints that died, sorted, at most IsolateAfter.
	Endpoints []string
	// Age is the time since the last of them died.
	Age time.Duration
}

// Isolated reports whether the request must not be run again.
func (s Suspicion) Isolated() bool { return len(s.Endpoints) >= IsolateAfter }

// Merge returns the suspicion with the given endpoints added, at most
// IsolateAfter in all, and whether any was new. Merging is idempotent, and
// commutative below that limit, so that the order and number of messages between
// nodes do not matter.
func (s Suspicion) Merge(endpoints []string) (Suspicion, bool) {
	merged := slices.Clone(s.Endpoints)
	for _, e := range endpoints {
		if !slices.Contains(merged, e) && len(merged) < IsolateAfter {
			merged = append(merged, e)
		}
	}
	slices.Sort(merged)
	more := len(merged) > len(s.Endpoints)
	s.Endpoints = merged
	return s, more
}
