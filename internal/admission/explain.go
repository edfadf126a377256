package admission

import (
	"math"
	"slices"
	"time"
)

// Reasons why a request is not let into the queue.
const (
	// RejectedExcess means that it is its account's excess, while places are scarce
	// and other requests are refused.
	RejectedExcess = "account-excess"
	// RejectedLate means that no place is expected to be free in time.
	RejectedLate = "no-place-in-time"
)

// Explanation describes what a queue would do with a request that arrives now.
// Fields that an order does not use are left out.
type Explanation struct {
	// Order names the order of the queue.
	Order string `json:"order"`
	// Waiting is the number of waiting requests, and OfKind that of the same kind.
	Waiting int `json:"waiting"`
	OfKind  int `json:"waiting_of_kind"`
	// MayTry reports whether the request would look for a place at once.
	MayTry bool `json:"may_try"`
	// Position is the position that it would get among the waiting ones, from 1, and
	// Rejected the reason if it would not be let in.
	Position int    `json:"position,omitempty"`
	Rejected string `json:"rejected,omitempty"`
	// ExpectedWaitMS is the expected time in the queue, in milliseconds; nil if it is
	// unknown, as no request of the kind has got a place recently. LimitMS is how much
	// of it would be accepted, and MayWaitMS for how long it would wait at most.
	ExpectedWaitMS *float64 `json:"expected_wait_ms,omitempty"`
	LimitMS        float64  `json:"limit_ms"`
	MayWaitMS      float64  `json:"may_wait_ms,omitempty"`
	// Scarce reports whether a search for a place has just failed.
	Scarce bool `json:"scarce"`
	// Overserved reports whether the kind lets others look for places first, and
	// Excess whether the request would count as its account's excess.
	Overserved bool `json:"overserved,omitempty"`
	Excess     bool `json:"excess,omitempty"`
	// ServedShare is the fraction of the kind's recent requests that got a place.
	ServedShare float64 `json:"served_share"`
	// The other fields are set by an order by cost only. DueMS is the time left until
	// the request has to have a slot, negative if that is past; WorkMS is its expected
	// time in a slot, and Weight what it is worth. Late reports whether it would wait
	// without being planned to begin within its objective.
	DueMS  float64 `json:"due_ms,omitempty"`
	WorkMS float64 `json:"work_ms,omitempty"`
	Weight float64 `json:"weight,omitempty"`
	Late   bool    `json:"late,omitempty"`
	// BacklogMS is the work of the planned requests, Rate how many seconds of work the
	// slots complete in a second, 0 if that is unknown, and RateAgeMS the time since
	// the last completion.
	BacklogMS float64 `json:"backlog_ms,omitempty"`
	Rate      float64 `json:"rate,omitempty"`
	RateAgeMS float64 `json:"rate_age_ms,omitempty"`
	// RetryAfterMS is the retry delay of the caller if the request were
	// rejected.
	RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
}

// Explain describes what would happen to a request that arrived now. It changes
// nothing: the request joins a copy of the queue.
func (q *Queue) Explain(now time.Time, r Request) Explanation {
	c := q.copy(r)
	r.Excess = c.Arrived(now, r)
	k := c.kind(r)
	x := Explanation{
		Order: "shares", Waiting: len(c.waiting), OfKind: k.waiting, MayTry: c.MayTry(now, r), Scarce: c.scarce(now),
		Overserved: c.overserved(k, now), Excess: r.Excess, ServedShare: k.served.Get(now) / max(k.requested.Get(now), 1),
		LimitMS: 1000 * waitLimit(r, k).Seconds(),
	}
	if wait := c.expectedWait(k, k.queuedAhead(r), now); wait < math.MaxInt64 {
		ms := 1000 * wait.Seconds()
		x.ExpectedWaitMS = &ms
	}
	w := c.Join(now, r)
	switch {
	case w != nil:
		x.Position = slices.Index(c.inOrder(now, slices.Clone(c.waiting)), w) + 1
		x.MayWaitMS = 1000 * w.until.Sub(now).Seconds()
	case r.Excess && c.rejectsExcess(now):
		x.Rejected = RejectedExcess
	default:
		x.Rejected = RejectedLate
	}
	return x
}

// copy returns a copy of the queue that shares no state with it. Of the accounts, it
// has only the request's.
func (q *Queue) copy(r Request) *Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := NewQueue()
	c.lastRound, c.lastNoPlace = q.lastRound, q.lastNoPlace
	kinds := make(map[*kind]*kind, len(q.kinds))
	for name, k := range q.kinds {
		clone := *k
		c.kinds[name], kinds[k] = &clone, &clone
	}
	for _, w := range q.waiting {
		c.waiting = append(c.waiting, &Waiter{kind: kinds[w.kind], account: w.account, excess: w.excess, notBefore: w.notBefore, until: w.until})
	}
	c.accounts = q.accounts.copy(r.Account)
	return c
}

// copy returns a copy that has only one of the accounts.
func (a *accounts) copy(name string) *accounts {
	c := newAccounts()
	c.all = a.all
	if one := a.byName[name]; one != nil {
		clone := *one
		c.byName[name] = &clone
	}
	return c
}
