package kernel

import (
	"slices"
	"time"
)

// IsolateAfter is how many endpoints must have died running a request before
// the request is isolated. One death says nothing of the many requests that ran
// there, a second may be chance; a request that was on three endpoints when
// they died, the last time alone among the suspected, is taken for the cause.
const IsolateAfter = 3

// Suspicion is a request that ran on endpoints when they died.
type Suspicion struct {
	// Print identifies the request over the whole fleet.
	Print uint64
	// Endpoints is the endpoints that died, sorted, at most IsolateAfter.
	Endpoints []string
	// Age is the time since the last of them died.
	Age time.Duration
}

// Isolated reports whether the request must not be run any more.
func (s Suspicion) Isolated() bool { return len(s.Endpoints) >= IsolateAfter }

// Merge returns the suspect with the endpoints of both, and whether that is
// more than it had. Merging is commutative and idempotent, so that the order
// and number of messages between nodes do not matter.
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
