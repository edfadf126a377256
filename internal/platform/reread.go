package platform

import (
	"context"
	"sync"
)

// rereads tells topics to read plainly now. A process that was paused may hold
// a watch whose connection has long been dropped, and would otherwise wait for
// its end.
type rereads struct {
	mu sync.Mutex
	// next is closed at the next call.
	next chan struct{}
}

func newRereads() *rereads { return &rereads{next: make(chan struct{})} }

// call ends the waiting watches and makes every topic read.
func (r *rereads) call() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.next)
	r.next = make(chan struct{})
}

func (r *rereads) channel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// follow calls whenever asked to.
func (r *rereads) follow(ctx context.Context, asked <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			r.call()
		}
	}
}

// until returns a context that also ends at the next call.
func until(ctx context.Context, called <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-called:
			cancel()
		}
	}()
	return ctx, cancel
}
