// Package limit holds client accounts to their rates over the whole fleet
// without a shared counter. Its traffic side, the Limiter, admits requests
// within the node's share of each account's rate; its plug-in spreads the
// demand of heavy accounts between nodes and divides the rates by it.
package limit

import (
	"sync"
	"time"
)

const (
	// DefaultQueue is the requests of one account that wait at a node at most.
	DefaultQueue = 256
	// DefaultTotal is the requests of all accounts that wait at a node at most.
	DefaultTotal = 4096

	// idleBucket is how long an account without requests is remembered.
	idleBucket = time.Minute
)

// Kinds of steps.
const (
	// StepGo admits the request.
	StepGo StepKind = iota + 1
	// StepWait lets time pass until Until or until the entry's Wake.
	StepWait
	// StepRefuse refuses the request: its turn would come after its deadline.
	StepRefuse
)

type (
	// StepKind is what becomes of a request.
	StepKind int

	// Step is what to do next with a request.
	Step struct {
		Kind  StepKind
		Until time.Time
		// RetryAfter is when a refused request would have had its turn.
		RetryAfter time.Duration
	}

	// Ask asks for the admission of one request.
	Ask struct {
		Account string
		// Tokens is the prompt tokens and the tokens to generate.
		Tokens   int
		Priority int
		Deadline time.Time
	}

	// Share is the part of an account's rate that a node may use.
	Share struct {
		// Rate is in tokens a second.
		Rate float64
		// Burst is in tokens.
		Burst float64
	}

	// LimiterConfig is the settings of a Limiter; zero values are defaults.
	LimiterConfig struct {
		Queue int
		Total int
	}

	// Limiter admits requests within their accounts' shares. Requests over the
	// share wait in a queue of their own account, so that a surging account
	// delays nobody else. It is safe for concurrent use.
	Limiter struct {
		config  LimiterConfig
		mu      sync.Mutex
		buckets map[string]*bucket
		// initial holds the share that an account starts with; accounts that
		// are not in it have no limit.
		initial map[string]Share
		waiting int
		serial  uint64
	}
)

// NewLimiter returns a Limiter that limits no account until shares are set.
func NewLimiter(c LimiterConfig) *Limiter {
	if c.Queue == 0 {
		c.Queue = DefaultQueue
	}
	if c.Total == 0 {
		c.Total = DefaultTotal
	}
	return &Limiter{config: c, buckets: map[string]*bucket{}}
}

// Offer takes a request in; Poll tells what becomes of it.
func (l *Limiter) Offer(now time.Time, a Ask) *Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := &Entry{limiter: l, ask: a, wake: make(chan struct{}, 1)}
	share, limited := l.initial[a.Account]
	if !limited {
		e.state = entryAdmitted
		return e
	}
	b := l.buckets[a.Account]
	if b == nil {
		b = newBucket(now, share)
		l.buckets[a.Account] = b
	}
	l.serial++
	e.serial = l.serial
	e.bucket = b
	b.demand.add(now, float64(a.Tokens))
	b.insert(e)
	l.waiting++
	b.admit(now)
	if len(b.queue) > l.config.Queue || l.waiting > l.config.Total {
		last := b.queue[len(b.queue)-1]
		b.refuse(last, b.turn(now, len(b.queue)-1))
	}
	b.sweep(now)
	l.count()
	return e
}

// Demands returns what each account asked for of late, in tokens a second.
func (l *Limiter) Demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[string]float64, len(l.buckets))
	for account, b := range l.buckets {
		if rate := b.demand.rate(now); rate >= 1 {
			demands[account] = rate
		}
	}
	return demands
}

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// Limit sets the shares that accounts start with, and those of the accounts
// that have asked. The maps must not be changed afterwards.
func (l *Limiter) Limit(now time.Time, initial, shares map[string]Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initial = initial
	for account, b := range l.buckets {
		share, known := shares[account]
		if !known {
			share, known = initial[account]
		}
		if !known || len(b.queue) == 0 && b.demand.idle(now) {
			b.release()
			delete(l.buckets, account)
			continue
		}
		b.resize(now, share)
		b.admit(now)
		b.sweep(now)
	}
	l.count()
}

// count counts the waiting requests anew.
func (l *Limiter) count() {
	l.waiting = 0
	for _, b := range l.buckets {
		l.waiting += len(b.queue)
	}
}
