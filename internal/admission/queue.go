// Package admission decides which requests wait for a place when a service's places
// are scarce, in which order, and which are refused at once. It needs no network:
// callers pass in events with their time, and act on the decisions.
package admission

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/rates"
)

const (
	// waitShare is the fraction of the time left for the answer to begin within the
	// objective that a request may be expected to wait. Waiting times vary by as much
	// as their mean.
	waitShare = 0.25
	// minWaitShare is the fraction of the latency objective for which the first
	// request of its kind may wait though its waiting time is unknown, so that no
	// place stays free. minWait is its lower bound: two rounds.
	minWaitShare = 0.125
	minWait      = 2 * roundInterval
	// begunWait is how long a request waits whose caller already has part of the answer:
	// callers leave an answer that pauses for longer.
	begunWait = 2 * time.Second
	// rateWindow is the time over which rates are averaged: long compared with the
	// time between two places, short compared with a burst.
	rateWindow = 2 * time.Second
	// shareWindow is the same for the served shares of kinds. A node sees a few
	// requests of a kind a second; over two seconds, random variation alone makes
	// their shares differ by a tenth.
	shareWindow = 8 * time.Second
	// priorityStep is how far the served share of a kind may be behind that of a kind
	// one priority more urgent before it goes first.
	priorityStep = 0.03
	// accountPriorityStep is the same for the priority of a client account: it
	// outweighs the priorities of kinds.
	accountPriorityStep = 3 * priorityStep
	// excessPenalty is the same for an account's excess: it outweighs all priorities
	// and shares.
	excessPenalty = 1000
	// shareTolerance is how far a kind's served share may be ahead of another's
	// before it lets others look for places first.
	shareTolerance = 0.1
	// minRefused is the number of recently refused requests of a kind, over
	// rateWindow, from which its places are scarce: one in the last two seconds.
	minRefused = 0.3
	// noPlaceFor is how long a failed search for a place counts as a sign of
	// scarcity. A low rate of places is no such sign, as few requests may arrive; and
	// as long as no search fails, there is a place.
	noPlaceFor = 100 * time.Millisecond
	// roundInterval is the shortest time between two rounds: a round looks at all
	// engines for each waiting request.
	roundInterval = 5 * time.Millisecond
	// roundSize bounds the number of requests that look for a place in one round.
	roundSize = 16
	// maxKinds is the number of kinds from which idle ones are evicted: operators
	// replace routes all the time, and every arriving request looks at all kinds.
	maxKinds = 256
	// negligibleRequests is the number of requests below which a kind, over
	// shareWindow, or an account, over baselineWindow, is idle.
	negligibleRequests = 0.01
)

type (
	// Queue holds the requests of one service that wait at this node. It is safe for
	// concurrent use.
	Queue struct {
		mu    sync.Mutex
		kinds map[string]*kind
		// accounts are the client accounts.
		accounts *accounts
		// waiting are all requests, by arrival.
		waiting []*Waiter
		// round are the requests that have yet to look for a place in this round.
		round     []*Waiter
		lastRound time.Time
		// lastNoPlace is when a request last looked for a place and found none.
		lastNoPlace time.Time
	}

	// kind is the state of one kind of request.
	kind struct {
		priority int
		waiting  int
		// excess is the number of those in waiting that are their accounts' excess.
		excess int
		// requested and served are over shareWindow, placed and refused over
		// rateWindow.
		requested rates.Decayed
		served    rates.Decayed
		placed    rates.Decayed
		refused   rates.Decayed
		// startLatency is the mean time from the place to the first byte of the
		// answer.
		startLatency time.Duration
	}
)

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{kinds: map[string]*kind{}, accounts: newAccounts()} }

// Arrived counts an arriving request, and reports whether it is its account's excess.
func (q *Queue) Arrived(now time.Time, r Request) (excess bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.kinds) >= maxKinds {
		q.evict(now)
	}
	k := q.kind(r)
	if excess = q.accounts.countRequest(now, r.Account); !excess {
		k.requested.Add(now)
	}
	return excess
}

// Admitted counts a request that got a place.
func (q *Queue) Admitted(now time.Time, r Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	k.placed.Add(now)
	q.accounts.countServed(now, r.Account)
	if !r.Excess {
		k.served.Add(now)
	}
}

// ObserveLatency records how long an answer took to begin once its request had a place.
func (q *Queue) ObserveLatency(r Request, first time.Duration) {
	const sampleWeight = 0.05
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	if k.startLatency == 0 {
		k.startLatency = first
	}
	k.startLatency += time.Duration(sampleWeight * float64(first-k.startLatency))
}

// MayTry reports whether an arriving request may look for a place at once: it has begun,
// or no request waits, its kind is not served more than others, and it is no excess while places
// are scarce.
func (q *Queue) MayTry(now time.Time, r Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return r.Begun || !q.anyNewWaits() && !q.overserved(q.kind(r), now) && !(r.Excess && q.rejectsExcess(now))
}

// Refused counts a request that got no place.
func (q *Queue) Refused(now time.Time, r Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !r.Excess {
		q.kind(r).refused.Add(now)
	}
}

// Join adds a request to the queue. It returns nil if no place will be free in time:
// the request is then to be refused at once.
func (q *Queue) Join(now time.Time, r Request) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	// A request that can still begin within its objective may wait, but only for part
	// of the time left.
	left := r.Objective - k.startLatency
	minimum := max(time.Duration(minWaitShare*float64(r.Objective)), minWait)
	if r.Begun {
		return q.add(&Waiter{kind: k, account: r.AccountPriority, excess: r.Excess, begun: true, notBefore: now, until: now.Add(begunWait)})
	}
	if r.Excess && q.rejectsExcess(now) {
		return nil
	}
	ahead := k.queuedAhead(r)
	if q.expectedWait(k, ahead, now) > waitLimit(r, k) {
		if ahead > 0 && q.scarce(now) {
			return nil
		}
		left = minimum
	}
	w := &Waiter{kind: k, account: r.AccountPriority, excess: r.Excess, notBefore: now, until: now.Add(max(left, minimum))}
	if q.overserved(k, now) {
		w.notBefore = now.Add(minimum / 2)
	}
	return q.add(w)
}

// anyNewWaits reports whether a request waits that has not begun. One that has may be
// unable to use the slots that are free.
func (q *Queue) anyNewWaits() bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiter) bool { return !w.begun })
}

func (q *Queue) add(w *Waiter) *Waiter {
	w.turn = make(chan struct{}, 1)
	w.kind.addWaiting(w, 1)
	q.waiting = append(q.waiting, w)
	return w
}

// Leave removes a request from the queue.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.kind.addWaiting(w, -1)
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
	q.round = slices.DeleteFunc(q.round, func(o *Waiter) bool { return o == w })
}

// scarce reports whether a search for a place has just failed.
func (q *Queue) scarce(now time.Time) bool { return now.Sub(q.lastNoPlace) < noPlaceFor }

// rejectsExcess reports whether an account's excess gets no place now: no place is
// free, and other requests were recently refused for that reason. If the others only
// wait a little longer for a place, it is of more use to whoever takes it.
func (q *Queue) rejectsExcess(now time.Time) bool {
	if !q.scarce(now) {
		return false
	}
	for _, k := range q.kinds {
		if k.refused.Get(now) >= minRefused {
			return true
		}
	}
	return false
}

// StartRound starts a round, as a place may have become free. The first request in the
// order looks for one, then the next.
func (q *Queue) StartRound(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || now.Sub(q.lastRound) < roundInterval {
		return
	}
	q.lastRound = now
	q.round = q.ordered(now)
	q.signalNext()
}

// NoPlace records that a request has looked for a place and found none.
func (q *Queue) NoPlace(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNoPlace = now
}

// NextTurn gives the turn to the next request of the round, after one has looked for a
// place.
func (q *Queue) NextTurn() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.signalNext()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Kinds returns the number of known kinds of request.
func (q *Queue) Kinds() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.kinds)
}

func (q *Queue) signalNext() {
	if len(q.round) == 0 {
		return
	}
	w := q.round[0]
	q.round = q.round[1:]
	select {
	case w.turn <- struct{}{}:
	default:
	}
}

// queuedAhead is the number of waiting requests of the kind that precede a request.
func (k *kind) queuedAhead(r Request) int {
	if r.Excess {
		return k.waiting
	}
	return k.waiting - k.excess
}

func (k *kind) addWaiting(w *Waiter, n int) {
	if w.begun {
		return
	}
	k.waiting += n
	if w.excess {
		k.excess += n
	}
}

// waitLimit is the expected wait up to which a request of a kind joins the queue in any
// case.
func waitLimit(r Request, k *kind) time.Duration {
	return time.Duration(waitShare * float64(r.Objective-k.startLatency))
}

// expectedWait is the time that a request of a kind would wait behind some others.
func (q *Queue) expectedWait(k *kind, ahead int, now time.Time) time.Duration {
	rate := k.placed.Get(now)
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(ahead+1) / rate * float64(rateWindow))
}

func (q *Queue) kind(r Request) *kind {
	k := q.kinds[r.Kind]
	if k == nil {
		k = &kind{
			requested: rates.Decayed{TimeConstant: shareWindow}, served: rates.Decayed{TimeConstant: shareWindow},
			placed: rates.Decayed{TimeConstant: rateWindow}, refused: rates.Decayed{TimeConstant: rateWindow},
		}
		q.kinds[r.Kind] = k
	}
	k.priority = r.Priority
	return k
}

func (q *Queue) evict(now time.Time) {
	maps.DeleteFunc(q.kinds, func(_ string, k *kind) bool {
		return k.waiting == 0 && k.requested.Get(now) < negligibleRequests
	})
}
