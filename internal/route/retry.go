package route

import "bulrushhinge.example/bulrushhinge/internal/kernel"

const (
	// retryRatio is the greatest long-term ratio of retries to started requests of a
	// node.
	retryRatio = 0.1
	// retryBurst is the number of retries that it may make at once.
	retryBurst = 20
)

// retryBudget is a token bucket that bounds the retries of a node.
//
// When many endpoints fail at once, every request on them is retried, up to the
// number of attempts that a request may have. The remaining endpoints then receive a
// multiple of their load and fail too. Retries are therefore bounded to a fraction of
// the requests; as each node stays within its budget, so does the fleet.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// credit adds the share of a request that starts.
func (b *retryBudget) credit() { b.tokens = min(b.tokens+retryRatio, retryBurst) }

// take takes one retry, or reports false if none is left.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeRetry reports whether a request may be retried, and takes the retry from the
// node's budget.
func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget.take()
}

// pick returns the first endpoint that was not tried, if possible one in an
// availability zone in which no attempt failed: failures in a zone often affect all
// of it.
//
// An endpoint at which an attempt of this request failed comes after all others. It
// would fail again and use up the attempts, while a healthy endpoint that was full a
// moment ago may have room the next.
func (p *Plan) pick(pool *kernel.Pool, order []int) (kernel.Endpoint, bool) {
	var failedZone, failed *kernel.Endpoint
	healthyTried := false
	for _, i := range order {
		e := &pool.Endpoints[i]
		switch {
		case p.failed[e.Name]:
			if failed == nil && !p.tried[e.Name] {
				failed = e
			}
		case p.tried[e.Name]:
			healthyTried = true
		case !p.failedZones[e.Zone]:
			return *e, true
		case failedZone == nil:
			failedZone = e
		}
	}
	switch {
	case failedZone != nil:
		return *failedZone, true
	case failed != nil && !healthyTried:
		return *failed, true
	default:
		return kernel.Endpoint{}, false
	}
}

// recordFailure records a failed attempt.
func (p *Plan) recordFailure() {
	p.tried[p.endpoint.Name] = true
	p.failed[p.endpoint.Name] = true
	p.failedZones[p.endpoint.Zone] = true
}
