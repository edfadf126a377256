// Package operator implements the HTTP API for operators: state dump, metrics,
// health and readiness, the active revision, live and leaving instances, and
// the decisions on single requests.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const bearer = "Bearer "

type (
	// Config is the settings of a Handler.
	Config struct {
		View func() *kernel.View
		// Dump returns the state of every part of the node.
		Dump func() map[string]any
		// Record returns the signed record of the revision that the node
		// holds, nil if there is none.
		Record func() []byte
		// Token is the bearer token that operators must send. If it is empty,
		// only health and readiness are served.
		Token string
		// Metrics and Traces are the node's metrics and request traces.
		Metrics *Metrics
		Traces  *Traces
	}

	// Handler is the http.Handler for operators.
	Handler struct {
		config Config
		mux    *http.ServeMux
	}

	// Revision is the answer to GET /revision.
	Revision struct {
		// Revision is the active revision; 0 is none.
		Revision uint64 `json:"revision"`
		// Record is the newest record that the node holds.
		Record json.RawMessage `json:"record,omitempty"`
	}

	// Instances is the answer to GET /instances.
	Instances struct {
		Nodes     []Instance `json:"nodes"`
		Endpoints []Instance `json:"endpoints"`
	}

	// Instance is a node or an endpoint in the node's view.
	Instance struct {
		Name    string       `json:"name"`
		Zone    string       `json:"zone"`
		Service string       `json:"service,omitempty"`
		State   kernel.State `json:"state"`
		// Owner is the owner: the node that admits work to an endpoint.
		Owner string `json:"home,omitempty"`
		// Requests and Tokens are an endpoint's outstanding work.
		Requests int `json:"requests,omitempty"`
		Tokens   int `json:"tokens,omitempty"`
	}
)

// New returns a Handler.
func New(c Config) *Handler {
	h := &Handler{config: c, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /healthz", h.health)
	h.mux.HandleFunc("GET /readyz", h.ready)
	h.mux.HandleFunc("GET /state", h.requireToken(h.state))
	h.mux.HandleFunc("GET /metrics", h.requireToken(h.metrics))
	h.mux.HandleFunc("GET /revision", h.requireToken(h.revision))
	h.mux.HandleFunc("GET /instances", h.requireToken(h.instances))
	h.mux.HandleFunc("GET /requests/{id}", h.requireToken(h.request))
	return h
}

// ServeHTTP serves one request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// requireToken calls next only for requests with the bearer token.
func (h *Handler) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if h.config.Token == "" {
			http.Error(w, "the node has no operators' token; set one to use this call", http.StatusForbidden)
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if subtle.ConstantTimeCompare([]byte(token), []byte(h.config.Token)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "wrong or missing bearer token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (h *Handler) state(w http.ResponseWriter, _ *http.Request) { reply(w, h.config.Dump()) }

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	h.config.Metrics.Write(w)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready fails before the first accepted configuration and once a graceful
// shutdown has begun.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	v := h.config.View()
	switch {
	case v.Manifest == nil:
		http.Error(w, "not ready: no accepted configuration yet", http.StatusServiceUnavailable)
	case v.Leaving:
		http.Error(w, "not ready: stopping", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (h *Handler) revision(w http.ResponseWriter, _ *http.Request) {
	reply(w, Revision{Revision: activeRevision(h.config.View()), Record: h.config.Record()})
}

func (h *Handler) instances(w http.ResponseWriter, _ *http.Request) {
	v := h.config.View()
	i := Instances{Nodes: []Instance{}, Endpoints: []Instance{}}
	for _, n := range v.Nodes {
		i.Nodes = append(i.Nodes, Instance{Name: n.Name, Zone: n.Zone, State: n.State})
	}
	for _, name := range services(v) {
		for _, e := range v.Pools[name].Endpoints {
			i.Endpoints = append(i.Endpoints, Instance{
				Name: e.Name, Zone: e.Zone, Service: e.Service, State: e.State, Owner: e.Owner,
				Requests: e.Load.Requests, Tokens: e.Load.Tokens,
			})
		}
	}
	reply(w, i)
}

func (h *Handler) request(w http.ResponseWriter, r *http.Request) {
	t, ok := h.config.Traces.Trace(r.PathValue("id"))
	if !ok {
		http.Error(w, "no such request: it reached another node or was long ago", http.StatusNotFound)
		return
	}
	reply(w, t)
}

func reply(w http.ResponseWriter, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func activeRevision(v *kernel.View) uint64 {
	if v.Manifest == nil {
		return 0
	}
	return v.Manifest.Revision
}
