package caller

import (
	"context"
	"errors"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// early is an answer that ended after it had begun, and before it was whole.
type early struct {
	problem *problem
	cause   error
}

// Error describes the cause.
func (e *early) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *early) Unwrap() error { return e.cause }

// endEarly ends an answer that has begun and will not be whole. The last event of
// a stream says what is known of the request and what to do.
//
// The connection breaks in any case: a caller that reads to the end of the body
// without a look at the events must not take the answer for a whole one.
func endEarly(out *events, p *problem) {
	if isStream(out.w.Header()) {
		// A caller that cannot be written to has gone.
		_ = out.fail(p)
	}
	panic(http.ErrAbortHandler)
}

// ended returns the problem of an answer that ended early.
func (h *Handler) ended(err error) *problem {
	var e *early
	switch {
	case errors.As(err, &e):
		return e.problem
	case errors.Is(err, endpoint.ErrFull):
		return noRoom()
	case h.ending.Err() != nil:
		return givenUp()
	case errors.Is(err, peer.ErrRelay) && !errors.Is(err, context.DeadlineExceeded):
		return lostNode()
	default:
		return stillRunning()
	}
}

// under returns the problem as the copies of a request are told it: a request that
// must not be repeated is not run again under its ticket.
func (p *problem) under(req route.Request) *problem {
	if !req.Once {
		return p
	}
	told := *p
	told.ran, told.retry = RanUnknown, 0
	told.text += "; its ticket runs nothing again: ask the service whether the request was done"
	return &told
}

func stillRunning() *problem {
	return &problem{
		status: http.StatusGatewayTimeout, kind: string(route.ReasonDeadline),
		text: "no whole answer yet; come back with the same ticket", ran: RanUnknown, retry: retryDelay(),
	}
}

// givenUp is an answer that has outlasted the time in which the node stops.
func givenUp() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: "stopping",
		text: "the node stops and gave the answer up; send the request to another node if it may be repeated, or ask the service whether it was done", ran: RanUnknown, retry: retryDelay(), close: true,
	}
}

// lostNode is an answer of the node of a ticket that ended with its connection.
func lostNode() *problem {
	return &problem{
		status: http.StatusBadGateway, kind: "cut",
		text: "the node of the ticket was lost; come back with the same ticket", ran: RanUnknown, retry: retryDelay(),
	}
}
