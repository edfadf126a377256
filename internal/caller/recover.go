package caller

import (
	"errors"
	"net/http"
	"strconv"

	"bulrushhinge.example/bulrushhinge/internal/panics"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

var errPanic = errors.New("caller: panic while the request ran")

type (
	// startedWriter records whether an answer has started.
	startedWriter struct {
		http.ResponseWriter
		started bool
	}

	// resultWriter records how a request ended: whether an answer has started, and
	// the problem that was written.
	resultWriter struct {
		startedWriter
		problem *problem
	}
)

// WriteHeader writes the status and header of the answer.
func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a piece of the answer.
func (w *startedWriter) Write(data []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// recoverPanic reports a panic of a handler and ends its answer: with a problem, or by
// aborting the connection if the answer has started. It must be deferred.
//
// The HTTP server would close the connection in either case, which reveals nothing
// to the caller, and print the stack as plain text.
func (h *Handler) recoverPanic(w *resultWriter, r *http.Request) {
	value := recover()
	if value == nil {
		return
	}
	if value == http.ErrAbortHandler {
		panic(value)
	}
	panics.Report(h.config.Log.WithField("request", w.Header().Get(HeaderRequest)).WithField("path", r.URL.Path), value)
	if w.started {
		panic(http.ErrAbortHandler)
	}
	clearAnswerHeader(w.Header())
	internalError().write(w)
}

// panicked reports a panic of a detached run. It writes a problem, or returns the error
// of a truncated answer if the answer has started.
func (h *Handler) panicked(w *resultWriter, req route.Request, value any) error {
	panics.Report(h.config.Log.WithField("request", strconv.FormatUint(req.ID, 16)), value)
	p := internalError().forCopies(req)
	if w.started {
		return &truncatedError{problem: p, cause: errPanic}
	}
	clearAnswerHeader(w.Header())
	p.write(w)
	return nil
}

// clearAnswerHeader removes the fields of an answer that is replaced by a problem.
func clearAnswerHeader(header http.Header) {
	for _, name := range answerHeaders {
		header.Del(name)
	}
	header.Del(HeaderHint)
}

func internalError() *problem {
	return &problem{
		status: http.StatusInternalServerError, kind: "internal",
		text: "the node failed while it served the request", ran: RanUnknown, recorded: true,
	}
}
