package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// brittleLimit is how many requests a brittle endpoint may turn away in a second,
	// and brittleWaiting how many wait there after brittleNotice, for which it has said
	// so before.
	brittleLimit   = 4
	brittleWaiting = 1
	brittleNotice  = 3 * time.Second
	// rushTime is how long rushCallers send to them as fast as they get answers.
	rushTime    = 3 * time.Second
	rushCallers = 48
	// rushPause is how long a caller of them waits after a refusal.
	rushPause = 20 * time.Millisecond
)

// brittles sums up how often brittle endpoints fell over while nothing else was wrong.
type brittles struct {
	mu     sync.Mutex
	rushes int
	falls  int
	broken []string
}

// record records a rush to some endpoints.
func (b *brittles) record(falls, endpoints int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rushes++
	b.falls += falls
	if falls > 2+endpoints/10 {
		b.broken = append(b.broken, fmt.Sprintf("%d of %d brittle endpoints fell over in a rush", falls, endpoints))
	}
}

// count returns the number of rushes, and of falls in them.
func (b *brittles) count() (rushes, falls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rushes, b.falls
}

func (b *brittles) check() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.broken
}

// rushBrittle makes the endpoints of the small service brittle, and lets callers rush to
// them.
func (s *soak) rushBrittle(ctx context.Context, r *rand.Rand) string {
	if !s.rushing.TryLock() {
		return ""
	}
	defer s.rushing.Unlock()
	list := s.world.endpointsOf(serviceSmall)
	set := func(on bool, waiting int) {
		for _, e := range list {
			e.standIn.SetBrittle(on, brittleLimit, waiting)
		}
	}
	began, before := time.Now(), fallsOf(list)
	set(true, smallQueue)
	s.rush(ctx, 2, brittleNotice, r.Uint64())
	set(true, brittleWaiting)
	s.rush(ctx, rushCallers, rushTime, r.Uint64())
	falls := fallsOf(list) - before
	set(false, 0)
	s.ledger.mu.Lock()
	calm := s.ledger.nodesUndisturbed(began, time.Now())
	s.ledger.mu.Unlock()
	if calm {
		s.ledger.brittles.record(falls, len(list))
	}
	return fmt.Sprintf("%d falls, calm %t", falls, calm)
}

// rush lets callers send requests to the small service one after another.
func (s *soak) rush(ctx context.Context, count int, d time.Duration, seed uint64) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			c := s.callers.caller(rand.New(rand.NewPCG(seed, uint64(n))))
			for ctx.Err() == nil {
				addr, ok := c.address()
				if !ok {
					return
				}
				id := fmt.Sprintf("small-%d", c.next.Add(1))
				c.ledger.recordRequest(id, safe)
				a := c.send(ctx, addr, "small", id, "body of "+id, callerTimeout)
				if a.cut = a.cut && ctx.Err() == nil; a.status != http.StatusOK {
					time.Sleep(rushPause)
				}
				c.ledger.recordAnswer(id, a)
			}
		})
	}
	group.Wait()
}

func fallsOf(list []*endpoint) int {
	n := 0
	for _, e := range list {
		n += e.standIn.Falls()
	}
	return n
}

// endpointsOf returns the endpoints of a service that are not leaving.
func (w *world) endpointsOf(service string) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*endpoint
	for _, e := range w.endpoints {
		if e.service == service {
			list = append(list, e)
		}
	}
	return list
}
