// Package admission decides who waits for a place where a service's places are
// short, in which order, and who is refused at once. It needs no network: events
// come with their time, and decisions go out.
package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/rates"
)

const (
	// patienceShare is the part of the time in which an answer can still begin
	// as wanted that a request may be expected to wait. Waits vary by as much as
	// they last.
	patienceShare = 0.25
	// leastWait is the part of the latency objective that the first of its kind
	// may wait though nobody can say for how long, so that no place stays free,
	// and minWait bounds it from below: two rounds of offers.
	leastWait = 0.125
	minWait   = 2 * offerGap
	// rateMemory is the time over which rates are averaged: long against the time
	// between two places, short against a burst.
	rateMemory = 2 * time.Second
	// shareMemory is the same for the served shares of kinds. A node sees a few
	// requests of a kind in a second; over two seconds their shares differ by a
	// tenth by chance alone.
	shareMemory = 8 * time.Second
	// rankStep is by how much the served share of a kind may be behind that of
	// one that is a rank more urgent, before it goes first.
	rankStep = 0.03
	// accountStep is the same for the rank of a client account: it outweighs the
	// ranks that kinds have.
	accountStep = 3 * rankStep
	// excessStep is the same for what is an account's excess: it outweighs all
	// ranks and shares.
	excessStep = 1000
	// evenness is how far a kind's served share may be ahead of another's before
	// it lets others look for places first.
	evenness = 0.1
	// shortage is how many requests of a kind must lately have been refused, over
	// rateMemory, for its places to be short: one in the last two seconds.
	shortage = 0.3
	// noneFor is how long it counts that a place was looked for in vain. Rates
	// are low also where few ask; where none looked in vain, a place is there.
	noneFor = 100 * time.Millisecond
	// offerGap is the shortest time between two rounds of offers: a round looks
	// at all engines for each request that waits.
	offerGap = 5 * time.Millisecond
	// roundLength bounds the requests that look for a place in one round.
	roundLength = 16
	// maxKinds is from how many kinds on those are forgotten that nobody has
	// asked for lately: operators replace routes all the time, and every request
	// that arrives looks at all kinds.
	maxKinds = 256
	// asksForgotten is how few requests, over shareMemory, count as none.
	asksForgotten = 0.01
)

type (
	// Request is what the order depends on.
	Request struct {
		// Kind is what shares places on equal terms: the route.
		Kind string
		// Priority is the kind's rank; 0 is the most urgent.
		Priority int
		// Account is the rank of the request's client account, which goes before
		// the kind's.
		Account int
		// Client names the account, and is empty where there is none.
		Client string
		// Excess says that the account asks for more than its measure, as Asked
		// has found.
		Excess bool
		// Objective is when the answer should begin, from the request's arrival.
		Objective time.Duration
	}

	// Queue is the requests of one service that wait at this node. It is safe
	// for concurrent use.
	Queue struct {
		mu    sync.Mutex
		kinds map[string]*kind
		// accounts are the client accounts.
		accounts *accounts
		// waiting are all, by arrival.
		waiting []*Waiter
		// round are those that have yet to look for a place in this round.
		round   []*Waiter
		offered time.Time
		// none is when a request last looked for a place and found none.
		none time.Time
	}

	// Waiter is one request that waits.
	Waiter struct {
		kind    *kind
		account int
		excess  bool
		// from is when the request may have its first turn.
		from  time.Time
		until time.Time
		turn  chan struct{}
	}

	// kind is what is known of one kind of request.
	kind struct {
		priority int
		waiting  int
		// excess are those of waiting that are their accounts' excess.
		excess int
		// asked and served are over shareMemory, got and refused over rateMemory.
		asked   rates.Decayed
		served  rates.Decayed
		got     rates.Decayed
		refused rates.Decayed
		// first is how long answers take to begin once they have a place.
		first time.Duration
	}
)

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{kinds: map[string]*kind{}, accounts: newAccounts()} }

// Asked counts a request that arrives, and reports whether it is its account's
// excess.
func (q *Queue) Asked(now time.Time, r Request) (excess bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.kinds) >= maxKinds {
		q.forget(now)
	}
	k := q.kind(r)
	if excess = q.accounts.asked(now, r.Client); !excess {
		k.asked.Add(now)
	}
	return excess
}

// Served counts a request that got a place.
func (q *Queue) Served(now time.Time, r Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	k.got.Add(now)
	q.accounts.served(now, r.Client)
	if !r.Excess {
		k.served.Add(now)
	}
}

// Began learns how long an answer took to begin once its request had a place.
func (q *Queue) Began(r Request, first time.Duration) {
	const learning = 0.05
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	if k.first == 0 {
		k.first = first
	}
	k.first += time.Duration(learning * float64(first-k.first))
}

// Free reports whether a request may look for a place as it arrives: nobody
// waits, its kind is not ahead of others, and it is no excess while places are
// short.
func (q *Queue) Free(now time.Time, r Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0 && !q.ahead(q.kind(r), now) && !(r.Excess && q.yields(now))
}

// Refused counts a request that got no place.
func (q *Queue) Refused(now time.Time, r Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !r.Excess {
		q.kind(r).refused.Add(now)
	}
}

// Join lets a request wait, or returns nil if no place will come in time: then
// it is refused at once.
func (q *Queue) Join(now time.Time, r Request) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.kind(r)
	// What can still begin as wanted may wait, but only in part.
	left := r.Objective - k.first
	least := max(time.Duration(leastWait*float64(r.Objective)), minWait)
	if r.Excess && q.yields(now) {
		return nil
	}
	before := k.before(r)
	if q.expected(k, before, now) > time.Duration(patienceShare*float64(left)) {
		if before > 0 && q.short(now) {
			return nil
		}
		left = least
	}
	w := &Waiter{kind: k, account: r.Account, excess: r.Excess, from: now, until: now.Add(max(left, least)), turn: make(chan struct{}, 1)}
	if q.ahead(k, now) {
		w.from = now.Add(least / 2)
	}
	k.count(w, 1)
	q.waiting = append(q.waiting, w)
	return w
}

// Leave ends a request's waiting.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.kind.count(w, -1)
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
	q.round = slices.DeleteFunc(q.round, func(o *Waiter) bool { return o == w })
}

// short reports whether a place was looked for in vain just now.
func (q *Queue) short(now time.Time) bool { return now.Sub(q.none) < noneFor }

// yields reports whether an account's excess gets no place now: others have
// lately been refused for want of one, and there is none. Where it only comes a
// little late to others, their places are worth more to whoever takes them.
func (q *Queue) yields(now time.Time) bool {
	if !q.short(now) {
		return false
	}
	for _, k := range q.kinds {
		if k.refused.Get(now) >= shortage {
			return true
		}
	}
	return false
}

// Offer starts a round: a place may have come free. The first in the order looks
// for one, then the next.
func (q *Queue) Offer(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 || now.Sub(q.offered) < offerGap {
		return
	}
	q.offered = now
	q.round = q.ordered(now)
	q.next()
}

// None notes that a request has looked for a place and found none.
func (q *Queue) None(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.none = now
}

// Pass hands the turn on after a request has looked for a place.
func (q *Queue) Pass() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next()
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Kinds returns how many kinds of request are known.
func (q *Queue) Kinds() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.kinds)
}

// Turn tells when the request may look for a place.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Until is when the request gives up.
func (w *Waiter) Until() time.Time { return w.until }

func (q *Queue) next() {
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

// before is how many of the kind that wait go before a request.
func (k *kind) before(r Request) int {
	if r.Excess {
		return k.waiting
	}
	return k.waiting - k.excess
}

func (k *kind) count(w *Waiter, n int) {
	k.waiting += n
	if w.excess {
		k.excess += n
	}
}

// expected is how long a request of a kind would wait behind some others.
func (q *Queue) expected(k *kind, before int, now time.Time) time.Duration {
	places := k.got.Get(now)
	if places <= 0 {
		return math.MaxInt64
	}
	return time.Duration(float64(before+1) / places * float64(rateMemory))
}

// ahead reports whether a larger share of a kind was served than of another that
// is being refused.
//
// Kinds that may begin later wait for longer, and there is nearly always one of
// them to take the next place. A larger share of them would be served than of the
// urgent, which have given up.
func (q *Queue) ahead(k *kind, now time.Time) bool {
	own := k.share(now)
	for _, o := range q.kinds {
		if o != k && o.refused.Get(now) >= shortage && o.share(now) < own-evenness {
			return true
		}
	}
	return false
}

// share is the part of a kind's requests that were served lately, a rank being
// worth some parts in a hundred.
func (k *kind) share(now time.Time) float64 {
	return k.served.Get(now)/max(k.asked.Get(now), 1) + rankStep*float64(k.priority)
}

// ordered returns those that wait in the order in which they get places: first
// the kinds of which the smallest share was served, a rank being worth some
// parts in a hundred; within a kind by arrival; what is an account's excess last.
//
// Were the most urgent always first, the others would starve in an overload
// that the urgent alone fill; by arrival alone, kinds with short objectives give
// up while the others wait.
func (q *Queue) ordered(now time.Time) []*Waiter {
	list := slices.DeleteFunc(slices.Clone(q.waiting), func(w *Waiter) bool { return now.Before(w.from) })
	share := make(map[*kind]float64, len(q.kinds))
	for _, k := range q.kinds {
		share[k] = k.share(now)
	}
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		return cmp.Compare(share[a.kind]+a.behind(), share[b.kind]+b.behind())
	})
	return list[:min(len(list), roundLength)]
}

// behind is how far behind others of its kind a request is, in parts of a served
// share.
func (w *Waiter) behind() float64 {
	if w.excess {
		return excessStep
	}
	return accountStep * float64(w.account)
}

func (q *Queue) kind(r Request) *kind {
	k := q.kinds[r.Kind]
	if k == nil {
		k = &kind{
			asked: rates.Decayed{Memory: shareMemory}, served: rates.Decayed{Memory: shareMemory},
			got: rates.Decayed{Memory: rateMemory}, refused: rates.Decayed{Memory: rateMemory},
		}
		q.kinds[r.Kind] = k
	}
	k.priority = r.Priority
	return k
}

func (q *Queue) forget(now time.Time) {
	maps.DeleteFunc(q.kinds, func(_ string, k *kind) bool {
		return k.waiting == 0 && k.asked.Get(now) < asksForgotten
	})
}
