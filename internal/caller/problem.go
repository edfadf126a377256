package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// What is known of a request that got no whole answer.
const (
	// RanNot means that no endpoint ran the request.
	RanNot Ran = "not_run"
	// RanUnknown means that an endpoint may have run the request.
	RanUnknown Ran = "unknown"
	// RanYes means that an endpoint ran the request.
	RanYes Ran = "ran"
)

type (
	// Ran is whether a request was run.
	Ran string

	// Problem is the body of a refusal.
	Problem struct {
		Error ProblemError `json:"error"`
	}

	// ProblemError describes a refusal.
	ProblemError struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Ran     Ran    `json:"ran"`
		// RetryAfterMS is when the caller may come back, in milliseconds; 0
		// where coming back does not help.
		RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	}

	problem struct {
		status int
		kind   string
		text   string
		ran    Ran
		retry  time.Duration
	}
)

func (p *problem) body() Problem {
	return Problem{Error: ProblemError{
		Type:         p.kind,
		Message:      p.text,
		Ran:          p.ran,
		RetryAfterMS: p.retry.Milliseconds(),
	}}
}

func (p *problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if p.retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retry.Seconds()))))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(p.body())
}

func badRequest(err error) *problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &problem{status: http.StatusRequestEntityTooLarge, kind: "too_large", text: err.Error(), ran: RanNot}
	}
	return &problem{status: http.StatusBadRequest, kind: "bad_request", text: err.Error(), ran: RanNot}
}

func refused(err error) *problem {
	var r *dispatch.Refusal
	if !errors.As(err, &r) {
		return &problem{status: http.StatusInternalServerError, kind: "internal", text: err.Error(), ran: RanUnknown}
	}
	p := &problem{status: http.StatusServiceUnavailable, kind: string(r.Reason), text: err.Error(), ran: RanUnknown, retry: r.RetryAfter}
	if r.NotRun {
		p.ran = RanNot
	}
	switch r.Reason {
	case route.ReasonDeadline:
		p.status = http.StatusGatewayTimeout
	case route.ReasonIsolated:
		p.status = http.StatusUnprocessableEntity
	}
	return p
}
