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

// admissionRequest returns what the call's order in the queue depends on.
func (c *call) admissionRequest() admission.Request {
	r := admission.Request{Kind: c.route.Name, Priority: c.route.Priority, Objective: c.route.Objective}
	if c.account != nil {
		r.AccountPriority, r.Account, r.Excess = c.account.Priority, c.account.Name, c.progress.excess
	}
	if c.cost != nil {
		r.Came, r.Deadline, r.Work, r.Tokens = c.started, c.deadline, c.work, c.prompt.Own+c.prompt.Shared
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
	if c.progress.started {
		// A begun response goes first in either order.
		q = c.handler.queues.byShares(c.service.Name)
	}
	request := c.admissionRequest()
	request.Begun = c.progress.started
	tried := q.MayTry(began, request)
	if tried {
		if choice := c.choose(ctx, began, nil); choice != nil {
			return choice, nil
		}
	}
	if c.cost != nil && !request.Begun {
		return c.waitByCost(ctx, began, tried && c.promptKey == "")
	}
	w := q.Join(time.Now(), request)
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
		if c.owned() && !c.handler.config.Reach.Reaches(c.service.Name) {
			// The node that has handed the request over may reach the service.
			return nil, c.giveUp(reasonUnreachable)
		}
		select {
		case <-w.Turn():
			choice := c.choose(ctx, began, nil)
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

// waitByCost waits in a queue by cost, like acquire. The queue starts the rounds, and
// wakes a request that it has given up.
func (c *call) waitByCost(ctx context.Context, began time.Time, tried bool) (*balance.Choice, *refusal) {
	q := c.cost
	w := q.Join(time.Now(), c.admissionRequest())
	if w == nil {
		return c.lastLook(ctx, began, tried)
	}
	defer q.Leave(w)
	if ref := c.backoffRefusal(w.Deadline()); ref != nil {
		return nil, ref
	}
	q.poll(func() bool { return c.handler.config.Reach.Reaches(c.service.Name) })
	expired := time.NewTimer(time.Until(w.Deadline()))
	defer expired.Stop()
	for {
		woken := q.wake()
		if ref := c.isolated(); ref != nil {
			return nil, ref
		}
		if c.mayHandOver() {
			return nil, nil
		}
		select {
		case <-w.Turn():
			choice, ref := c.takeTurn(ctx, began, w)
			if choice != nil || ref != nil {
				return choice, ref
			}
		case <-woken:
		case <-w.Rejected():
			return c.lastLook(ctx, began, false)
		case <-expired.C:
			return c.lastLook(ctx, began, false)
		case <-ctx.Done():
			return nil, c.giveUp(reasonTimeout)
		}
	}
}

// takeTurn has a waiting call look for a slot. It returns neither a choice nor a refusal
// if there is none yet.
func (c *call) takeTurn(ctx context.Context, began time.Time, w *admission.Waiter) (*balance.Choice, *refusal) {
	if ref := c.isolated(); ref != nil {
		return nil, ref
	}
	choice := c.choose(ctx, began, w)
	w.Searched()
	c.cost.NextTurn()
	if choice != nil {
		return choice, nil
	}
	if reason := c.blockedReason(); reason != "" {
		return nil, c.giveUp(reason)
	}
	return nil, c.backoffRefusal(w.Deadline())
}

// lastLook refuses the call unless it has not looked for a slot itself just before and
// there is one: others that wait may not be allowed to use the endpoints that it may.
func (c *call) lastLook(ctx context.Context, began time.Time, looked bool) (*balance.Choice, *refusal) {
	if !looked {
		// Without a beginning, it takes a slot of any endpoint.
		if choice := c.choose(ctx, time.Time{}, nil); choice != nil {
			return choice, nil
		}
	}
	return nil, c.refuseNoSlot(began)
}

// choose chooses an endpoint that has a free slot now, or returns nil; w is nil if the
// call does not wait.
func (c *call) choose(ctx context.Context, began time.Time, w *admission.Waiter) *balance.Choice {
	h := c.handler.config
	stay := began.Add(time.Duration(affinityShare * float64(c.route.Objective)))
	for ctx.Err() == nil {
		now := time.Now()
		choice := h.Balancer.Choose(now, c.endpoints(), c.balanceRequest(now.Before(stay), c.exclusive()))
		if choice == nil {
			if !c.progress.started {
				// A begun stream may not use every endpoint.
				c.queue().NoPlace(now)
			}
			return nil
		}
		s := c.reserve(ctx, choice)
		if s.denied {
			c.release(choice, s)
			continue
		}
		c.reservation = s.reservation
		h.Balancer.Sent(now, choice)
		c.countAdmitted(now)
		c.tookSlot(now, w)
		return choice
	}
	return nil
}

// balanceRequest returns what the choice of an endpoint depends on. Exclusive says that
// all requests for the service pass through this node.
func (c *call) balanceRequest(waitForHolder, exclusive bool) balance.Request {
	return balance.Request{
		Service: c.service, Key: c.promptKey, Tried: c.progress.tried, AllowTried: c.fallback != nil, Repeatable: c.canRetry(), WaitForHolder: waitForHolder,
		Objective: c.route.Objective, Prompt: c.prompt, Exclusive: exclusive,
	}
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
	ref := c.giveUp(reason)
	if c.cost != nil {
		if retryAfter := c.logRejected(reason, began); ref.retryAfter > 0 {
			ref.retryAfter = retryAfter
		}
	}
	return ref
}
