package crash

import (
	"maps"
	"time"
)

type (
	record struct {
		scope     Scope
		endpoints map[uint32]*entry
		// last is when the latest endpoint ended, and until when the isolation ends.
		last  time.Time
		until time.Time
		// blamed says that no other feature explains its crashes.
		blamed bool
	}

	entry struct {
		// at is when the endpoint ended, learned when this node learned it, and changed
		// when it learned what others should know as well.
		at      time.Time
		learned time.Time
		changed time.Time
		// unproven says that the end is not proven, and renewed when that was last
		// reported.
		unproven bool
		renewed  time.Time
		// confirmed says that two nodes are refused connections by the endpoint.
		confirmed bool
		// own says that this node saw it, and sent how often it has reported it.
		own  bool
		sent int
		// cleared is when it was cleared, zero if it was not.
		cleared time.Time
		// toldCleared says that this node cleared it, and so reports that.
		toldCleared bool
		// verified says that it was compared with the list of endpoints.
		verified bool
	}
)

// vouch clears a crash of a feature that was answered here just before. Others need to
// know once they suspect the feature.
func (r *record) vouch(now time.Time, e *entry) {
	e.cleared = now
	if len(r.endpoints) < suspected {
		return
	}
	for _, e := range r.endpoints {
		if !e.cleared.IsZero() {
			e.cleared, e.toldCleared = now, true
		}
	}
}

// crashes returns the number of proven crashes that were not cleared.
func (r *record) crashes() int {
	n := 0
	for _, e := range r.endpoints {
		if e.cleared.IsZero() && !e.unproven {
			n++
		}
	}
	return n
}

// ends returns the number of ends that were not cleared, proven or confirmed.
func (r *record) ends() int {
	n := 0
	for _, e := range r.endpoints {
		if e.counts() {
			n++
		}
	}
	return n
}

// renewed returns when an end that is not proven was last reported.
func (r *record) renewed() time.Time {
	var last time.Time
	for _, e := range r.endpoints {
		if e.unproven {
			last = later(last, e.renewed)
		}
	}
	return last
}

// expireUnproven forgets ends that were not proven in time, and reports whether there
// were any.
func (r *record) expireUnproven(now time.Time) bool {
	n := len(r.endpoints)
	maps.DeleteFunc(r.endpoints, func(_ uint32, e *entry) bool { return e.unproven && now.Sub(e.renewed) >= holdTime })
	return len(r.endpoints) < n
}

// age returns how long ago the endpoint ended, by a clock that may have been read
// before that.
func (e *entry) age(now time.Time) time.Duration { return max(now.Sub(e.at), 0) }

// counts reports whether the end was not cleared and is proven, or confirmed at least.
func (e *entry) counts() bool { return e.cleared.IsZero() && (!e.unproven || e.confirmed) }

func (e *entry) due(now time.Time) bool {
	return !e.verified && !e.unproven && e.cleared.IsZero() && now.Sub(e.learned) >= verifyAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
