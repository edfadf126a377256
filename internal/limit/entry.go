package limit

import (
	"cmp"
	"time"
)

// States of an entry.
const (
	entryWaiting entryState = iota
	entryAdmitted
	entryRefused
)

type (
	entryState int

	// Entry is a request for admission. It is safe for concurrent use.
	Entry struct {
		limiter    *Limiter
		bucket     *bucket
		ask        Request
		serial     uint64
		state      entryState
		retryAfter time.Duration
		wake       chan struct{}
	}
)

// Poll returns the current decision on the request.
func (e *Entry) Poll(now time.Time) Step {
	e.limiter.mu.Lock()
	defer e.limiter.mu.Unlock()
	if e.state == entryWaiting {
		e.bucket.admit(now)
		e.bucket.refuseLate(now)
		e.limiter.updateWaiting()
	}
	switch e.state {
	case entryAdmitted:
		return Step{Kind: StepAdmit}
	case entryRefused:
		return Step{Kind: StepRefuse, RetryAfter: e.retryAfter}
	}
	for i, other := range e.bucket.queue {
		if other == e {
			return Step{Kind: StepWait, Until: now.Add(max(e.bucket.waitTime(now, i), time.Millisecond))}
		}
	}
	return Step{Kind: StepAdmit}
}

// Wake returns a channel that receives when it is worth polling before the last
// Step's Until.
func (e *Entry) Wake() <-chan struct{} { return e.wake }

// Cancel removes a waiting request.
func (e *Entry) Cancel() {
	e.limiter.mu.Lock()
	defer e.limiter.mu.Unlock()
	if e.state == entryWaiting {
		e.bucket.remove(e)
		e.state = entryRefused
		e.limiter.updateWaiting()
	}
}

func (e *Entry) finish(s entryState) {
	e.state = s
	e.notify()
}

func (e *Entry) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func compareEntries(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(b.ask.Priority, a.ask.Priority),
		a.ask.Deadline.Compare(b.ask.Deadline),
		cmp.Compare(a.serial, b.serial),
	)
}
