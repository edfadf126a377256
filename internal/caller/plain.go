package caller

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const plainMethods = "GET, POST, PUT, PATCH, DELETE"

var (
	// requestHeaders is the request headers that are forwarded to plain services.
	requestHeaders = []string{"Accept", "Accept-Language", "If-Match", "If-None-Match", "Traceparent", "Tracestate"}

	errDotSegments = errors.New("path: . and .. are not allowed")
)

func (h *Handler) plain(w http.ResponseWriter, r *http.Request) {
	if !slices.Contains(strings.Split(plainMethods, ", "), r.Method) {
		notAllowed(plainMethods)(w, r)
		return
	}
	v, a, p := h.authenticate(r)
	if p != nil {
		p.write(w)
		return
	}
	service, ok := v.Manifest.Service(r.PathValue("service"))
	if !ok || service.Kind != manifest.KindPlain {
		notFound("unknown_service", "no such plain service").write(w)
		return
	}
	if hasDotSegments(r.PathValue("rest")) {
		badRequest(errDotSegments).write(w)
		return
	}
	s, p := h.receive(w, r, a.Name)
	if p != nil {
		p.write(w)
		return
	}
	defer s.release()
	req, p := h.baseRequest(r, v, a)
	if p != nil {
		p.write(w)
		return
	}
	req.Service = service.Name
	req.AtMostOnce = req.AtMostOnce || service.Once
	req.Chat = strconv.FormatUint(req.ID, 16)
	req.Output = 1
	call := endpoint.Call{
		Method: r.Method, Path: r.URL.RequestURI(), Type: r.Header.Get("Content-Type"), Body: s.body,
		Header: forwardedHeaders(r.Header), Priority: req.Priority, Deadline: req.Deadline, Once: req.AtMostOnce,
	}
	h.run(w, r, work{view: v, account: a, request: req, call: call, stopWaiting: s.stopWaiting, answer: h.answerPlain})
}

func (h *Handler) answerPlain(w http.ResponseWriter, run *dispatch.Run) error {
	held := h.slots.emptyReservation()
	defer held.release()
	run.Answer.Meter = held.grow
	data, err := readWhole(run.Answer, h.config.MaxAnswer)
	if err != nil {
		return err
	}
	return h.writeAnswer(w, run, data)
}

// forwardedHeaders returns the headers that are forwarded to plain services.
func forwardedHeaders(all http.Header) http.Header {
	some := http.Header{}
	for _, name := range requestHeaders {
		if values := all.Values(name); len(values) > 0 {
			some[name] = values
		}
	}
	return some
}

// hasDotSegments reports whether a path contains a dot segment. An endpoint that
// resolves an escaped ".." would serve resources outside its service.
func hasDotSegments(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}
