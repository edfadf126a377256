package gateway

import (
	"context"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// maxTries bounds how many endpoints are tried for one request, those
	// included that could not be reached or refused it.
	maxTries = 5
)

// Results of an attempt.
const (
	// resultDone says that the caller has its answer.
	resultDone result = iota
	// resultNotSent says that the endpoint was not reached.
	resultNotSent
	// resultWithdrawn says that the endpoint got no request any more.
	resultWithdrawn
	// resultNotRun says that the endpoint did not run the request.
	resultNotRun
	// resultBroken says that the request may have run, without an answer.
	resultBroken
	// resultGone says that the caller has gone.
	resultGone
	// resultCut says that the caller has a part of an answer that cannot be resumed.
	resultCut
)

// result is how an attempt ended for the call.
type result int

// run tries endpoints until the caller has its answer, or cannot get one.
func (c *call) run(ctx context.Context) {
	h := c.handler.config
	if h.Crashes.Refuse(c.started, c.print) {
		c.refuse(notRun(reasonPoison, time.Second))
		return
	}
	h.Budget.Request(c.started, c.service.Name)
	c.progress.excess = c.queue().Asked(c.started, c.wanted())
	for try := 0; ; try++ {
		choice, ref := c.place(ctx)
		if ref != nil {
			c.refuse(ref)
			return
		}
		res := c.attempt(ctx, choice)
		if res == resultDone || res == resultGone {
			return
		}
		c.progress.tried = append(c.progress.tried, choice.Endpoint.Start())
		if ref := c.again(ctx, res, try); ref != nil {
			c.refuse(ref)
			return
		}
	}
}

// again decides whether the request is tried once more; the refusal says why
// not.
func (c *call) again(ctx context.Context, res result, try int) *refusal {
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
	if ctx.Err() != nil {
		return c.given(reasonTimeout)
	}
	if res == resultCut {
		return unknown(reasonBroken)
	}
	if res == resultBroken && (!c.route.Kind.Repeats() || c.progress.runs >= c.route.Attempts) {
		return c.given(reasonBroken)
	}
	if try+1 >= maxTries {
		return c.given(c.progress.reason)
	}
	if res != resultNotSent && res != resultWithdrawn && !c.handler.config.Budget.Repeat(time.Now(), c.service.Name) {
		return c.given(reasonBudget)
	}
	return nil
}

// given is the answer to a request that is given up: that it did not run, only
// if that is certain.
func (c *call) given(reason string) *refusal {
	if c.progress.runs > 0 {
		return unknown(reason)
	}
	return notRun(reason, max(time.Duration(returnShare*float64(c.route.Objective)), retryLeast))
}

// roomBeside reports whether an endpoint other than one has room for the call.
func (c *call) roomBeside(s deployment.Start) bool {
	return c.handler.config.Balancer.Room(time.Now(), c.endpoints(), balance.Request{
		Service: c.service, Key: c.key, Tried: append(slices.Clone(c.progress.tried), s),
	})
}

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.in.Context().Err() != nil }

// attempt sends the request to an endpoint and passes its answer on.
func (c *call) attempt(ctx context.Context, choice *balance.Choice) result {
	a := &attempt{call: c, choice: choice, outcome: balance.Unknown, at: time.Now()}
	res := resultBroken
	defer func() {
		c.handler.config.Balancer.Read(time.Now(), choice, 0)
		c.handler.config.Balancer.Release(time.Now(), choice.Endpoint.Start(), a.outcome)
		c.queue().Offer(time.Now())
		c.handler.config.Metrics.attempted(a, res)
		c.log("attempt", a.fields(res))
	}()
	res = a.run(ctx)
	return res
}

// status is a result's name in logs.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "withdrawn", "not-run", "broken", "caller-gone", "cut"}[r]
}

// names returns the IDs of endpoints, for logs.
func names(starts []deployment.Start) []string {
	list := make([]string, len(starts))
	for i, s := range starts {
		list[i] = s.ID
	}
	return list
}
