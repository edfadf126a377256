package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// backoffGrace is how long after a refusal requests may still be in flight, and
	// backoffSlack how many may reach the endpoint afterwards.
	backoffGrace = 500 * time.Millisecond
	backoffSlack = 2
)

type (
	// notices records the leave notices and backoffs that endpoints sent to nodes, and
	// the requests that reached the endpoints in spite of them.
	notices struct {
		mu      sync.Mutex
		origins map[string]origin
		// leaving is when a node incarnation forwarded an endpoint's leave notice.
		leaving  map[pair]time.Time
		backoffs map[pair][]backoff
		// pausedAt is when a node was last paused or resumed.
		pausedAt   map[string]time.Time
		impaired   map[string]bool
		violations []string
	}

	// incarnation is one start of a node's process.
	incarnation struct {
		node  string
		start int
	}

	// origin is the node incarnation to which a request was sent, and when.
	origin struct {
		incarnation
		at time.Time
	}

	// pair is a node incarnation and an endpoint.
	pair struct {
		incarnation
		endpoint string
	}

	// backoff is a backoff that an endpoint requested, and the requests sent during it
	// that reached the endpoint.
	backoff struct {
		at, until time.Time
		requests  []string
	}
)

func newNotices() *notices {
	return &notices{origins: map[string]origin{}, leaving: map[pair]time.Time{}, backoffs: map[pair][]backoff{}, pausedAt: map[string]time.Time{}, impaired: map[string]bool{}}
}

// sent records that a request is sent to a node.
func (n *notices) sent(id string, i incarnation, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.origins[id] = origin{incarnation: i, at: at}
}

// leaveForwarded records that a node forwarded an answer in which an endpoint says that
// it is leaving.
func (n *notices) leaveForwarded(id, endpoint string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pair{incarnation: n.origins[id].incarnation, endpoint: endpoint}
	if _, known := n.leaving[p]; !known && endpoint != "" {
		n.leaving[p] = at
	}
}

// recordPause records that a node was paused or resumed.
func (n *notices) recordPause(node string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedAt[node] = time.Now()
}

// setImpaired records whether an endpoint's connections are delayed or broken, and
// discards the endpoint's backoffs.
func (n *notices) setImpaired(endpoint string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.impaired[endpoint] = on
	for p := range n.backoffs {
		if p.endpoint == endpoint {
			delete(n.backoffs, p)
		}
	}
}

// arrived records a request that reached an endpoint. A positive duration means that
// the endpoint refused it and requested a backoff.
func (n *notices) arrived(id, endpoint string, duration time.Duration, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	o, known := n.origins[id]
	if !known {
		return
	}
	p := pair{incarnation: o.incarnation, endpoint: endpoint}
	if reported, ok := n.leaving[p]; ok && o.at.Sub(reported) > drainBound && !n.pausedAt[o.node].After(reported) {
		n.violations = append(n.violations, fmt.Sprintf("%s reached %s from %s, which had passed on %v before that it leaves", id, endpoint, o.node, o.at.Sub(reported)))
	}
	for i, r := range n.backoffs[p] {
		if o.at.Sub(r.at) > backoffGrace && at.Before(r.until) && !n.pausedAt[o.node].After(r.at) {
			n.backoffs[p][i].requests = append(r.requests, id)
		}
	}
	if duration > 0 && !n.impaired[endpoint] {
		n.backoffs[p] = append(n.backoffs[p], backoff{at: at, until: at.Add(duration)})
	}
}

// check returns the violations: requests that were sent in spite of a leave notice or a
// backoff.
func (n *notices) check() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, list := range n.backoffs {
		for _, r := range list {
			if len(r.requests) > backoffSlack {
				n.violations = append(n.violations, fmt.Sprintf("%d requests reached %s from %s, which it had asked for %v of rest: %v", len(r.requests), p.endpoint, p.node, r.until.Sub(r.at), r.requests))
			}
		}
	}
	return n.violations
}
