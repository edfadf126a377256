package balance

import (
	"math"
	"time"
)

const (
	// failureMemory is the time over which failed attempts count: long against
	// the time that news takes, short against a fault's.
	failureMemory = 2 * time.Second
	// leastFailures is how many of them, of all nodes, say anything.
	leastFailures = 4
	// carefulShare is the part of the failures from which an endpoint is avoided
	// that suffices for requests that may not be repeated.
	carefulShare = 0.5
)

// Failures returns this node's attempts that endpoints have failed lately, by the
// the Keys of the endpoints' starts, for the other nodes.
func (b *Balancer) Failures(now time.Time) map[uint32]int {
	return b.counts(func(o *own) int { return int(math.Round(o.failed.Get(now))) })
}

// noteFailure counts an attempt that an endpoint failed.
func (o *own) noteFailure(now time.Time, outcome Outcome) {
	switch outcome {
	case Failed, Unreachable, Gone:
		o.failed.Add(now)
	case Served, Refused, Unknown, Full:
	}
}

// failing tells which endpoints fail far more of all nodes' attempts than the
// others of their service.
type failing struct {
	// failed are the failures of each endpoint, and expected is how many attempts
	// each gets where all get as many.
	failed   []float64
	mean     float64
	expected float64
}

// failing sums up what all nodes have seen of the endpoints.
//
// Each node sends an endpoint one request in ten seconds where there are many of
// both. Were each to find out for itself, hundreds of requests would fail at an
// endpoint that says it is well.
func (b *Balancer) failing(now time.Time, known []*own, service string) failing {
	f := failing{failed: make([]float64, len(known))}
	for i, o := range known {
		f.failed[i] = o.failed.Get(now) + float64(b.config.Loads.OthersFailures(o.key))
		f.mean += f.failed[i] / float64(len(known))
	}
	if asked := b.asked[service]; asked != nil {
		f.expected = asked.Get(now) * float64(b.config.Nodes()) / float64(max(len(known), 1))
	}
	return f
}

// avoid reports whether an endpoint is to be passed over by a request.
//
// Only requests that may be repeated try an endpoint again whose failures are about
// to be forgotten: if it still fails, they are answered elsewhere.
func (f *failing) avoid(i int, repeats bool) bool {
	least := max(leastFailures, suspectShare*f.expected)
	if !repeats {
		least *= carefulShare
	}
	return f.failed[i] >= least && f.failed[i] > suspectTimes*f.mean
}
