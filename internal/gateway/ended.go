package gateway

import (
	"errors"
	"io"
	"net"
	"slices"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// Causes for which requests end, besides the reasons of refusals.
const (
	endAnswered = "answered"
	// endKept means that the caller got an endpoint's failure, as no attempt got a better
	// response.
	endKept       = "endpoint-failure"
	endCallerGone = "caller-gone"
	// endStop means that the node was stopped.
	endStop = "stop"
	// The rest are why a request that broke at an endpoint was not tried again: it has run
	// as often as its route allows, it has been tried maxTries times, its kind may not run
	// twice, or its response has begun and is none that can be resumed.
	endAttempts     = "attempts"
	endTries        = "tries"
	endOnce         = "not-repeatable"
	endNotResumable = "not-resumable"
)

// Ends of attempts without a response, for the one that came last.
const (
	lastUnreachable = "unreachable"
	lastWithdrawn   = "withdrawn"
	lastRefused     = "refused"
	// lastSilent means that the endpoint was given up because it sent nothing.
	lastSilent = "silent"
	// lastEnded means that the endpoint's process has ended.
	lastEnded = "ended"
	// lastFailed means that it has responded with a failure of its own.
	lastFailed = "failed"
	// lastBroken means that it has broken off its connection.
	lastBroken = "broke-off"
	// lastPeerBroken means that the node to which the request was handed over has.
	lastPeerBroken = "peer-broke-off"
)

// namedCauses are the causes of broken attempts that are names already.
var namedCauses = [...]string{"deadline", "unsound-answer", "not-resumed", "unnamed-refusal"}

// End ends the requests that are in progress, as the node is stopped. Callers get a refusal
// if their response has not begun.
func (h *Handler) End() { h.end() }

// Abandon says that the connections of callers are closed, as the node is stopped.
func (h *Handler) Abandon() { h.abandoned.Store(true) }

// end returns how the attempt ended, empty if its response was forwarded.
func (a *attempt) end(res result) string {
	switch res {
	case resultDone:
		return ""
	case resultCallerGone:
		return endCallerGone
	case resultNotSent:
		return lastUnreachable
	case resultWithdrawn:
		return lastWithdrawn
	case resultNotRun:
		return lastRefused
	}
	switch {
	case a.timedOut.Load():
		return lastSilent
	case a.ended:
		return lastEnded
	case a.cause == "" && a.status != 0:
		return lastFailed
	case slices.Contains(namedCauses[:], a.cause):
		return a.cause
	}
	return lastBroken
}

// end returns how the request ended at the other node, and otherwise how it did before.
func (a *hop) end(res result, before string) string {
	switch {
	case res == resultDone:
		return ""
	case res == resultCallerGone:
		return endCallerGone
	case res == resultNotSent || a.refused:
		return before
	}
	return lastPeerBroken
}

// cause returns why a request ends with a refusal.
func (c *call) cause(r *refusal) string {
	switch {
	case r.cause != "":
		return r.cause
	case c.callerGone():
		return c.goneCause()
	case r.reason != reasonBroken:
		return r.reason
	case !c.route.Kind.Retryable():
		return endOnce
	case c.progress.started && !c.route.Kind.Streams():
		return endNotResumable
	case c.progress.runs >= c.route.Attempts:
		return endAttempts
	}
	return endTries
}

// goneCause returns why the caller's connection is gone.
func (c *call) goneCause() string {
	if c.handler.abandoned.Load() || c.handler.ending.Err() != nil {
		return endStop
	}
	return endCallerGone
}

// finished counts a request that has ended without a refusal: its response is complete,
// or its caller is gone.
func (c *call) finished() {
	if c.progress.last != endCallerGone {
		c.countEnd(endAnswered, "")
		return
	}
	c.left()
}

// left counts and logs a request whose caller gets no answer, or no more of it, as its
// connection is gone or is closed.
func (c *call) left() {
	cause := c.goneCause()
	c.countEnd(cause, "")
	f := decision.Fields{"cause": cause}
	if c.progress.started {
		f["cut"] = true
	}
	if c.progress.events > 0 {
		f["events"] = c.progress.events
	}
	c.log("ended", f)
}

// countEnd counts the end of a caller's request, at the node that the caller uses.
func (c *call) countEnd(cause, last string) {
	if c.handed == nil {
		c.handler.config.Metrics.ended(cause, last, c.progress.started && cause != endAnswered)
	}
}

// leftWithinBody reports whether reading a body has failed because its caller has closed
// the connection.
func leftWithinBody(err error) bool {
	var failed *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &failed)
}
