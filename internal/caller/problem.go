package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Whether a request without a complete answer ran at an endpoint.
const (
	RanNot     = entry.RanNot
	RanUnknown = entry.RanUnknown
	RanYes     = entry.RanYes
)

const (
	// DefaultRetry is the minimum delay before a refused caller may retry.
	DefaultRetry = time.Second
	// retryJitter is the maximum random delay added to DefaultRetry, so that
	// callers refused together do not retry together.
	retryJitter = 500 * time.Millisecond
)

// problem is a refusal or an error that is reported to the caller.
type problem struct {
	status int
	kind   string
	text   string
	ran    entry.Ran
	retry  time.Duration
	// close closes the connection after the answer.
	close bool
	// recorded is set if the cause is in the log already.
	recorded bool
}

func (p *problem) body() entry.Problem {
	return entry.Problem{Error: entry.Refusal{
		Type:         p.kind,
		Message:      p.text,
		Ran:          p.ran,
		RetryAfterMS: p.retry.Milliseconds(),
	}}
}

func (p *problem) write(w http.ResponseWriter) {
	p = p.forWriter(w)
	p.note(w)
	data, err := json.Marshal(p.body())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	head := w.Header()
	head.Set("Content-Type", "application/json")
	head.Set("Content-Length", strconv.Itoa(len(data)))
	head.Set(HeaderRan, string(p.ran))
	if p.retry > 0 {
		head.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retry.Seconds()))))
	}
	if p.close {
		head.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(data)
}

func badRequest(err error) *problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &problem{status: http.StatusRequestEntityTooLarge, kind: "too_large", text: err.Error(), ran: RanNot, close: true}
	}
	return &problem{status: http.StatusBadRequest, kind: "bad_request", text: err.Error(), ran: RanNot}
}

func notReady() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: "not_ready",
		text: "no accepted configuration yet", ran: RanNot, retry: retryDelay(),
	}
}

func stopping() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: "stopping",
		text: "the node is stopping; use another", ran: RanNot, retry: retryDelay(), close: true,
	}
}

func busy(status int, text string) *problem {
	return &problem{status: status, kind: "busy", text: text, ran: RanNot, retry: retryDelay()}
}

func notFound(kind, text string) *problem {
	return &problem{status: http.StatusNotFound, kind: kind, text: text, ran: RanNot}
}

// notAllowed returns a handler that responds with the methods a path supports.
func notAllowed(methods string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", methods)
		p := &problem{
			status: http.StatusMethodNotAllowed, kind: "method_not_allowed",
			text: fmt.Sprintf("%s takes %s", r.URL.Path, methods), ran: RanNot,
		}
		p.write(w)
	}
}

// dispatchProblem returns the problem for an error of the dispatcher.
func dispatchProblem(err error) *problem {
	var r *dispatch.Refusal
	if !errors.As(err, &r) {
		return &problem{status: http.StatusInternalServerError, kind: "internal", text: err.Error(), ran: RanUnknown}
	}
	p := &problem{status: http.StatusServiceUnavailable, kind: string(r.Reason), text: err.Error(), ran: RanUnknown, retry: r.RetryAfter, recorded: true}
	if r.NotRun {
		p.ran = RanNot
	}
	switch r.Reason {
	case route.ReasonDeadline:
		p.status = http.StatusGatewayTimeout
	case route.ReasonLimited:
		p.status = http.StatusTooManyRequests
	case route.ReasonIsolated:
		p.status = http.StatusUnprocessableEntity
	}
	return p
}

// refusalProblem returns the problem for an error of the dispatcher, which may be due to
// the node's stop.
func (h *Handler) refusalProblem(err error) *problem {
	var r *dispatch.Refusal
	if h.ending.Err() == nil || !errors.As(err, &r) || r.Reason != route.ReasonCanceled {
		return dispatchProblem(err)
	}
	if r.NotRun {
		return stopping().asRecorded()
	}
	return aborted().asRecorded()
}

// truncated is the problem of an answer that the endpoint started but did not complete.
func truncated() *problem {
	return &problem{
		status: http.StatusBadGateway, kind: "cut",
		text: "the endpoint's answer ended early; send the request again if it may be repeated", ran: RanYes, retry: retryDelay(),
	}
}

func answerTooLarge(limit int64) *problem {
	return &problem{
		status: http.StatusBadGateway, kind: "answer_too_large",
		text: fmt.Sprintf("the endpoint's answer is over %d bytes", limit), ran: RanYes,
	}
}

// answerMemoryFull is the problem of an answer for which the node has no memory.
func answerMemoryFull() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: "busy",
		text: "the node holds too many large answers", ran: RanYes, retry: retryDelay(),
	}
}

// deadlineExceeded is the problem of an answer that was not complete at the deadline.
func deadlineExceeded() *problem {
	return &problem{
		status: http.StatusGatewayTimeout, kind: "deadline",
		text: "the deadline passed within the answer; give the request more time", ran: RanYes,
	}
}

func retryDelay() time.Duration { return DefaultRetry + rand.N(retryJitter) }
