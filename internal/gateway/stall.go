package gateway

import (
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// stallShare is the share of the latency objective after which an endpoint
	// that has sent nothing is abandoned, if the request may be repeated: the
	// other half suffices for a second attempt.
	stallShare = 0.5
	// streamStallShare is the same for a stream's first event, where a long queue
	// is no fault.
	streamStallShare = 1.5
	// prefillFactor is how many times longer than expected an engine may take to
	// read prompts.
	prefillFactor = 2
	// minStallTimeout is the lower bound of both stall timeouts.
	minStallTimeout = 60 * time.Millisecond
	// pauseFactor is how many times the route's longest wanted pause a resumable
	// stream may be silent between two events.
	pauseFactor = 2.0
	// minPauseTimeout is the lower bound of that.
	minPauseTimeout = 500 * time.Millisecond
	// coldFactor is how many times longer a cold endpoint may be silent: it is slow,
	// which is no sign of a fault.
	coldFactor = 2
	// maxSlowAllowance bounds the time that is added for an endpoint that reports that
	// it is slow: a slow period lasts about 0.6 s, and a wrong report must not keep
	// requests at a silent endpoint.
	maxSlowAllowance = time.Second
	// maxLoggedLoad is how many bytes of a malformed load header are logged.
	maxLoggedLoad = 64
)

// stallTimeout returns after how long without a response the request is repeated at
// another endpoint, 0 for never. A request that must not be repeated waits as long as
// its caller.
func (a *attempt) stallTimeout() time.Duration {
	c := a.call
	if !c.canRetry() {
		return 0
	}
	share := stallShare
	if c.route.Kind.Streams() {
		share = streamStallShare
	}
	stall := max(time.Duration(share*float64(c.route.Objective)), minStallTimeout)
	if a.choice.Cold {
		return coldFactor * stall
	}
	return stall
}

// busyTimeout returns how long an endpoint may be silent given its reported load: a
// request that waits in its queue is no sign of a fault. If abandoned in an
// overload, it would have to wait again elsewhere.
//
// Nor is a prompt that an engine has yet to read: a long one would be abandoned at
// a slow engine, and read again from its beginning at the next.
//
// An endpoint that reports that it is slow, or did when it was chosen, gets
// proportionally more time.
func (a *attempt) busyTimeout(stall time.Duration) time.Duration {
	balancer, now := a.call.handler.config.Balancer, time.Now()
	busy := balancer.Utilization(now, a.choice.Endpoint, a.call.service)
	timeout := max(time.Duration(float64(stall)*max(busy, 1)), prefillFactor*a.choice.PrefillTime)
	slow := max(balancer.Slowdown(now, a.choice.Endpoint.Start()), a.choice.Slowdown, 1)
	return timeout + min(time.Duration(float64(timeout)*(slow-1)), maxSlowAllowance)
}

// reportLoad reports what an endpoint says of its load and speed to the balancer.
func (a *attempt) reportLoad(header http.Header) {
	h := a.call.handler.config
	text := header.Get(h.Headers.Load)
	if text == "" {
		return
	}
	load, err := h.Headers.EndpointLoad(text)
	if err != nil {
		h.Metrics.malformedLoads.Inc()
		a.call.log("load.bad", decision.Fields{"endpoint": a.choice.Endpoint.ID, "load": text[:min(len(text), maxLoggedLoad)], "error": err.Error()})
		return
	}
	a.load = load.Running + load.Waiting
	if load.Slowdown > 0 {
		h.Metrics.slowdown.Update(load.Slowdown)
	}
	h.Balancer.SetReport(time.Now(), a.choice.Endpoint, balance.Report{Load: a.load, Slots: load.Slots, Slowdown: load.Slowdown})
}
