package admission

import (
	"cmp"
	"slices"
	"time"
)

// overserved reports whether a larger share of a kind was served than of another kind
// that is being refused.
//
// Kinds with longer objectives wait longer, and one of them is nearly always there to
// take the next place. Without this, a larger share of them would be served than of
// the urgent kinds, which have given up by then.
func (q *Queue) overserved(k *kind, now time.Time) bool {
	own := k.weightedShare(now)
	for _, o := range q.kinds {
		if o != k && o.refused.Get(now) >= minRefused && o.weightedShare(now) < own-shareTolerance {
			return true
		}
	}
	return false
}

// weightedShare is the fraction of a kind's recent requests that were served, plus
// priorityStep for each step of its priority.
func (k *kind) weightedShare(now time.Time) float64 {
	return k.served.Get(now)/max(k.requested.Get(now), 1) + priorityStep*float64(k.priority)
}

// ordered returns the waiting requests in the order in which they get places: the
// kind with the smallest weighted share first, within a kind by arrival, and an
// account's excess last.
//
// If the most urgent kind always came first, the others would starve in an overload
// by urgent requests alone; by arrival alone, kinds with short objectives would give
// up while the others wait.
func (q *Queue) ordered(now time.Time) []*Waiter {
	list := q.inOrder(now, slices.DeleteFunc(slices.Clone(q.waiting), func(w *Waiter) bool { return now.Before(w.notBefore) }))
	return list[:min(len(list), roundSize)]
}

// inOrder sorts waiting requests by the order of ordered.
func (q *Queue) inOrder(now time.Time, list []*Waiter) []*Waiter {
	shares := make(map[*kind]float64, len(q.kinds))
	for _, k := range q.kinds {
		shares[k] = k.weightedShare(now)
	}
	slices.SortStableFunc(list, func(a, b *Waiter) int {
		return cmp.Compare(shares[a.kind]+a.penalty(), shares[b.kind]+b.penalty())
	})
	return list
}

// penalty is how far a request is put behind others of its kind, in units of a served
// share; a negative one puts it ahead.
func (w *Waiter) penalty() float64 {
	if w.begun {
		return -excessPenalty
	}
	if w.excess {
		return excessPenalty
	}
	return accountPriorityStep * float64(w.account)
}
