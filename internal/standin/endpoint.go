package standin

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// Defaults of an EndpointConfig.
const (
	DefaultStep        = 5 * time.Millisecond
	DefaultPrefill     = 20 * time.Microsecond
	DefaultMaxBatch    = 64
	DefaultCacheTokens = 1 << 20

	defaultMaxTokens = 16
	bytesPerToken    = 4
	maxBodyBytes     = 4 << 20
	maxRanBodies     = 1 << 16

	chatPath     = "/v1/chat/completions"
	servicesPath = "/v1/services/"
)

type (
	// EndpointConfig holds the settings of an Endpoint. Zero values of Step,
	// Prefill, MaxBatch, CacheTokens and Linger select the defaults.
	EndpointConfig struct {
		Name string
		// Step is the time to generate one token of a stream.
		Step time.Duration
		// Prefill is the time to process one prompt token that is not cached.
		Prefill time.Duration
		// MaxBatch is how many requests run at once; the others wait, highest
		// priority first.
		MaxBatch int
		// CacheTokens is the size of the prefix cache, in tokens.
		CacheTokens int
		Models      []string
		// Linger is how long a request keeps running after its connection
		// broke.
		Linger time.Duration
		// Unfenced makes the endpoint accept orders with any fencing number,
		// even an old one.
		Unfenced bool
		Faults   EndpointFaults
		// OnCrash, if set, is called when the endpoint crashes, to end the
		// process that it simulates. Its connections break in any case.
		OnCrash func()
	}

	// Endpoint simulates an endpoint that is both a model engine and a plain
	// service. It is an http.Handler.
	Endpoint struct {
		config  EndpointConfig
		mux     *http.ServeMux
		mu      sync.Mutex
		faults  EndpointFaults
		leaving bool
		batch   batch
		cache   *prefixCache
		loads   loadHistory
		ran     map[string]int
		// attempts holds the attempts that can be resumed.
		attempts *attempts
		started  int
		refused  int
		orders   orders
		// crashed is closed when the endpoint crashes.
		crashed chan struct{}
	}
)

// NewEndpoint returns an idle Endpoint.
func NewEndpoint(c EndpointConfig) *Endpoint {
	c = withDefaults(c)
	e := &Endpoint{
		config:   c,
		mux:      http.NewServeMux(),
		faults:   c.Faults,
		batch:    batch{size: c.MaxBatch},
		cache:    newPrefixCache(c.CacheTokens),
		ran:      map[string]int{},
		attempts: &attempts{byID: map[string]*attempt{}},
		crashed:  make(chan struct{}),
	}
	e.mux.HandleFunc("POST "+chatPath, e.chat)
	e.mux.HandleFunc("GET /v1/attempts/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/attempts/{id}", e.stop)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc(servicesPath, e.plain)
	e.mux.HandleFunc("GET /v1/events", e.events)
	e.mux.HandleFunc("GET /v1/kv/{chat...}", e.exportKV)
	e.mux.HandleFunc("PUT /v1/kv/{chat...}", e.importKV)
	e.mux.HandleFunc("GET /admin/faults", e.showFaults)
	e.mux.HandleFunc("PUT /admin/faults", e.setFaults)
	e.mux.HandleFunc("PUT /admin/leaving", e.announceLeaving)
	return e
}

// ServeHTTP serves the published protocol of endpoints and the admin calls.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isAdmin(r) {
		e.mux.ServeHTTP(w, r)
		return
	}
	f := e.Faults()
	if f.Down || e.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	if !pause(r, f.Delay) {
		return
	}
	if e.Leaving() {
		w.Header().Set(endpoint.HeaderLeaving, "0")
	}
	if f.Shed && isRequest(r) {
		e.refuse(w, f)
		return
	}
	e.mux.ServeHTTP(w, r)
}

// isRequest reports whether r is a caller's request that a node forwarded.
func isRequest(r *http.Request) bool {
	return r.URL.Path == chatPath || strings.HasPrefix(r.URL.Path, servicesPath)
}

// refuse answers 503 and reports that the request did not run.
func (e *Endpoint) refuse(w http.ResponseWriter, f EndpointFaults) {
	e.mu.Lock()
	e.refused++
	e.mu.Unlock()
	if f.Rest > 0 {
		w.Header().Set(endpoint.HeaderBackoff, strconv.FormatFloat(f.Rest.Seconds(), 'f', -1, 64))
	}
	w.Header().Set(endpoint.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Refused returns how many requests were refused because of the Shed fault.
func (e *Endpoint) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// SetLeaving sets whether the endpoint announces that it is leaving, in its load
// report and in the headers of all answers.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLoad()
}

// Leaving reports whether the endpoint is leaving.
func (e *Endpoint) Leaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.config.Name }

// Started returns how many requests have begun to run.
func (e *Endpoint) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Ran returns how many times a request with each body has started to run.
func (e *Endpoint) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := make(map[string]int, len(e.ran))
	for body, n := range e.ran {
		ran[body] = n
	}
	return ran
}

// Running returns the number of running and waiting requests.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch.load().Requests
}

// Cached returns how many tokens of a chat the prefix cache holds.
func (e *Endpoint) Cached(chat string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.tokens(chat)
}

func (e *Endpoint) announceLeaving(w http.ResponseWriter, _ *http.Request) {
	e.SetLeaving(true)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) isCrashed() bool {
	select {
	case <-e.crashed:
		return true
	default:
		return false
	}
}

// crash aborts all connections, as the end of the process would. It panics with
// http.ErrAbortHandler.
func (e *Endpoint) crash() {
	e.mu.Lock()
	first := !e.isCrashed()
	if first {
		close(e.crashed)
	}
	e.mu.Unlock()
	if first && e.config.OnCrash != nil {
		go e.config.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// report returns the current load. The caller holds the mutex.
func (e *Endpoint) report() endpoint.LoadReport {
	r := e.batch.load()
	r.Models = e.config.Models
	r.Leaving = e.leaving
	return r
}

func withDefaults(c EndpointConfig) EndpointConfig {
	if c.Step == 0 {
		c.Step = DefaultStep
	}
	if c.Prefill == 0 {
		c.Prefill = DefaultPrefill
	}
	if c.Linger == 0 {
		c.Linger = DefaultLinger
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = DefaultMaxBatch
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = DefaultCacheTokens
	}
	return c
}
