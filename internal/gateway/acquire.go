package gateway

import (
	"context"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/admission"
	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// pollInterval is how often waiting requests look for slots that other nodes'
	// requests have freed.
	pollInterval = 5 * time.Millisecond
	// affinityShare is the share of the latency objective for which a request
	// accepts only an engine that keeps its prompt, while slots are scarce.
	affinityShare = 1.0 / 16
)

// queue returns the queue of the call's service.
func (c *call) queue() *admission.Queue {
	h := c.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[c.service.Name]
	if q == nil {
		q = admission.NewQueue()
		h.queues[c.service.Name] = q
	}
	return q
}

// admissionRequest returns what the call's order in the queue depends on.
func (c *call) admissionRequest() admission.Request {
	r := admission.Request{Kind: c.route.Name, Priority: c.route.Priority, Objective: c.route.Objective}
	if c.account != nil {
		r.AccountPriority, r.Account, r.Excess = c.account.Priority, c.account.Name, c.progress.excess
	}
	return r
}

// acquire chooses an endpoint, and waits if none has room. It returns neither a choice
// nor a refusal if another node should serve the request.
func (c *call) acquire(ctx context.Context) (*balance.Choice, *refusal) {
	if ref := c.isolated(); ref != nil {
		return nil, ref
	}
	if reason := c.blockedReason(); reason != "" {
		return nil, c.giveUp(reason)
	}
	q, began := c.queue(), time.Now()
	if q.MayTry(began, c.admissionRequest()) {
		if choice := c.choose(ctx, began); choice != nil {
			return choice, nil
		}
	}
	w := q.Join(time.Now(), c.admissionRequest())
	if w == nil {
		return nil, c.refuseNoSlot(began)
	}
	defer q.Leave(w)
	if ref := c.backoffRefusal(w.Deadline()); ref != nil {
		return nil, ref
	}
	for time.Now().Before(w.Deadline()) {
		if ref := c.isolated(); ref != nil {
			return nil, ref
		}
		if c.mayHandOver() {
			return nil, nil
		}
		select {
		case <-w.Turn():
			choice := c.choose(ctx, began)
			q.NextTurn()
			if choice != nil {
				return choice, nil
			}
			if reason := c.blockedReason(); reason != "" {
				return nil, c.giveUp(reason)
			}
			if ref := c.backoffRefusal(w.Deadline()); ref != nil {
				return nil, ref
			}
		case <-time.After(pollInterval):
			q.StartRound(time.Now())
		case <-ctx.Done():
			return nil, c.giveUp(reasonTimeout)
		}
	}
	return nil, c.refuseNoSlot(began)
}

// choose chooses an endpoint that has a free slot now, or returns nil.
func (c *call) choose(ctx context.Context, began time.Time) *balance.Choice {
	h := c.handler.config
	stay := began.Add(time.Duration(affinityShare * float64(c.route.Objective)))
	for ctx.Err() == nil {
		now := time.Now()
		choice := h.Balancer.Choose(now, c.endpoints(), balance.Request{
			Service: c.service, Key: c.promptKey, Tried: c.progress.tried, AllowTried: c.fallback != nil, Repeatable: c.canRetry(), WaitForHolder: now.Before(stay),
			Objective: c.route.Objective, Prompt: c.prompt, Exclusive: c.exclusive(),
		})
		if choice == nil {
			c.queue().NoPlace(now)
			return nil
		}
		if c.reserve(ctx, choice) {
			h.Balancer.Sent(now, choice)
			c.countAdmitted(now)
			return choice
		}
	}
	return nil
}

// countAdmitted counts a request that has got its first slot.
func (c *call) countAdmitted(now time.Time) {
	if !c.progress.admitted {
		c.progress.admitted = true
		c.queue().Admitted(now, c.admissionRequest())
	}
}

// refuseNoSlot refuses a request for which no endpoint has a free slot in time.
func (c *call) refuseNoSlot(began time.Time) *refusal {
	c.queue().Refused(time.Now(), c.admissionRequest())
	list := c.endpoints()
	reason := reasonFull
	switch {
	case len(list) == 0:
		reason = reasonNoEndpoint
	case c.progress.excess:
		reason = reasonExcess
	}
	c.log("no-place", decision.Fields{
		"service": c.service.Name, "endpoints": len(list), "tried": endpointIDs(c.progress.tried), "full": c.progress.full,
		"last": c.progress.reason, "waiting": c.queue().Waiting(), "waited_ms": time.Since(began).Milliseconds(),
	})
	return c.giveUp(reason)
}
