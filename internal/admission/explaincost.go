package admission

import (
	"slices"
	"time"
)

// Explain describes what would happen to a request that arrived now. It changes
// nothing: the request joins a copy of the queue. If it may look for a place, Position
// and Rejected say what happens if there is none.
func (q *CostQueue) Explain(now time.Time, r Request) Explanation {
	c := q.copy(r)
	r.Excess = c.Arrived(now, r)
	x := Explanation{Order: "cost", OfKind: c.kind(r).waiting, MayTry: c.MayTry(now, r), Scarce: c.searchFailed(c.last), Excess: r.Excess}
	x.ServedShare, _ = c.kind(r).all.get(c.last)
	if x.MayTry {
		c.NoPlace(now)
	}
	known := c.Rejection(now, r)
	x.Waiting, x.Weight, x.Rate = known.Waiting, known.Weight, known.Rate
	x.DueMS, x.WorkMS = milliseconds(known.Due), milliseconds(known.Work)
	x.BacklogMS, x.RateAgeMS = milliseconds(known.Backlog), milliseconds(known.RateAge)
	w := c.Join(now, r)
	if w == nil {
		x.Rejected, x.RetryAfterMS = RejectedLate, milliseconds(known.RetryAfter)
		if r.Excess && c.rejectsExcess(c.last) {
			x.Rejected = RejectedExcess
		}
		return x
	}
	j := &w.cost.job
	x.Late, x.MayWaitMS = j.late, milliseconds(w.until.Sub(now))
	x.Position = 1 + slices.Index(slices.Concat(c.planned, c.late), j)
	x.LimitMS = joinLimit(j, c.last)
	if rate := c.capacity.rate(c.last); rate > 0 && !j.late {
		ahead, _ := c.ahead(j)
		ms := milliseconds(drainTime(max(ahead+c.first(), 0), rate))
		x.ExpectedWaitMS = &ms
	}
	return x
}

// joinLimit is the time in milliseconds that an arriving request may be expected to wait
// in order to be planned.
func joinLimit(j *job, at time.Duration) float64 {
	return max(j.joinShare()*milliseconds(j.due-at), 0)
}

// copy returns a copy of the queue that shares no state with it. Of the accounts, it
// has only the request's.
func (q *CostQueue) copy(r Request) *CostQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &CostQueue{
		epoch: q.epoch, last: q.last, kinds: make(map[string]*costKind, len(q.kinds)), all: q.all, accounts: q.accounts.copy(r.Account),
		capacity: q.capacity, inflow: q.inflow, inflowSquares: q.inflowSquares, seq: q.seq, planAt: q.planAt, changes: q.changes,
		floorAt: q.floorAt, freed: q.freed, noPlaceAt: q.noPlaceAt, searched: q.searched, round: q.round, failures: q.failures,
		extra: q.extra, cursor: q.cursor, timed: q.timed, succeeded: q.succeeded,
	}
	kinds := make(map[*costKind]*costKind, len(q.kinds))
	for name, k := range q.kinds {
		clone := *k
		c.kinds[name], kinds[k] = &clone, &clone
	}
	c.planned, c.late = copyJobs(q.planned, kinds), copyJobs(q.late, kinds)
	return c
}

// copyJobs returns copies of waiting requests whose kinds are replaced by copies.
func copyJobs(list []*job, kinds map[*costKind]*costKind) []*job {
	copies := make([]*job, len(list))
	for i, j := range list {
		old := j.waiter.cost
		w := &Waiter{until: j.waiter.until, turn: make(chan struct{}, 1)}
		w.cost = &costWaiter{
			job: *j, kind: kinds[old.kind], size: old.size, account: old.account, round: old.round, rejected: make(chan struct{}), gone: old.gone,
		}
		w.cost.searching.Store(old.searching.Load())
		w.cost.job.waiter = w
		copies[i] = &w.cost.job
	}
	return copies
}

func milliseconds(d time.Duration) float64 { return 1000 * d.Seconds() }
