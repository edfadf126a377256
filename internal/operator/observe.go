package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// observed is a ResponseWriter that notes the status and a refusal.
type observed struct {
	http.ResponseWriter
	status  int
	refusal entry.Refusal
	began   time.Time
	first   time.Duration
}

// Observe counts the answers and refusals of a callers' handler. A handler that
// breaks its answer off, so that the caller cannot take it for a whole one, is
// counted as cut.
func (m *Metrics) Observe(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == entry.PathEntry {
			next.ServeHTTP(w, r)
			return
		}
		o := &observed{ResponseWriter: w, began: m.config.Now()}
		whole := false
		defer func() { m.ended(o, whole) }()
		next.ServeHTTP(o, r)
		whole = true
	})
}

// WriteHeader notes the status.
func (o *observed) WriteHeader(status int) {
	if o.status == 0 {
		o.status = status
		o.first = time.Since(o.began)
	}
	o.ResponseWriter.WriteHeader(status)
}

// Write notes the body of a refusal, which comes in one piece.
func (o *observed) Write(data []byte) (int, error) {
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
func (o *observed) Unwrap() http.ResponseWriter { return o.ResponseWriter }

func (m *Metrics) ended(o *observed, whole bool) {
	switch {
	case !whole:
		m.count("requests_total", `outcome=%q`, outcomeCut)
	case o.refusal.Type != "":
		m.count("requests_total", `outcome=%q`, outcomeRefused)
		m.count("refusals_total", `reason=%q,ran=%q`, o.refusal.Type, string(o.refusal.Ran))
	default:
		m.count("requests_total", `outcome=%q`, outcomeAnswered)
		m.first.Update(o.first.Seconds())
	}
}
