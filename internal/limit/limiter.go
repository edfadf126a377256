// Package limit enforces the rates of client accounts across the fleet without a
// shared counter. The Limiter admits requests within the node's share of each
// account's rate. The plug-in propagates the demand of heavy accounts between nodes
// and divides the rates in proportion to it.
package limit

import (
	"sync"
	"time"
)

const (
	// DefaultMaxPerAccount is the default limit on waiting requests of one account
	// at a node.
	DefaultMaxPerAccount = 256
	// DefaultMaxWaiting is the default limit on waiting requests of all accounts at
	// a node.
	DefaultMaxWaiting = 4096

	// idleTimeout is how long the state of an account without requests is kept.
	idleTimeout = time.Minute
)

// Kinds of steps.
const (
	// StepAdmit admits the request.
	StepAdmit StepKind = iota + 1
	// StepWait waits until Until or the entry's Wake, whichever is first.
	StepWait
	// StepRefuse refuses the request: it would be admitted after its deadline, or
	// the queue is full.
	StepRefuse
)

type (
	// StepKind is the decision on a request.
	StepKind int

	// Step is the decision on a request and when to poll or retry.
	Step struct {
		Kind  StepKind
		Until time.Time
		// RetryAfter is the time until a refused request would have been admitted,
		// within bounds.
		RetryAfter time.Duration
	}

	// Request requests the admission of one request.
	Request struct {
		Account string
		// Tokens is the number of prompt tokens plus the tokens to generate.
		Tokens   int
		Priority int
		Deadline time.Time
	}

	// Share is the part of an account's rate that a node may use.
	Share struct {
		// Rate is in tokens per second.
		Rate float64
		// Burst is in tokens.
		Burst float64
	}

	// LimiterConfig configures the queues of a Limiter on one node; zero values are
	// defaults.
	LimiterConfig struct {
		MaxPerAccount int
		MaxWaiting    int
	}

	// Limiter admits requests within their accounts' shares. Requests above the
	// share wait in a queue per account, so that a surging account delays no other.
	// It is safe for concurrent use.
	Limiter struct {
		config  LimiterConfig
		mu      sync.Mutex
		buckets map[string]*bucket
		// initial holds the share that an account starts with; other accounts have
		// no limit.
		initial map[string]Share
		waiting int
		serial  uint64
	}
)

// NewLimiter returns a Limiter that limits no account until shares are set.
func NewLimiter(c LimiterConfig) *Limiter {
	if c.MaxPerAccount == 0 {
		c.MaxPerAccount = DefaultMaxPerAccount
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	return &Limiter{config: c, buckets: map[string]*bucket{}}
}

// Enqueue enqueues a request; Poll returns the decision on it.
func (l *Limiter) Enqueue(now time.Time, a Request) *Entry {
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
	if len(b.queue) > l.config.MaxPerAccount || l.waiting > l.config.MaxWaiting {
		last := b.queue[len(b.queue)-1]
		b.refuse(last, b.waitTime(now, len(b.queue)-1))
	}
	b.refuseLate(now)
	l.updateWaiting()
	return e
}

// Demands returns each account's recent demand in tokens per second.
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

// Waiting returns the number of waiting requests.
func (l *Limiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting
}

// SetShares sets the initial shares of all limited accounts, and the shares of those
// with recent requests. The maps must not be changed afterwards.
func (l *Limiter) SetShares(now time.Time, initial, shares map[string]Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initial = initial
	for account, b := range l.buckets {
		share, known := shares[account]
		if !known {
			share, known = initial[account]
		}
		if !known || len(b.queue) == 0 && b.demand.idle(now) {
			b.admitAll()
			delete(l.buckets, account)
			continue
		}
		b.resize(now, share)
		b.admit(now)
		b.refuseLate(now)
	}
	l.updateWaiting()
}

// updateWaiting recounts the waiting requests.
func (l *Limiter) updateWaiting() {
	l.waiting = 0
	for _, b := range l.buckets {
		l.waiting += len(b.queue)
	}
}
