package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// judge decides which features with maxCrashes or more are to blame.
//
// A run at an endpoint that ends has several features, and other runs share the
// endpoint, so that one cause gives many features the same crashes. The features are
// looked at in the order of their crashes, and with equal numbers the one that fewer
// requests have first. Those are to blame that have a crash which no earlier one has.
// So a part of prompts is isolated rather than the part above it, or the requests that
// shared its endpoints; if it was not the cause, the next crash shows it.
//
// A feature that was answered not long before is blamed only once its crashes have gone
// on for settleTime.
func (r *Records) judge(now time.Time) {
	list := slices.Collect(maps.Keys(r.suspects))
	slices.SortFunc(list, func(a, b uint64) int {
		x, y := r.by[a], r.by[b]
		return cmp.Or(y.crashes()-x.crashes(), cmp.Compare(x.scope, y.scope), cmp.Compare(a, b))
	})
	explained := map[uint32]bool{}
	for _, id := range list {
		rec := r.by[id]
		rec.blamed = false
		if r.established.has(now, id) && rec.span() < settleTime {
			continue
		}
		for endpoint, e := range rec.endpoints {
			rec.blamed = rec.blamed || e.cleared.IsZero() && !explained[endpoint]
		}
		if !rec.blamed {
			continue
		}
		for endpoint, e := range rec.endpoints {
			if e.cleared.IsZero() {
				explained[endpoint] = true
			}
		}
	}
}

// span returns the time between the first and the last of the feature's crashes that
// this node has learned of.
func (r *record) span() time.Duration {
	var from, to time.Time
	for _, e := range r.endpoints {
		if !e.cleared.IsZero() {
			continue
		}
		if from.IsZero() || e.learned.Before(from) {
			from = e.learned
		}
		to = later(to, e.learned)
	}
	return to.Sub(from)
}
