package gateway

import (
	"context"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// maxTries bounds how many endpoints are tried for one request, including
	// those that could not be reached or refused it.
	maxTries = 5
)

// Results of an attempt.
const (
	// resultDone means that the caller has its response.
	resultDone result = iota
	// resultNotSent means that the endpoint was not reached.
	resultNotSent
	// resultWithdrawn means that the endpoint became unavailable before the send.
	resultWithdrawn
	// resultNotRun means that the endpoint did not run the request.
	resultNotRun
	// resultBroken means that the request may have run, without a usable response.
	resultBroken
	// resultCallerGone means that the caller has disconnected.
	resultCallerGone
	// resultCut means that the caller has part of a response that cannot be resumed.
	resultCut
	// resultDropped means that another endpoint's response was used.
	resultDropped
)

// result is how an attempt ended for the call.
type result int

// run tries endpoints until the caller has its response, or cannot get one.
func (c *call) run(ctx context.Context) {
	defer c.dropNext()
	if ref := c.isolated(); ref != nil {
		c.refuse(ref)
		return
	}
	for try := 0; ; try++ {
		res, ref := c.try(ctx)
		if ref == nil {
			if res == resultDone || res == resultCallerGone {
				return
			}
			ref = c.retry(ctx, res, try)
		}
		if ref != nil {
			c.refuse(ref)
			return
		}
	}
}

// try tries one endpoint, or has another node serve the request.
func (c *call) try(ctx context.Context) (result, *refusal) {
	if c.next != nil {
		return c.adopt(ctx), nil
	}
	if c.late() {
		return 0, c.giveUp(reasonStopping)
	}
	for {
		if c.mayAskOwner() {
			if res, ref, taken := c.handToOwner(ctx); taken {
				return res, ref
			}
		}
		if c.mayHandOver() {
			if res, ref, taken := c.handOver(ctx); taken {
				return res, ref
			}
		}
		c.count()
		choice, ref := c.acquire(ctx)
		if ref != nil {
			return 0, ref
		}
		if choice == nil {
			// Meanwhile this node has lost the service.
			continue
		}
		return c.attempt(ctx, choice), nil
	}
}

// count counts the request in the retry budget and for its account, once.
func (c *call) count() {
	if c.progress.counted {
		return
	}
	c.progress.counted = true
	c.handler.config.Budget.Request(c.started, c.service.Name)
	c.progress.excess = c.queue().Arrived(c.started, c.admissionRequest())
}

// retry returns nil if the request may be tried again, otherwise the refusal that
// says why not.
func (c *call) retry(ctx context.Context, res result, try int) *refusal {
	switch res {
	case resultNotSent:
		c.progress.reason = reasonUnreachable
	case resultWithdrawn:
		c.progress.reason = reasonWithdrawn
	case resultNotRun:
		c.progress.sends++
		c.progress.reason = reasonNotRun
	default:
		c.progress.sends++
		c.progress.runs++
		c.progress.reason = reasonBroken
	}
	if ctx.Err() != nil || c.overdue() {
		// What has run elsewhere in the meantime counts.
		c.dropNext()
		return c.giveUp(reasonTimeout)
	}
	if res == resultCut {
		return unknown(reasonBroken)
	}
	if c.next != nil {
		// Its retry is already taken from the budget.
		return nil
	}
	if res == resultBroken && (!c.route.Kind.Retryable() || c.progress.runs >= c.route.Attempts) {
		return c.giveUp(reasonBroken)
	}
	if try+1 >= maxTries {
		return c.giveUp(c.progress.reason)
	}
	paid := c.paid
	c.paid = false
	if res != resultNotSent && res != resultWithdrawn && !paid && !c.handler.config.Budget.Retry(time.Now(), c.service.Name) {
		return c.giveUp(reasonBudget)
	}
	return nil
}

// giveUp returns the refusal of a request that is not tried again. It says that the
// request did not run only if that is certain.
func (c *call) giveUp(reason string) *refusal {
	if reason == reasonTimeout && c.handler.ending.Err() != nil {
		reason = reasonStopping
	}
	if c.progress.runs > 0 {
		return unknown(reason)
	}
	return notRun(reason, max(time.Duration(retryShare*float64(c.route.Objective)), minRetryDelay))
}

// exclusive reports whether all requests for the call's service pass through this node.
func (c *call) exclusive() bool { return c.handler.config.Owned(c.service.Name) }

// late reports whether the node is being stopped and ends its requests before a response to
// this one is due, so that an endpoint would run it in vain.
func (c *call) late() bool {
	closes := c.handler.config.Closes()
	return !closes.IsZero() && time.Until(closes) < c.route.Objective
}

// owned reports whether another node has handed the request over while services may have
// owners.
func (c *call) owned() bool { return c.handed != nil && c.handler.config.Owners != nil }

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool { return c.in.Context().Err() != nil }

// attempt sends the request to an endpoint and forwards the response.
func (c *call) attempt(ctx context.Context, choice *balance.Choice) result {
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	a := c.newAttempt(choice, cancel)
	a.reservation, c.reservation = c.reservation, ""
	a.lastEvent, a.newConn = c.progress.lastEvent, c.progress.noResponse
	res := a.run(ctx, func() (*http1.Exchange, result) { return a.send(sending) })
	c.attempted(a, res)
	return res
}

func (c *call) newAttempt(choice *balance.Choice, cancel context.CancelFunc) *attempt {
	return &attempt{call: c, choice: choice, outcome: balance.Unknown, started: time.Now(), cancel: cancel}
}

// attempted records an attempt that has ended.
func (c *call) attempted(a *attempt, res result) {
	c.progress.last = a.end(res)
	c.progress.tried = append(c.progress.tried, a.choice.Endpoint.Start())
	c.progress.noResponse = c.progress.noResponse || a.noResponse
}

// String returns the result's name in logs and metrics.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "withdrawn", "not-run", "broken", "caller-gone", "cut", "dropped"}[r]
}

// endpointIDs returns the IDs of endpoints, for logs.
func endpointIDs(starts []deployment.Start) []string {
	list := make([]string, len(starts))
	for i, s := range starts {
		list[i] = s.ID
	}
	return list
}
