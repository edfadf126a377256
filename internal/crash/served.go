package crash

import "time"

const (
	// servedTime is how long at least an answer shows that the features of its request
	// end nothing: a part that many requests have is at most endpoints that end, and
	// is answered elsewhere all the time.
	servedTime = time.Second
	// establishedTime is how long at least a feature counts as established after an
	// answer, and settleTime how long its crashes must go on without another answer
	// before it is blamed. If many endpoints end at once, what is popular has crashes
	// at all of them, before answers elsewhere clear it.
	establishedTime = 30 * time.Second
	settleTime      = 2 * time.Second
	// maxServed bounds the features remembered of one span.
	maxServed = 4096
)

// answered remembers the features of the requests that were answered within a span of
// time, and at most twice that.
type answered struct {
	span           time.Duration
	recent, before map[uint64]struct{}
	turned         time.Time
}

// add records that a request with a feature was answered.
func (a *answered) add(now time.Time, id uint64) {
	a.turn(now)
	if len(a.recent) < maxServed {
		a.recent[id] = struct{}{}
	}
}

// has reports whether a request with a feature was answered recently.
func (a *answered) has(now time.Time, id uint64) bool {
	a.turn(now)
	_, recent := a.recent[id]
	_, before := a.before[id]
	return recent || before
}

// turn begins a new span once the present one is over.
func (a *answered) turn(now time.Time) {
	since := now.Sub(a.turned)
	if since < a.span && a.recent != nil {
		return
	}
	a.before, a.recent = a.recent, map[uint64]struct{}{}
	if since >= 2*a.span {
		a.before = nil
	}
	a.turned = now
}
