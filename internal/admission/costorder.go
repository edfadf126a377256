package admission

import (
	"math"
	"slices"
	"time"
)

// Rejection is what is known of a request that a CostQueue rejects.
type Rejection struct {
	// RetryAfter is when the caller should try again; 0 if nothing is known.
	RetryAfter time.Duration
	// Due is the time left until the request had to have a slot.
	Due    time.Duration
	Work   time.Duration
	Weight float64
	// Backlog is the work of the planned requests, and Rate how many seconds of work
	// the slots complete in a second. RateAge is the time since the last completion.
	Backlog time.Duration
	Rate    float64
	RateAge time.Duration
	Waiting int
}

const (
	// returnShare is the fraction of the time left until a rejected request's due time
	// after which it returns at the latest. The node does not recognize it then, so it
	// may wait as long as a new one.
	returnShare = 0.3
	// maxRetryShare is the fraction of a caller's remaining time after which it
	// returns at the latest.
	maxRetryShare = 1.0 / 3
	// minRetryDelay is the shortest retry delay: a new connection takes some round
	// trips.
	minRetryDelay = 10 * time.Millisecond
)

// Rejection returns the retry delay of a request that is rejected, and what is logged.
//
// The caller is to return when the requests ahead of it are served, but so early that
// it can still wait its share and begin within its objective, which counts from its
// first arrival.
func (q *CostQueue) Rejection(now time.Time, r Request) Rejection {
	at := q.lock(now)
	defer q.mu.Unlock()
	j := &q.newWaiter(now, r).cost.job
	backlog, rate := q.plannedWork(), q.capacity.rate(at)
	left := j.due - at
	x := Rejection{
		Due: left, Work: time.Duration(j.work * float64(time.Second)), Weight: j.weight, Rate: rate, RateAge: at - q.capacity.completed,
		Backlog: time.Duration(backlog * float64(time.Second)), Waiting: len(q.planned) + len(q.late),
	}
	if rate > 0 {
		x.RetryAfter = drainTime(backlog+q.first(), rate)
	} else {
		x.RetryAfter = minimumWait(r)
	}
	if left > 0 {
		x.RetryAfter = min(x.RetryAfter, time.Duration(returnShare*float64(left)))
	}
	if !r.Deadline.IsZero() {
		x.RetryAfter = min(x.RetryAfter, time.Duration(maxRetryShare*float64(r.Deadline.Sub(now))))
	}
	x.RetryAfter = max(x.RetryAfter, minRetryDelay)
	return x
}

// Shares returns the served share of each kind of request over shareWindow, for those
// of which enough were requested.
func (q *CostQueue) Shares() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	shares := map[string]float64{}
	for name, k := range q.kinds {
		if s, known := k.all.get(q.last); known {
			shares[name] = s
		}
	}
	return shares
}

// standing returns a request's standing.
func (q *CostQueue) standing(k *costKind, size int, account string, excess bool) standing {
	switch {
	case excess:
		return standingExcess
	case k.below || k.belowSize[size] || q.accounts.belowFloor(q.epoch.Add(q.last), account):
		return standingFloor
	}
	return standingUsual
}

func (q *CostQueue) compareFloors(at time.Duration) {
	if at-q.floorAt < floorInterval {
		return
	}
	q.floorAt = at
	compareShares(at, q.kinds, &q.all)
}

// searchFailed reports whether a search for a place has just failed, and none has become free
// since.
func (q *CostQueue) searchFailed(at time.Duration) bool {
	return q.searched && q.freed == 0 && at-q.noPlaceAt < noPlaceFor
}

// rejectsExcess reports whether an account's excess gets no place now: none is free,
// and other requests were recently refused for that reason.
func (q *CostQueue) rejectsExcess(at time.Duration) bool {
	if !q.searchFailed(at) {
		return false
	}
	for _, k := range q.kinds {
		if k.refused.get(at) >= minRefused {
			return true
		}
	}
	return false
}

// first is the mean work of the requests in the slots, in seconds: divided by the
// rate, the time until the next slot is free.
func (q *CostQueue) first() float64 {
	n := q.capacity.completions.get(q.last)
	if n <= 0 {
		return 0
	}
	return q.capacity.expected.get(q.last) / n
}

func (q *CostQueue) plannedWork() float64 {
	sum := 0.0
	for _, j := range q.planned {
		sum += j.work
	}
	return sum
}

// fits reports whether an arriving request is planned, perhaps in place of requests
// that cost less.
func (q *CostQueue) fits(at time.Duration, j *job) bool {
	rate := q.capacity.rate(at)
	if rate <= 0 {
		return false
	}
	left, first := (j.due - at).Seconds(), q.first()
	ahead, cheapest := q.ahead(j)
	if ahead <= j.joinShare()*left*rate-first {
		return true
	}
	removed := q.displace(j, cheapest, floorJoinShare*left*rate-first)
	if removed == nil {
		return false
	}
	q.planned = slices.DeleteFunc(q.planned, func(o *job) bool { return o.late })
	for _, v := range removed {
		q.addInflow(at, v.work, -1)
		q.insert(v)
	}
	return true
}

// displace makes requests late that cost less than an arriving one, the cheapest first,
// until at least its own work is removed and no more than a budget is ahead of it. It
// returns these requests, or nil if they do not suffice or are worth more.
func (q *CostQueue) displace(j, cheapest *job, budget float64) []*job {
	var removed []*job
	work, ahead := 0.0, math.Inf(1)
	for budget > 0 && (work < j.work || ahead > budget) {
		if cheapest == nil || !cheapest.cheaper(j) || len(removed) == maxDisplaced {
			budget = 0
			break
		}
		cheapest.late = true
		work += cheapest.work
		removed = append(removed, cheapest)
		ahead, cheapest = q.ahead(j)
	}
	if budget <= 0 || !worthwhile(j, removed) {
		for _, v := range removed {
			v.late = false
		}
		return nil
	}
	return removed
}

// addInflow counts a request that is planned, or with a sign of -1 one that no longer
// is.
func (q *CostQueue) addInflow(at time.Duration, work, sign float64) {
	q.inflow.add(at, sign*work)
	q.inflowSquares.add(at, sign*work*work)
}

// ahead returns the work of the planned requests that precede one, in seconds, and the
// cheapest of them; nil if there is none.
func (q *CostQueue) ahead(j *job) (work float64, cheapest *job) {
	for _, o := range q.planned {
		if o.precedes(j) > 0 {
			break
		}
		if o.late {
			continue
		}
		work += o.work
		if cheapest == nil || o.cheaper(cheapest) {
			cheapest = o
		}
	}
	return work, cheapest
}

// spare is how many seconds of work the slots complete in a second beyond what is
// planned; 0 if that is within the variation of the rates.
func (q *CostQueue) spare(at time.Duration) float64 {
	rate := q.capacity.rate(at)
	spare := rate - q.inflow.get(at)/rateWindow.Seconds()
	// The variance of a decaying sum over Poisson arrivals is half the decaying sum of
	// the squares.
	deviation := math.Sqrt(q.inflowSquares.get(at)/2) / rateWindow.Seconds()
	if spare < max(minSpare*rate, spareDeviations*deviation) {
		return 0
	}
	return spare
}

// worthWaiting reports whether a request that would be late is to wait: it can be
// served before its latest time, or it is not known that no place is free.
func (q *CostQueue) worthWaiting(at time.Duration, j *job) bool {
	if !q.searchFailed(at) {
		return true
	}
	ahead := q.plannedWork() + q.first()
	for _, o := range q.late {
		if byCost(o, j) > 0 {
			break
		}
		ahead += o.work
	}
	return at+drainTime(ahead, q.spare(at)) <= j.latest
}

// mayWaitAsFirst reports whether a request waits a little although it may not get a
// slot, so that no slot stays free: the rate is unknown or uncertain, and it is the
// only one of its kind.
func (q *CostQueue) mayWaitAsFirst(at time.Duration, k *costKind) bool {
	return k.waiting == 0 && (q.capacity.rate(at) <= 0 || q.capacity.slots < fewSlots)
}

// replan makes a new plan if the last one is old enough, and gives up requests that
// cannot be served.
func (q *CostQueue) replan(at time.Duration) {
	n := len(q.planned) + len(q.late)
	age := at - q.planAt
	if n == 0 || age < roundInterval || age < maxPlanAge && float64(q.changes) < planBatch*float64(n) {
		return
	}
	rate := q.capacity.rate(at)
	if rate <= 0 {
		q.rejectOverdue(at)
		return
	}
	q.planAt, q.changes = at, 0
	q.compareFloors(at)
	jobs := append(q.planned, q.late...)
	for _, j := range jobs {
		c := j.waiter.cost
		j.standing = q.standing(c.kind, c.size, c.account, j.standing == standingExcess)
		j.wasLate = j.late
	}
	slices.SortFunc(jobs, (*job).precedes)
	total := plan(at, jobs, rate, q.first())
	q.split(at, jobs)
	if !q.searchFailed(at) {
		return
	}
	for _, j := range unservable(at, q.late, total+q.first(), q.spare(at)) {
		q.giveUp(j)
	}
}

// rejectOverdue gives up the requests whose due time has passed, while no rate is known
// by which they could be served later.
func (q *CostQueue) rejectOverdue(at time.Duration) {
	if !q.searchFailed(at) {
		return
	}
	for _, j := range slices.Concat(q.planned, q.late) {
		if at > j.due {
			q.giveUp(j)
		}
	}
}

// giveUp rejects a waiting request.
func (q *CostQueue) giveUp(j *job) {
	q.remove(j.waiter.cost)
	close(j.waiter.cost.rejected)
}

// split sorts the jobs into planned and late ones.
func (q *CostQueue) split(at time.Duration, jobs []*job) {
	q.planned, q.late = make([]*job, 0, len(jobs)), q.late[:0]
	for _, j := range jobs {
		if j.late {
			q.late = append(q.late, j)
		} else {
			q.planned = append(q.planned, j)
		}
		switch {
		case j.late && !j.wasLate:
			q.addInflow(at, j.work, -1)
		case !j.late && j.wasLate:
			q.addInflow(at, j.work, 1)
		}
	}
	slices.SortFunc(q.late, byCost)
}

// beginRound starts a round, in which the first waiting requests look for a place, and
// some others in addition.
func (q *CostQueue) beginRound(extra int) {
	q.round++
	q.failures, q.succeeded, q.extra, q.timed = 0, false, extra, extra > 0
	q.signalNext()
}

// signalNext gives the turn to the first request in the order that has not had it in
// this round, or to one of the additional ones after enough have failed.
func (q *CostQueue) signalNext() {
	if q.succeeded && q.failures == 0 && q.freed == 0 && !q.timed {
		// The slot that has started the round is taken.
		return
	}
	if q.failures < maxFailures {
		for _, list := range [][]*job{q.planned, q.late} {
			for _, j := range list {
				if j.waiter.signal(q.round) {
					return
				}
			}
		}
		return
	}
	n := len(q.planned) + len(q.late)
	for range min(n, maxFailures+extraTurns) {
		if q.extra == 0 {
			return
		}
		q.cursor = (q.cursor + 1) % n
		if q.waitingAt(q.cursor).waiter.signal(q.round) {
			q.extra--
			return
		}
	}
}

func (q *CostQueue) waitingAt(i int) *job {
	if i < len(q.planned) {
		return q.planned[i]
	}
	return q.late[i-len(q.planned)]
}
