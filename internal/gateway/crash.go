package gateway

import (
	"errors"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/sse"
)

// Crashes counts the endpoints that ended under each feature of requests.
type Crashes interface {
	// Isolated returns why and for how long a request with some features must not be
	// sent.
	Isolated(features []crash.Feature) crash.Isolation
	// Explain returns the same as Isolated, by what was last judged, and changes nothing.
	Explain(features []crash.Feature) crash.Isolation
	// Broke records that the endpoint closed the connection of a run, and reports
	// whether it has ended.
	Broke(features []crash.Feature, e *deployment.Endpoint) bool
	// Closed records a response that ended with its connection, and reports whether
	// the endpoint has ended. If it runs, the response was whole; it began at a time.
	Closed(features []crash.Feature, e *deployment.Endpoint, began time.Time) bool
	// Silent records that a run was given up at an endpoint that sent nothing more,
	// and Abandoned that it was given up because its caller left.
	Silent(features []crash.Feature, e *deployment.Endpoint)
	Abandoned(features []crash.Feature, e *deployment.Endpoint)
	// Refused records that an endpoint has refused a connection.
	Refused(e *deployment.Endpoint)
	// Reached records that an endpoint has responded to a request that was sent to it at
	// a time.
	Reached(e *deployment.Endpoint, sent time.Time)
	// Ended records that another process has responded at an endpoint's address.
	Ended(start deployment.Start)
	// Served records that a response that began at a time was whole.
	Served(features []crash.Feature, began time.Time)
}

// isolated returns the refusal of a request of which a feature has ended too many
// endpoints, otherwise nil.
func (c *call) isolated() *refusal {
	i := c.handler.config.Crashes.Isolated(c.features)
	if i.Left == 0 {
		return nil
	}
	ref := notRun(reasonCrashes, i.Left)
	if c.progress.runs > 0 {
		ref = unknown(reasonCrashes)
	}
	ref.isolation = i
	return ref
}

// maySend returns the last question before a request is sent to an endpoint. Slots are
// reserved and connections opened after the endpoint was chosen. A process that was
// paused in between resumes before the timers of its contexts fire, so that the clock
// decides whether the caller still waits.
func (c *call) maySend(e *deployment.Endpoint) func() bool {
	return func() bool {
		return c.isolated() == nil && c.available(e) && !c.overdue() && !c.late() && !c.callerGone()
	}
}

// overdue reports whether the caller no longer waits for a response.
func (c *call) overdue() bool { return !time.Now().Before(c.deadline) }

// recordBreak records a run that ended without a complete response, as the endpoint
// may have ended with it.
func (a *attempt) recordBreak(err error) {
	c, crashes := a.call, a.call.handler.config.Crashes
	if c.callerGone() || c.handler.ending.Err() != nil {
		crashes.Abandoned(c.features, a.choice.Endpoint)
		return
	}
	c.handler.config.Reach.Failed(a.choice.Endpoint, a.started)
	switch {
	case http1.IsClosedByPeer(err), errors.Is(err, sse.ErrTruncated):
		a.ended = crashes.Broke(c.features, a.choice.Endpoint)
	default:
		crashes.Silent(c.features, a.choice.Endpoint)
	}
}

// recordEnd records a run whose response has ended. A failure does not clear the
// request: an endpoint may fail requests without running them.
func (a *attempt) recordEnd(x *http1.Exchange) {
	if x.Framed() && x.Response.StatusCode/100 == http.StatusOK/100 {
		a.call.handler.config.Crashes.Served(a.call.features, a.started.Add(a.latency))
	}
}

// endedWithResponse reports whether a response that ended with its connection did so
// because the endpoint ended: the response then is not complete. Other responses, and
// those of endpoints that are leaving anyway, end by themselves.
func (a *attempt) endedWithResponse(x *http1.Exchange) bool {
	c := a.call
	if x.Framed() || !c.listed(a.choice.Endpoint) {
		return false
	}
	if c.progress.started {
		// An error means that the caller has disconnected.
		_ = flush(c.out)
	}
	crashes := c.handler.config.Crashes
	if x.Response.StatusCode/100 == http.StatusOK/100 {
		a.ended = crashes.Closed(c.features, a.choice.Endpoint, a.started.Add(a.latency))
	} else {
		// A failure clears nothing.
		a.ended = crashes.Broke(c.features, a.choice.Endpoint)
	}
	if a.ended {
		a.outcome, a.cause = balance.Failed, "endpoint ended with its response"
	}
	return a.ended
}
