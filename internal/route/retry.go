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
// zone in which no attempt failed where there is one: what fails in a zone often
// fails in all of it.
//
// An endpoint that the request failed at comes after all others. It would fail
// there again and use up its attempts, while a healthy endpoint that was full a
// moment ago has room the next.
func (p *Plan) prefer(pool *kernel.Pool, order []int) (kernel.Endpoint, bool) {
	var second, last *kernel.Endpoint
	pending := false
	for _, i := range order {
		e := &pool.Endpoints[i]
		switch {
		case p.failed[e.Name]:
			if last == nil && !p.tried[e.Name] {
				last = e
			}
		case p.tried[e.Name]:
			pending = true
		case !p.failedZones[e.Zone]:
			return *e, true
		case second == nil:
			second = e
		}
	}
	switch {
	case second != nil:
		return *second, true
	case last != nil && !pending:
		return *last, true
	default:
		return kernel.Endpoint{}, false
	}
}

// fail notes an attempt that failed.
func (p *Plan) fail() {
	p.tried[p.next.Name] = true
	p.failed[p.next.Name] = true
	p.failedZones[p.next.Zone] = true
}
