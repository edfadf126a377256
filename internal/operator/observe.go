package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// observedWriter is a ResponseWriter that records the status, the time to the
// first byte and the body of a refusal.
type observedWriter struct {
	http.ResponseWriter
	status  int
	refusal entry.Refusal
	began   time.Time
	first   time.Duration
}

// Observe counts the answers and refusals of a callers' handler. A handler that
// panics to abort its answer, so that the caller cannot mistake it for a
// complete one, is counted as cut.
func (m *Metrics) Observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == entry.PathEntry {
			next.ServeHTTP(w, r)
			return
		}
		o := &observedWriter{ResponseWriter: w, began: m.config.Now()}
		completed := false
		defer func() { m.recordResult(o, completed) }()
		next.ServeHTTP(o, r)
		completed = true
	})
}

// WriteHeader records the status.
func (o *observedWriter) WriteHeader(status int) {
	if o.status == 0 {
		o.status = status
		o.first = time.Since(o.began)
	}
	o.ResponseWriter.WriteHeader(status)
}

// Write records the body of a refusal, which handlers write in one call.
func (o *observedWriter) Write(data []byte) (int, error) {
	if o.status == 0 {
		o.status = http.StatusOK
		o.first = time.Since(o.began)
	}
	if o.refusal.Type == "" && o.status >= http.StatusBadRequest && o.Header().Get(caller.HeaderRan) != "" {
		var p entry.Problem
		if json.Unmarshal(data, &p) == nil {
			o.refusal = p.Error
		}
	}
	return o.ResponseWriter.Write(data)
}

// Unwrap lets a ResponseController reach the connection.
func (o *observedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

func (m *Metrics) recordResult(o *observedWriter, completed bool) {
	switch {
	case !completed:
		m.count("requests_total", `outcome=%q`, outcomeCut)
	case o.refusal.Type != "":
		m.count("requests_total", `outcome=%q`, outcomeRefused)
		m.count("refusals_total", `reason=%q,ran=%q`, o.refusal.Type, string(o.refusal.Ran))
	default:
		m.count("requests_total", `outcome=%q`, outcomeAnswered)
		m.firstByte.Update(o.first.Seconds())
	}
}
