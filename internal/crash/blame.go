package crash

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a feature with maxCrashes ends or more.
type suspect struct {
	id  uint64
	rec *record
	// established says that a request with it was answered not long before.
	established bool
}

// judge decides which features with maxCrashes or more are to blame.
//
// A run at an endpoint that ends has several features, and other runs share the
// endpoint, so that one cause gives many features the same crashes. The features are
// looked at in the order of their crashes, and with equal numbers the one that fewer
// requests have first. Those are to blame that have a crash which no earlier one has.
// So a part of prompts is isolated rather than the part above it, or the requests that
// shared its endpoints; if it was not the cause, the next crash shows it.
//
// Established features come last, and are blamed only settleTime after the first of
// their crashes; what is held for ends that are not proven waits for holdDelay. In the end those are released whose crashes the others explain: what
// several causes have in common has the most crashes at first.
func (r *Records) judge(now time.Time) {
	r.judgeAt = time.Time{}
	var blamed []suspect
	for _, s := range r.ranking(now) {
		s.rec.blamed = false
		if r.settles(now, s) || explained(s, blamed) {
			continue
		}
		blamed = append(blamed, s)
	}
	slices.SortStableFunc(blamed, func(a, b suspect) int { return cmp.Compare(b.rec.scope, a.rec.scope) })
	for i := 0; i < len(blamed); {
		if others := slices.Delete(slices.Clone(blamed), i, i+1); explained(blamed[i], others) {
			blamed = others
			continue
		}
		blamed[i].rec.blamed = true
		i++
	}
}

// ranking returns the features with maxCrashes or more, in the order in which they are
// blamed.
func (r *Records) ranking(now time.Time) []suspect {
	list := make([]suspect, 0, len(r.suspects))
	for id := range r.suspects {
		list = append(list, suspect{id: id, rec: r.by[id], established: !r.answered.latest(now, id).IsZero()})
	}
	slices.SortFunc(list, func(a, b suspect) int {
		if a.established != b.established {
			if b.established {
				return -1
			}
			return 1
		}
		return cmp.Or(b.rec.ends()-a.rec.ends(), cmp.Compare(a.rec.scope, b.rec.scope), cmp.Compare(a.id, b.id))
	})
	return list
}

// explained reports whether each crash of a feature is also one of some others. Whole
// requests do not explain each other: several that end endpoints may come at the same
// time, and share all ends of a small service.
func explained(s suspect, others []suspect) bool {
	for endpoint, e := range s.rec.endpoints {
		if e.counts() && !slices.ContainsFunc(others, func(o suspect) bool {
			return o.rec.has(endpoint) && (s.rec.scope != WholeRequest || o.rec.scope != WholeRequest)
		}) {
			return false
		}
	}
	return true
}

// has reports whether the feature has a crash at an endpoint that was not cleared.
func (r *record) has(endpoint uint32) bool {
	e := r.endpoints[endpoint]
	return e != nil && e.counts()
}

// settles reports whether it is too early to blame a feature, and makes sure that it is
// judged again in time. The crashes of an established feature have to be known for
// settleTime, so that answers elsewhere can clear them. Ends that are not proven have to be known for holdDelay: a node that is
// connected to the endpoint has as much time to report that.
func (r *Records) settles(now time.Time, s suspect) bool {
	var delay time.Duration
	switch {
	case s.established:
		delay = settleTime
	case s.rec.crashes() < maxCrashes:
		delay = holdDelay
	}
	due := s.rec.since().Add(delay)
	if !now.Before(due) {
		return false
	}
	if r.judgeAt.IsZero() || due.Before(r.judgeAt) {
		r.judgeAt = due
	}
	return true
}

// since returns when this node learned of the first of the feature's crashes.
func (r *record) since() time.Time {
	var first time.Time
	for _, e := range r.endpoints {
		if e.counts() && (first.IsZero() || e.learned.Before(first)) {
			first = e.learned
		}
	}
	return first
}
