package caller

import (
	"context"
	"errors"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// truncatedError is returned for an answer that was truncated after a part of it
// had been sent.
type truncatedError struct {
	problem *problem
	cause   error
}

func (e *truncatedError) Error() string { return e.cause.Error() }

func (e *truncatedError) Unwrap() error { return e.cause }

// abort ends an answer that has started and cannot be completed. A stream ends
// with an event that tells whether the request ran and what the caller can do.
//
// The connection is aborted in any case: a caller that reads to the end of the
// body without parsing the events must not take the answer for a complete one.
func abort(out *eventWriter, p *problem) {
	if isStream(out.w.Header()) {
		// The error is ignored: the caller has disconnected.
		_ = out.writeProblem(p)
	}
	panic(http.ErrAbortHandler)
}

// incompleteProblem returns the problem for an answer that ended before it was
// complete.
func (h *Handler) incompleteProblem(err error) *problem {
	var e *truncatedError
	switch {
	case errors.As(err, &e):
		return e.problem
	case errors.Is(err, endpoint.ErrFull):
		return answerMemoryFull()
	case h.ending.Err() != nil:
		return aborted()
	case errors.Is(err, peer.ErrRelay) && !errors.Is(err, context.DeadlineExceeded):
		return ticketNodeLost()
	default:
		return stillRunning()
	}
}

// forCopies adapts the problem for a request that must not be repeated. All copies of
// the request get it, and sending it again with the same ticket runs nothing.
func (p *problem) forCopies(req route.Request) *problem {
	if !req.AtMostOnce {
		return p
	}
	adapted := *p
	adapted.ran, adapted.retry = RanUnknown, 0
	adapted.text += "; its ticket runs nothing again: ask the service whether the request was done"
	return &adapted
}

// stillRunning is the problem of an answer that was not complete in time. Its run
// may continue.
func stillRunning() *problem {
	return &problem{
		status: http.StatusGatewayTimeout, kind: string(route.ReasonDeadline),
		text: "no whole answer yet; come back with the same ticket", ran: RanUnknown, retry: retryDelay(),
	}
}

// aborted is the problem of an answer that was not complete when the node's
// shutdown period ended.
func aborted() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: "stopping",
		text: "the node stops and gave the answer up; send the request to another node if it may be repeated, or ask the service whether it was done", ran: RanUnknown, retry: retryDelay(), close: true,
	}
}

// ticketNodeLost is the problem of an answer that was truncated as the connection
// to the ticket's node broke.
func ticketNodeLost() *problem {
	return &problem{
		status: http.StatusBadGateway, kind: "cut",
		text: "the node of the ticket was lost; come back with the same ticket", ran: RanUnknown, retry: retryDelay(),
	}
}
