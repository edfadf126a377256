package caller

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
)

// slots limits the requests of a node and the memory for their bodies and
// answers. It is safe for concurrent use.
type slots struct {
	mu         sync.Mutex
	maxActive  int
	maxWaiting int
	maxAccount int
	active     *atomic.Int64
	waiting    int
	// accounts is the number of waiting requests by client account. Accounts
	// without waiting requests have no entry.
	accounts map[string]int
	// held is the reserved memory for request bodies and unstreamed answers, in
	// bytes, and maxHeld its limit.
	held    int64
	maxHeld int64
	// idle is closed and replaced whenever the last request in progress ends.
	idle chan struct{}
}

func newSlots(c Config) *slots {
	return &slots{
		maxActive:  c.MaxActive,
		maxWaiting: c.MaxWaiting,
		maxAccount: c.MaxAccount,
		maxHeld:    c.MaxHeld,
		active:     c.Active,
		accounts:   map[string]int{},
		idle:       make(chan struct{}),
	}
}

// enter takes the slot of a request in progress; leave frees it.
func (s *slots) enter() (leave func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active.Load() >= int64(s.maxActive) {
		return nil, false
	}
	s.active.Add(1)
	return s.leave, true
}

func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active.Add(-1) == 0 {
		close(s.idle)
		s.idle = make(chan struct{})
	}
}

// startWaiting takes the slot of a request that waits for an endpoint; done frees
// it and may be called more than once.
func (s *slots) startWaiting(account string) (done func(), p *problem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accounts[account] >= s.maxAccount {
		return nil, busy(http.StatusTooManyRequests, "the client account has too many waiting requests")
	}
	if s.waiting >= s.maxWaiting {
		return nil, busy(http.StatusServiceUnavailable, "the node has too many waiting requests")
	}
	s.waiting++
	s.accounts[account]++
	return sync.OnceFunc(func() { s.stopWaiting(account) }), nil
}

func (s *slots) stopWaiting(account string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.accounts[account]--
	if s.accounts[account] == 0 {
		delete(s.accounts, account)
	}
}

// drain waits until no request is in progress.
func (s *slots) drain(ctx context.Context) error {
	s.mu.Lock()
	active, idle := s.active.Load(), s.idle
	s.mu.Unlock()
	if active == 0 {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
