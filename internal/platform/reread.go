package platform

import (
	"context"
	"sync"
)

// rereads signals topics to read with Get now instead of watching. A process
// that was paused may hold a watch whose connection was dropped long ago, and
// would otherwise wait until the watch ends.
type rereads struct {
	mu sync.Mutex
	// next is closed by the next trigger.
	next chan struct{}
}

func newRereads() *rereads { return &rereads{next: make(chan struct{})} }

// trigger cancels watches in progress and makes every topic read.
func (r *rereads) trigger() {
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

// follow calls trigger for each request until ctx ends.
func (r *rereads) follow(ctx context.Context, requests <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-requests:
			r.trigger()
		}
	}
}

// cancelOn returns a context that is also canceled when signal is closed.
func cancelOn(ctx context.Context, signal <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-ctx.Done():
		case <-signal:
			cancel()
		}
	}()
	return ctx, cancel
}
