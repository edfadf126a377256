package gateway

import (
	"context"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
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
)

// result is how an attempt ended for the call.
type result int

// run tries endpoints until the caller has its response, or cannot get one.
func (c *call) run(ctx context.Context) {
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
		res := c.attempt(ctx, choice)
		c.progress.tried = append(c.progress.tried, choice.Endpoint.Start())
		return res, nil
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
		return c.giveUp(reasonTimeout)
	}
	if res == resultCut {
		return unknown(reasonBroken)
	}
	if res == resultBroken && (!c.route.Kind.Retryable() || c.progress.runs >= c.route.Attempts) {
		return c.giveUp(reasonBroken)
	}
	if try+1 >= maxTries {
		return c.giveUp(c.progress.reason)
	}
	if res != resultNotSent && res != resultWithdrawn && !c.handler.config.Budget.Retry(time.Now(), c.service.Name) {
		return c.giveUp(reasonBudget)
	}
	return nil
}

// giveUp returns the refusal of a request that is not tried again. It says that the
// request did not run only if that is certain.
func (c *call) giveUp(reason string) *refusal {
	if c.progress.runs > 0 {
		return unknown(reason)
	}
	return notRun(reason, max(time.Duration(retryShare*float64(c.route.Objective)), minRetryDelay))
}

// otherHasRoom reports whether an endpoint other than s has room for the call.
func (c *call) otherHasRoom(s deployment.Start) bool {
	return c.handler.config.Balancer.HasRoom(time.Now(), c.endpoints(), balance.Request{
		Service: c.service, Key: c.promptKey, Tried: append(slices.Clone(c.progress.tried), s), Exclusive: c.exclusive(),
	})
}

// exclusive reports whether all requests for the call's service pass through this node.
func (c *call) exclusive() bool { return c.handler.config.Owned(c.service.Name) }

// owned reports whether another node has handed the request over while services may have
// owners.
func (c *call) owned() bool { return c.handed != nil && c.handler.config.Owners != nil }

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool { return c.in.Context().Err() != nil }

// attempt sends the request to an endpoint and forwards the response.
func (c *call) attempt(ctx context.Context, choice *balance.Choice) result {
	a := &attempt{call: c, choice: choice, outcome: balance.Unknown, started: time.Now()}
	res := resultBroken
	defer func() {
		c.handler.config.Balancer.PrefillDone(time.Now(), choice, 0)
		c.handler.config.Balancer.Release(time.Now(), choice.Endpoint.Start(), a.outcome)
		c.released(time.Now(), time.Since(a.started), a.outcome == balance.Served)
		c.progress.last = a.end(res)
		c.handler.config.Metrics.attempted(a, res)
		c.log("attempt", a.fields(res))
	}()
	res = a.run(ctx)
	return res
}

// String returns the result's name in logs and metrics.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "withdrawn", "not-run", "broken", "caller-gone", "cut"}[r]
}

// endpointIDs returns the IDs of endpoints, for logs.
func endpointIDs(starts []deployment.Start) []string {
	list := make([]string, len(starts))
	for i, s := range starts {
		list[i] = s.ID
	}
	return list
}
