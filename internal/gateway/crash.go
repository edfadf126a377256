package gateway

import (
	"errors"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/sse"
)

// Crashes counts the endpoints that ended under each request, given by its
// fingerprint.
type Crashes interface {
	// Isolated returns for how long a request must not be sent, 0 if it may be.
	Isolated(fingerprint uint64) time.Duration
	// Broke records that the endpoint closed the connection of a run, and reports
	// whether it has ended.
	Broke(fingerprint uint64, e *deployment.Endpoint) bool
	// Silent records that a run was given up at an endpoint that sent nothing more,
	// and Abandoned that it was given up because its caller left.
	Silent(fingerprint uint64, e *deployment.Endpoint)
	Abandoned(fingerprint uint64, e *deployment.Endpoint)
	// Ended records that another process has responded at an endpoint's address.
	Ended(start deployment.Start)
	// Served records that a request was served whole.
	Served(fingerprint uint64)
}

// isolated returns the refusal of a request that has ended too many endpoints,
// otherwise nil.
func (c *call) isolated() *refusal {
	left := c.handler.config.Crashes.Isolated(c.print)
	if left == 0 {
		return nil
	}
	if c.progress.runs > 0 {
		return unknown(reasonCrashes)
	}
	return notRun(reasonCrashes, left)
}

// maySend returns the last question before a request is sent to an endpoint. Slots are
// reserved and connections opened after the endpoint was chosen.
func (c *call) maySend(e *deployment.Endpoint) func() bool {
	return func() bool { return c.isolated() == nil && c.available(e) }
}

// recordBreak records a run that ended without a complete response, as the endpoint
// may have ended with it.
func (a *attempt) recordBreak(err error) {
	c, crashes := a.call, a.call.handler.config.Crashes
	if c.callerGone() {
		crashes.Abandoned(c.print, a.choice.Endpoint)
		return
	}
	c.handler.config.Reach.Failed(a.choice.Endpoint, a.started)
	switch {
	case http1.IsClosedByPeer(err), errors.Is(err, sse.ErrTruncated):
		a.ended = crashes.Broke(c.print, a.choice.Endpoint)
	default:
		crashes.Silent(c.print, a.choice.Endpoint)
	}
}

// recordEnd records a run whose response has ended and was forwarded. A failure does
// not clear the request: an endpoint may fail requests without running them.
//
// A response that ends with its connection does not show whether the endpoint ended
// as well, unless the endpoint is leaving anyway.
func (a *attempt) recordEnd(x *http1.Exchange) {
	c, crashes := a.call, a.call.handler.config.Crashes
	switch {
	case x.Framed() && x.Response.StatusCode/100 == http.StatusOK/100:
		crashes.Served(c.print)
	case !x.Framed() && c.listed(a.choice.Endpoint):
		// An error means that the caller has disconnected.
		_ = flush(c.out)
		a.ended = crashes.Broke(c.print, a.choice.Endpoint)
	}
}
