package balance

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// trialInterval is the time between two trial requests to an endpoint after its
// backoff.
const trialInterval = 250 * time.Millisecond

// backoff is the time for which an endpoint has asked for no requests from this node.
type backoff struct {
	until time.Time
	// trial limits the endpoint to one request per trialInterval until it has
	// accepted one; lastSent is when it was last sent one.
	trial    bool
	lastSent time.Time
}

// Backoff records that an endpoint asks for no requests from this node for a time. A
// shorter backoff does not end a longer one, nor does an answer to an earlier
// request.
func (b *Balancer) Backoff(now time.Time, s deployment.Start, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &b.state(s, now).backoff
	r.trial = true
	if until := now.Add(d); until.After(r.until) {
		r.until = until
	}
}

// Accepted records that an endpoint has accepted a request.
func (b *Balancer) Accepted(now time.Time, s deployment.Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.endpoints[s]; o != nil && !o.backoff.active(now) {
		o.backoff.trial = false
	}
}

// BackingOff returns when the first backoff ends, if all endpoints of a list that may be
// sent requests are in backoff, and reports false if one is not.
func (b *Balancer) BackingOff(now time.Time, list ...*deployment.Endpoint) (first time.Time, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		if !e.AcceptsRequests() {
			continue
		}
		o := b.endpoints[e.Start()]
		if o == nil || !o.backoff.active(now) {
			return time.Time{}, false
		}
		if first.IsZero() || o.backoff.until.Before(first) {
			first = o.backoff.until
		}
	}
	return first, !first.IsZero()
}

// active reports whether the endpoint's backoff still lasts.
func (b *backoff) active(now time.Time) bool { return now.Before(b.until) }

// blocks reports whether the endpoint may not be sent a request now. Trial requests
// come one at a time: after the backoff, all requests that wait here would be sent to
// it at once.
func (b *backoff) blocks(now time.Time) bool {
	return b.active(now) || b.trial && now.Sub(b.lastSent) < trialInterval
}
