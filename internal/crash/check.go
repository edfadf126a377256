package crash

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// checkTimeout bounds the question whether an endpoint has ended: some round trips
// between availability zones.
const checkTimeout = 100 * time.Millisecond

type (
	// Prober asks endpoints whether they run.
	Prober interface {
		// Refuses reports whether nothing listens at an address. Any other error is
		// no proof of that.
		Refuses(ctx context.Context, addr netip.AddrPort) bool
	}

	// checks are the questions in progress. An endpoint that ends breaks all of its
	// runs at once, and is asked once for them.
	checks struct {
		prober Prober
		mu     sync.Mutex
		by     map[deployment.Start]*check
	}

	check struct {
		done  chan struct{}
		ended bool
	}
)

// ended asks an endpoint of which a run has just broken whether it has ended.
func (c *checks) ended(start deployment.Start, addr netip.AddrPort) bool {
	current, joined := c.join(start)
	if joined {
		<-current.done
		if current.ended {
			return true
		}
		// That question may have been asked before this run broke.
		if current, joined = c.join(start); joined {
			<-current.done
			return current.ended
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	current.ended = c.prober.Refuses(ctx, addr)
	c.mu.Lock()
	delete(c.by, start)
	c.mu.Unlock()
	close(current.done)
	return current.ended
}

// join returns the endpoint's check, and whether another run has begun it.
func (c *checks) join(start deployment.Start) (current *check, joined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if current = c.by[start]; current != nil {
		return current, true
	}
	current = &check{done: make(chan struct{})}
	c.by[start] = current
	return current, false
}
