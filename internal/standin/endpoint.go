package standin

import (
	"net/http"
	"sync"
	"time"
)

const (
	defaultStep      = 5 * time.Millisecond
	defaultMaxTokens = 16
	bytesPerToken    = 4
	maxBodyBytes     = 4 << 20
)

type (
	// EndpointConfig is the settings of an Endpoint.
	EndpointConfig struct {
		Name string
		// Step is the time an engine takes for one token of each stream.
		Step   time.Duration
		Models []string
	}

	// Endpoint is a stand-in of a model engine and of a plain service. It is
	// an http.Handler.
	Endpoint struct {
		config  EndpointConfig
		mux     *http.ServeMux
		mu      sync.Mutex
		running int
		tokens  int
		leaving bool
		cached  map[string]int
		ran     map[string]int
	}
)

// NewEndpoint returns an idle Endpoint.
func NewEndpoint(c EndpointConfig) *Endpoint {
	if c.Step == 0 {
		c.Step = defaultStep
	}
	e := &Endpoint{config: c, mux: http.NewServeMux(), cached: map[string]int{}, ran: map[string]int{}}
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("/v1/services/", e.plain)
	return e
}

// ServeHTTP serves the endpoints' published protocol.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// SetLeaving makes the endpoint report that it is leaving.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Ran returns how often each body was run.
func (e *Endpoint) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := make(map[string]int, len(e.ran))
	for body, n := range e.ran {
		ran[body] = n
	}
	return ran
}

// Running returns how many requests are in progress.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
