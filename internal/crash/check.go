package crash

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// checkTimeout bounds each question whether an endpoint accepts connections: some
	// round trips between availability zones.
	checkTimeout = 100 * time.Millisecond
	// firstAsked is how many other endpoints of the service are asked first, and
	// maxAsked how many in all if none of these accepts a connection: most of a service
	// may be silent.
	firstAsked = 2
	maxAsked   = 16
)

type (
	// Prober asks endpoints whether they run.
	Prober interface {
		// Probe opens a connection to an address and closes it again.
		Probe(ctx context.Context, addr netip.AddrPort) http1.ProbeResult
	}

	// checks are the questions in progress. An endpoint that ends breaks all of its
	// runs at once, and is asked once for them.
	checks struct {
		prober Prober
		mu     sync.Mutex
		by     map[deployment.Start]*check
	}

	check struct {
		done   chan struct{}
		answer answer
	}

	// answer is what a check found out.
	answer struct {
		// refused says that the endpoint refuses connections, accepted that it accepts
		// them.
		refused, accepted bool
		// reached says that another endpoint of its service accepts them. Otherwise
		// unreached are those that were asked, and refusing those of them that refused.
		reached             bool
		unreached, refusing []deployment.Start
	}
)

// ask asks an endpoint of which a run has just broken for a connection. If it refuses,
// others of its service are asked.
//
// A node that is cut off from a service may be refused connections by all of its
// endpoints at once. If that counted as their end, requests that other nodes serve
// would be isolated at all nodes.
func (c *checks) ask(e *deployment.Endpoint, others []*deployment.Endpoint) answer {
	start := e.Start()
	current, joined := c.join(start)
	if joined {
		<-current.done
		if current.answer.refused {
			return current.answer
		}
		// That question may have been asked before this run broke.
		if current, joined = c.join(start); joined {
			<-current.done
			return current.answer
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	switch c.prober.Probe(ctx, e.Addr) {
	case http1.Refused:
		current.answer = c.askOthers(e, others)
	case http1.Accepted:
		current.answer.accepted = true
	}
	c.mu.Lock()
	delete(c.by, start)
	c.mu.Unlock()
	close(current.done)
	return current.answer
}

// askOthers asks other endpoints than one that has refused a connection.
func (c *checks) askOthers(e *deployment.Endpoint, list []*deployment.Endpoint) answer {
	var others []*deployment.Endpoint
	for _, i := range rand.Perm(len(list)) {
		if other := list[i]; other.Addr != e.Addr && !other.Replaced && len(others) < maxAsked {
			others = append(others, other)
		}
	}
	first := min(len(others), firstAsked)
	a := answer{refused: true}
	a.reached = c.anyAccepts(&a, others[:first]) || c.anyAccepts(&a, others[first:])
	return a
}

// anyAccepts asks endpoints side by side, and reports whether one accepts a connection.
func (c *checks) anyAccepts(a *answer, list []*deployment.Endpoint) bool {
	type asked struct {
		start  deployment.Start
		result http1.ProbeResult
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	results := make(chan asked, len(list))
	for _, e := range list {
		go func() { results <- asked{start: e.Start(), result: c.prober.Probe(ctx, e.Addr)} }()
	}
	for range list {
		r := <-results
		if r.result == http1.Accepted {
			return true
		}
		a.unreached = append(a.unreached, r.start)
		if r.result == http1.Refused {
			a.refusing = append(a.refusing, r.start)
		}
	}
	return false
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
