package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Causes of answers that are not delivered completely, as the log names them.
const (
	causeEndpointCut  cause = "endpoint_cut"
	causeEndpointDied cause = "endpoint_died"
	causeTooLarge     cause = "answer_too_large"
	causeMemoryFull   cause = "memory_full"
	causeDeadline     cause = "deadline"
	causeStopping     cause = "stopping"
	causeCallerGone   cause = "caller_gone"
	causeCallerSlow   cause = "caller_slow"
	causePeerLost     cause = "peer_lost"
	causeInternal     cause = "internal"
)

// cause is why an answer was not delivered completely.
type cause string

// cause returns the cause of an error while an answer was forwarded. ctx is the context
// of the forwarding.
func (h *Handler) cause(ctx context.Context, err error) cause {
	var network *net.OpError
	switch {
	case errors.Is(err, endpoint.ErrFull):
		return causeMemoryFull
	case errors.Is(err, errAnswerTooLarge):
		return causeTooLarge
	case h.ending.Err() != nil:
		return causeStopping
	case errors.As(err, &network) && network.Op == "write" && errors.Is(err, os.ErrDeadlineExceeded):
		return causeCallerSlow
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return causeDeadline
	case ctx.Err() != nil, network != nil && network.Op == "write":
		return causeCallerGone
	case errors.Is(err, endpoint.ErrDied):
		return causeEndpointDied
	case errors.Is(err, endpoint.ErrCut):
		return causeEndpointCut
	case errors.Is(err, peer.ErrRelay), errors.Is(err, peer.ErrUnreachable), errors.Is(err, errNoAnswer):
		return causePeerLost
	default:
		return causeInternal
	}
}

// logIncomplete logs that the answer of a run was not delivered completely.
func (h *Handler) logIncomplete(ctx context.Context, err error, req route.Request, run *dispatch.Run) {
	h.requestLog(req).WithError(err).WithFields(logrus.Fields{
		"cause": h.cause(ctx, err), "endpoint": run.Endpoint.Name, "attempt": run.Attempt,
	}).Warn("answer not delivered completely")
}

// logCopy logs that a copy of a request with a ticket got no complete answer, while its
// run may go on.
func (h *Handler) logCopy(ctx context.Context, err error, log logrus.FieldLogger) {
	log.WithError(err).WithField("cause", h.cause(ctx, err)).Warn("answer of a ticket not delivered completely")
}

func (h *Handler) requestLog(req route.Request) logrus.FieldLogger {
	return h.config.Log.WithFields(logrus.Fields{
		"request": strconv.FormatUint(req.ID, 16), "chat": req.Chat, "account": req.Account, "once": req.AtMostOnce,
	})
}

// logProblem logs a request that the handler itself refused or could not answer. The
// dispatcher records its own refusals.
func logProblem(p *problem, log logrus.FieldLogger) {
	if p == nil || p.recorded || p.status < http.StatusInternalServerError && p.status != http.StatusTooManyRequests && !p.close {
		return
	}
	log.WithFields(logrus.Fields{
		"status": p.status, "cause": p.kind, "ran": string(p.ran), "text": p.text,
	}).Warn("request not answered")
}

// asRecorded returns the problem for a request whose cause is in the log already.
func (p *problem) asRecorded() *problem {
	recorded := *p
	recorded.recorded = true
	return &recorded
}

// note stores the problem in the resultWriter below w, if there is one.
func (p *problem) note(w http.ResponseWriter) {
	for {
		if result, ok := w.(*resultWriter); ok {
			result.problem = p
			return
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return
		}
		w = wrapper.Unwrap()
	}
}
