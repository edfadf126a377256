package route

import "bulrushhinge.example/bulrushhinge/internal/kernel"

const (
	// retryShare is how many repeats a node makes at most for each request that
	// it starts, over a while.
	retryShare = 0.1
	// retryBurst is how many repeats it may make at once.
	retryBurst = 20
)

// budget bounds the repeats of a node.
//
// When many endpoints fail at once, every request on them is repeated, up to
// the number of attempts that one may have. The endpoints that are left get a
// multiple of their load just then and fail too. Repeats are therefore bounded
// to a share of the requests; as each node keeps to it, so does the fleet.
type budget struct {
	left float64
}

func newBudget() *budget { return &budget{left: retryBurst} }

// earn notes a request that starts.
func (b *budget) earn() { b.left = min(b.left+retryShare, retryBurst) }

// spend takes one repeat, or reports false where none is left.
func (b *budget) spend() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// spend reports whether a request may be repeated.
func (r *Router) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retries.spend()
}

// prefer returns the first endpoint that was not tried, one of an availability
// zone in which no attempt failed where there is one. What fails in a zone often
// fails in all of it.
func (p *Plan) prefer(pool *kernel.Pool, order []int) (kernel.Endpoint, bool) {
	var second *kernel.Endpoint
	for _, i := range order {
		e := &pool.Endpoints[i]
		switch {
		case p.tried[e.Name]:
		case !p.failed[e.Zone]:
			return *e, true
		case second == nil:
			second = e
		}
	}
	if second == nil {
		return kernel.Endpoint{}, false
	}
	return *second, true
}

// fail notes an attempt that failed, and that the next one is a repeat.
func (p *Plan) fail() {
	p.tried[p.next.Name] = true
	p.failed[p.next.Zone] = true
	p.repeat = true
}
