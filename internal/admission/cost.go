package admission

import (
	"maps"
	"sync"
	"time"
)

const (
	// joinShare is the fraction of the time left until its due time that an arriving
	// request may be expected to wait in order to be planned. The rest is for the
	// variation of the times in slots, and for a request that returns after a
	// rejection. The queue need not be longer to keep all slots in use.
	joinShare = 0.3
	// floorJoinShare is the same for requests that are served too rarely: with few
	// slots, the time until the next one is free may exceed joinShare for kinds with
	// short objectives only, whose requests would then be rejected while others wait.
	floorJoinShare = 0.8
	// maxDisplaced bounds the requests that an arriving one makes late. The next plan
	// finds others.
	maxDisplaced = 8
	// minSpare is the least fraction of the rate that has to be left by planned
	// requests for late ones to wait: the measured rates vary by some hundredths.
	minSpare = 0.1
	// spareDeviations is the same in standard deviations of the work that is planned:
	// few large requests vary more than many small ones.
	spareDeviations = 3
	// planBatch is the fraction of the waiting requests that have to arrive or leave
	// for a new plan, and maxPlanAge the time after which a plan is replaced anyway: a
	// plan for 1,000 requests takes as long as 30 decisions.
	planBatch  = 1.0 / 32
	maxPlanAge = 25 * time.Millisecond
	// maxFailures is the number of failed searches after which a round ends. More than
	// one is needed, as requests differ in the endpoints that they may use.
	maxFailures = 2
	// extraTurns is the number of requests that look for a place in addition in each
	// timed round, all of them in turn: the first ones may wait for endpoints that
	// the others do not need.
	extraTurns = 2
	// fewSlots is the number of slots in use below which the rate is too uncertain to
	// reject the only waiting request of its kind.
	fewSlots = 2
	// defaultWork is the expected time in a slot before any is known, in seconds.
	defaultWork = 0.05
)

type (
	// CostQueue holds the requests of one service that wait at this node, and orders
	// them by what it costs callers if they are delayed or rejected. It is safe for
	// concurrent use.
	CostQueue struct {
		mu       sync.Mutex
		epoch    time.Time
		last     time.Duration
		kinds    map[string]*costKind
		all      share
		accounts *accounts
		capacity capacity
		// inflow is the work of the requests that were planned, and inflowSquares the
		// sum of its squares, over rateWindow.
		inflow, inflowSquares flow
		// planned and late are the waiting requests: the planned ones by due time, the
		// late ones by cost density.
		planned []*job
		late    []*job
		seq     uint64
		// planAt is when the last plan was made, and changes counts the requests that
		// have joined or left since.
		planAt  time.Duration
		changes int
		floorAt time.Duration
		// freed is the number of slots that have become free since a search has last
		// failed, which happened at noPlaceAt; searched says that one ever has.
		freed     int
		noPlaceAt time.Duration
		searched  bool
		// round numbers the rounds; failures counts the failed searches of this one,
		// and extra the turns left of extraTurns. cursor is the next of these.
		round, failures, extra, cursor int
		// timed says that this round was not started by a freed slot, and succeeded
		// that a request has got a slot in it.
		timed, succeeded bool
	}
)

// NewCostQueue returns an empty queue.
func NewCostQueue() *CostQueue {
	return &CostQueue{
		kinds: map[string]*costKind{}, all: newShare(), accounts: newAccounts(), capacity: newCapacity(),
		inflow: flow{window: rateWindow}, inflowSquares: flow{window: rateWindow},
	}
}

// Arrived counts an arriving request, and reports whether it is its account's excess.
func (q *CostQueue) Arrived(now time.Time, r Request) (excess bool) {
	at := q.lock(now)
	defer q.mu.Unlock()
	if len(q.kinds) >= maxKinds {
		q.evict(at)
	}
	k := q.kind(r)
	k.learnSize(r.Work.Seconds())
	if excess = q.accounts.countRequest(now, r.Account); !excess {
		k.all.requested.add(at, 1)
		k.sizes[k.size(r.Work.Seconds())].requested.add(at, 1)
		q.all.requested.add(at, 1)
	}
	return excess
}

// Admitted counts a request that got its first place.
func (q *CostQueue) Admitted(now time.Time, r Request) {
	at := q.lock(now)
	defer q.mu.Unlock()
	q.accounts.countServed(now, r.Account)
	if r.Excess {
		return
	}
	k := q.kind(r)
	k.all.served.add(at, 1)
	k.sizes[k.size(r.Work.Seconds())].served.add(at, 1)
	q.all.served.add(at, 1)
}

// Started records that a request got a slot; w is nil if it has not waited.
func (q *CostQueue) Started(now time.Time, r Request, w *Waiter) {
	at := q.lock(now)
	defer q.mu.Unlock()
	q.capacity.started(at)
	q.freed = max(q.freed-1, 0)
	q.succeeded = true
	if w == nil {
		q.addInflow(at, q.work(q.kind(r), r), 1)
	}
}

// Completed records that a request has left its slot after some time; 0 if the time
// says nothing about the endpoints' speed. It gives the first waiting request a turn.
func (q *CostQueue) Completed(now time.Time, r Request, took time.Duration) {
	at := q.lock(now)
	defer q.mu.Unlock()
	expected := r.Work.Seconds()
	if expected <= 0 {
		expected = took.Seconds()
	}
	q.capacity.completedOne(at, expected, took.Seconds())
	q.freed++
	if len(q.planned)+len(q.late) == 0 {
		q.capacity.hasPlace()
		return
	}
	q.replan(at)
	q.beginRound(0)
}

// ObserveLatency records how long an answer took to begin once its request had a place.
func (q *CostQueue) ObserveLatency(r Request, first time.Duration) {
	const sampleWeight = 0.05
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	if k.latency == 0 {
		k.latency = first.Seconds()
	}
	k.latency += sampleWeight * (first.Seconds() - k.latency)
}

// MayTry reports whether an arriving request may look for a place at once: no request
// waits, and it is no excess while places are scarce.
func (q *CostQueue) MayTry(now time.Time, r Request) bool {
	at := q.lock(now)
	defer q.mu.Unlock()
	return len(q.planned)+len(q.late) == 0 && !(r.Excess && q.rejectsExcess(at))
}

// Refused counts a request that got no place.
func (q *CostQueue) Refused(now time.Time, r Request) {
	at := q.lock(now)
	defer q.mu.Unlock()
	if !r.Excess {
		q.kind(r).refused.add(at, 1)
	}
}

// Join adds a request to the queue. It returns nil if the request is to be rejected at
// once, which happens only after a search for a place has failed and none has become
// free since.
func (q *CostQueue) Join(now time.Time, r Request) *Waiter {
	at := q.lock(now)
	defer q.mu.Unlock()
	q.compareFloors(at)
	w := q.newWaiter(now, r)
	j := &w.cost.job
	switch {
	case r.Excess && q.rejectsExcess(at):
		return nil
	case q.fits(at, j):
		q.addInflow(at, j.work, 1)
	case q.capacity.rate(at) > 0 && q.worthWaiting(at, j):
		j.late = true
	case q.mayWaitAsFirst(at, w.cost.kind), q.capacity.rate(at) <= 0 && !q.searchFailed(at):
		j.late, j.first = true, true
		w.until = earlier(w.until, now.Add(minimumWait(r)))
		j.latest = min(j.latest, at+minimumWait(r))
	default:
		return nil
	}
	q.insert(j)
	w.cost.kind.waiting++
	q.changes++
	if q.freed > 0 {
		q.beginRound(0)
	}
	return w
}

// Leave removes a request from the queue.
func (q *CostQueue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w.cost)
	if w.cost.searching.Load() {
		// It leaves without having looked for a place in its turn.
		q.signalNext()
	}
}

// StartRound starts a timed round, in which waiting requests look for places that
// other nodes' requests have freed. It also gives up those that cannot be served.
func (q *CostQueue) StartRound(now time.Time) {
	at := q.lock(now)
	defer q.mu.Unlock()
	if len(q.planned)+len(q.late) == 0 {
		return
	}
	q.replan(at)
	q.beginRound(extraTurns)
}

// NoPlace records that a request has looked for a place and found none.
func (q *CostQueue) NoPlace(now time.Time) {
	at := q.lock(now)
	defer q.mu.Unlock()
	q.noPlaceAt, q.searched, q.freed = at, true, 0
	q.failures++
	q.capacity.noPlace(at)
}

// NextTurn gives the turn to the next request of the round, after one has looked for a
// place.
func (q *CostQueue) NextTurn() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.signalNext()
}

// Waiting returns the number of waiting requests.
func (q *CostQueue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.planned) + len(q.late)
}

// Kinds returns the number of known kinds of request.
func (q *CostQueue) Kinds() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.kinds)
}

// lock locks the queue and returns the time since its first event. Events may be
// recorded slightly out of order.
func (q *CostQueue) lock(now time.Time) time.Duration {
	q.mu.Lock()
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.last = max(q.last, now.Sub(q.epoch))
	return q.last
}

func (q *CostQueue) kind(r Request) *costKind {
	k := q.kinds[r.Kind]
	if k == nil {
		k = newCostKind()
		q.kinds[r.Kind] = k
	}
	k.priority = r.Priority
	return k
}

func (q *CostQueue) evict(at time.Duration) {
	maps.DeleteFunc(q.kinds, func(_ string, k *costKind) bool {
		return k.waiting == 0 && k.all.requested.get(at) < negligibleRequests
	})
}

// work is a request's expected time in a slot, in seconds.
func (q *CostQueue) work(k *costKind, r Request) float64 {
	switch {
	case r.Work > 0:
		return r.Work.Seconds()
	case k.mean > 0:
		return k.mean
	}
	return defaultWork
}
