package admission

import "time"

type (
	// Request holds what a request's position in the queue depends on.
	Request struct {
		// Kind names the requests that compete for places on equal terms: the route.
		Kind string
		// Priority is the kind's priority; 0 is the most urgent.
		Priority int
		// AccountPriority is the priority of the request's client account, which outweighs
		// the kind's.
		AccountPriority int
		// Account is the name of the account; empty if there is none.
		Account string
		// Excess reports whether Arrived has counted the request as its account's
		// excess.
		Excess bool
		// Objective is the time from the request's arrival within which the answer
		// should begin.
		Objective time.Duration
		// Begun reports whether the caller already has part of the answer. Such a request
		// goes first, and is not refused for the time that it has to wait.
		Begun bool

		// The other fields are used by CostQueue only.

		// Came is when the request arrived at the first node that received it.
		Came time.Time
		// Deadline is when its caller gives up or its route's timeout expires; zero if
		// that is unknown.
		Deadline time.Time
		// Work is the expected time in a slot at the endpoints' usual speed; 0 if it is
		// unknown.
		Work time.Duration
		// Tokens is the number of prompt tokens that are not cached plus the expected
		// output; 0 for plain services.
		Tokens int
	}

	// Waiter is a waiting request.
	Waiter struct {
		kind    *kind
		account int
		excess  bool
		begun   bool
		// notBefore is when the request may have its first turn.
		notBefore time.Time
		until     time.Time
		turn      chan struct{}
		// cost is the state in a CostQueue, otherwise nil.
		cost *costWaiter
	}
)

// Turn returns a channel that receives when the request may look for a place.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Rejected returns a channel that is closed when a CostQueue has given the request up.
func (w *Waiter) Rejected() <-chan struct{} {
	if w.cost == nil {
		return nil
	}
	return w.cost.rejected
}

// Searched records that a request in a CostQueue has looked for a place after its turn.
func (w *Waiter) Searched() {
	if w.cost != nil {
		w.cost.searching.Store(false)
	}
}

// Deadline is when the request gives up.
func (w *Waiter) Deadline() time.Time { return w.until }
