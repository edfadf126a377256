package crash

import "time"

const (
	// servedTime is how long after the beginning of an answer no crash counts for the
	// features of its request: a part that many requests have is at most endpoints that
	// end, and is answered elsewhere all the time.
	servedTime = 1500 * time.Millisecond
	// establishedTime is how long at least a feature counts as established after an
	// answer, and settleTime how long its crashes must go on without another answer
	// before it is blamed. If many endpoints end at once, what is popular has crashes
	// at all of them, before answers elsewhere clear it.
	establishedTime = 30 * time.Second
	settleTime      = 2 * time.Second
	// maxAnswered bounds the features remembered of one span of establishedTime.
	maxAnswered = 4096
)

// answered remembers when answers to requests with each feature began, for
// establishedTime and at most twice that.
type answered struct {
	recent, before map[uint64]time.Time
	turned         time.Time
}

// add records an answer that began at a time and was whole.
func (a *answered) add(now, began time.Time, id uint64) {
	a.turn(now)
	if _, known := a.recent[id]; known || len(a.recent) < maxAnswered {
		a.recent[id] = later(a.recent[id], began)
	}
}

// latest returns when the newest answer began, zero if none is known.
func (a *answered) latest(now time.Time, id uint64) time.Time {
	a.turn(now)
	return later(a.recent[id], a.before[id])
}

// turn begins a new span once the present one is over.
func (a *answered) turn(now time.Time) {
	since := now.Sub(a.turned)
	if since < establishedTime && a.recent != nil {
		return
	}
	a.before, a.recent = a.recent, map[uint64]time.Time{}
	if since >= 2*establishedTime {
		a.before = nil
	}
	a.turned = now
}
