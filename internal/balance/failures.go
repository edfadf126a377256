package balance

import (
	"math"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/rates"
)

const (
	// failureMemory is the time over which failed attempts count: long compared with
	// the propagation delay of gossip, short compared with the duration of a fault.
	failureMemory = 2 * time.Second
	// minFailures is the number of failures, over all nodes, below which they are
	// ignored.
	minFailures = 4
	// unrepeatableFactor scales the number of failures from which an endpoint is
	// avoided, for requests that may not be repeated.
	unrepeatableFactor = 0.5
)

// Failures returns the number of this node's attempts that failed recently, by the
// Key of the endpoint's Start, for the other nodes.
func (b *Balancer) Failures(now time.Time) map[uint32]int {
	return b.counts(func(o *endpointState) int { return int(math.Round(o.failures.Get(now))) })
}

// ForgetFailures forgets the failures of attempts at endpoints: not they had failed but
// this node's path to them.
func (b *Balancer) ForgetFailures(list []*deployment.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		if o := b.endpoints[e.Start()]; o != nil {
			o.health = health{gone: o.health.gone}
			o.failures = rates.Decayed{TimeConstant: failureMemory}
		}
	}
}

// noteFailure counts an attempt if it failed at the endpoint.
func (s *endpointState) noteFailure(now time.Time, outcome Outcome) {
	switch outcome {
	case Failed, Unreachable, Gone:
		s.failures.Add(now)
	case Served, Refused, Unknown, ReservationRefused:
	}
}

// failing holds which endpoints fail far more of all nodes' attempts than the others
// of their service.
type failing struct {
	// failures are those of each endpoint, expected is the number of attempts at each
	// if all get the same number.
	failures []float64
	mean     float64
	expected float64
}

// failing sums up the failures that all nodes have seen at the endpoints.
//
// With many nodes and endpoints, each node sends an endpoint one request in ten
// seconds. If each had to find out for itself, hundreds of requests would fail at an
// endpoint that reports itself healthy.
func (b *Balancer) failing(now time.Time, states []*endpointState, service string) failing {
	if len(b.scratch.failures) < len(states) {
		b.scratch.failures = make([]float64, len(states))
	}
	f := failing{failures: b.scratch.failures[:len(states)]}
	for i, o := range states {
		f.failures[i] = o.failures.Get(now) + float64(b.config.Loads.OthersFailures(o.key))
		f.mean += f.failures[i] / float64(len(states))
	}
	if requests := b.requests[service]; requests != nil {
		f.expected = requests.Get(now) * float64(b.config.Nodes()) / float64(max(len(states), 1))
	}
	return f
}

// avoid reports whether a request should avoid an endpoint.
//
// Only requests that may be repeated try an endpoint again whose failures have almost
// expired: if it still fails, another endpoint answers them.
func (f *failing) avoid(i int, repeats bool) bool {
	threshold := max(minFailures, suspectShare*f.expected)
	if !repeats {
		threshold *= unrepeatableFactor
	}
	return f.failures[i] >= threshold && f.failures[i] > suspectTimes*f.mean
}
