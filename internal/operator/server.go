// Package operator serves the operators' own listener: state dump, metrics,
// health and readiness.
package operator

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

type (
	// Config is the settings of a Handler.
	Config struct {
		View func() *kernel.View
		// Dump returns the state of every part of the node.
		Dump func() map[string]any
	}

	// Handler is the http.Handler for operators.
	Handler struct {
		config Config
		mux    *http.ServeMux
	}
)

// New returns a Handler.
func New(c Config) *Handler {
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /state", h.state)
	h.mux.HandleFunc("GET /metrics", h.metrics)
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	return h
}

// ServeHTTP serves one request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

func (h *Handler) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(h.config.Dump())
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready fails before the first accepted configuration and once the planned
// stop has begun.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	v := h.config.View()
	if v.Manifest == nil || v.Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
