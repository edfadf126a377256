package balance

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// trialGap is the time between two requests that try an endpoint after its rest.
const trialGap = 250 * time.Millisecond

// rest is an endpoint's wish to get nothing from this node for a time.
type rest struct {
	until time.Time
	// trial says that it gets one request now and then until it has taken one, and
	// tried is when one was last sent.
	trial bool
	tried time.Time
}

// Rest notes that an endpoint wants nothing from this node for a time. A shorter
// wish does not end a longer one, nor does an answer to a request that it got before.
func (b *Balancer) Rest(now time.Time, s deployment.Start, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := &b.get(s, now).rest
	r.trial = true
	if until := now.Add(d); until.After(r.until) {
		r.until = until
	}
}

// Takes notes that an endpoint has taken a request.
func (b *Balancer) Takes(now time.Time, s deployment.Start) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.own[s]; o != nil && !o.rest.lasts(now) {
		o.rest.trial = false
	}
}

// Resting returns until when all endpoints of a list that may be sent requests want
// nothing from this node, and reports false if one does not.
func (b *Balancer) Resting(now time.Time, list ...*deployment.Endpoint) (first time.Time, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		if !e.Takes() {
			continue
		}
		o := b.own[e.Start()]
		if o == nil || !o.rest.lasts(now) {
			return time.Time{}, false
		}
		if first.IsZero() || o.rest.until.Before(first) {
			first = o.rest.until
		}
	}
	return first, !first.IsZero()
}

// lasts reports whether the endpoint still wants nothing.
func (r *rest) lasts(now time.Time) bool { return now.Before(r.until) }

// closes reports whether the endpoint gets no request now. After its rest all that
// wait here would come to it at once.
func (r *rest) closes(now time.Time) bool {
	return r.lasts(now) || r.trial && now.Sub(r.tried) < trialGap
}
