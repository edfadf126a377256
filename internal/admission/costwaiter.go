package admission

import (
	"math"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// routeStep and accountStep are the ratios of the weights of two successive
	// priorities. That of accounts outweighs all priorities of routes, which are 0 to 2.
	routeStep   = 0.5
	accountStep = 0.125
)

// costWaiter is the state of a waiting request.
type costWaiter struct {
	job     job
	kind    *costKind
	size    int
	account string
	// round is the last round in which it had a turn.
	round     int
	searching atomic.Bool
	rejected  chan struct{}
	gone      bool
}

// newWaiter returns a waiter that is not yet in the queue.
func (q *CostQueue) newWaiter(now time.Time, r Request) *Waiter {
	k := q.kind(r)
	q.seq++
	came := r.Came
	if came.IsZero() {
		came = now
	}
	work := q.work(k, r)
	latency := time.Duration(k.latency * float64(time.Second))
	due := came.Add(max(r.Objective-latency, minimumWait(r)))
	latest := due
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-max(latency, time.Duration(work*float64(time.Second))))
		due = earlier(due, latest)
	}
	w := &Waiter{until: later(latest, now.Add(minWait)), turn: make(chan struct{}, 1)}
	if !r.Deadline.IsZero() {
		w.until = earlier(w.until, r.Deadline)
	}
	w.cost = &costWaiter{
		kind: k, size: k.size(work), account: r.Account, rejected: make(chan struct{}),
		job: job{
			due: due.Sub(q.epoch), latest: latest.Sub(q.epoch), work: work, weight: weight(r), seq: q.seq,
			standing: q.standing(k, k.size(work), r.Account, r.Excess), waiter: w,
		},
	}
	return w
}

// weight is what a request is worth compared with others.
func weight(r Request) float64 {
	return math.Pow(routeStep, float64(r.Priority)) * math.Pow(accountStep, float64(r.AccountPriority))
}

func minimumWait(r Request) time.Duration {
	return max(time.Duration(minWaitShare*float64(r.Objective)), minWait)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func (q *CostQueue) insert(j *job) {
	list, compare := &q.planned, (*job).precedes
	if j.late {
		list, compare = &q.late, byCost
	}
	i, _ := slices.BinarySearchFunc(*list, j, compare)
	*list = slices.Insert(*list, i, j)
}

// byCost orders late jobs: the one that costs most first.
func byCost(a, b *job) int {
	switch {
	case b.cheaper(a):
		return -1
	case a.cheaper(b):
		return 1
	}
	return 0
}

// remove removes a waiting request, once.
func (q *CostQueue) remove(c *costWaiter) {
	if c.gone {
		return
	}
	c.gone = true
	c.kind.waiting--
	q.changes++
	list := &q.planned
	if c.job.late {
		list = &q.late
	}
	if i := slices.Index(*list, &c.job); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
}

// signal gives the request its turn in a round, and reports whether it has none yet and
// is not looking for a place.
func (w *Waiter) signal(round int) bool {
	c := w.cost
	if c.round == round || c.searching.Load() {
		return false
	}
	c.round = round
	c.searching.Store(true)
	w.turn <- struct{}{}
	return true
}
