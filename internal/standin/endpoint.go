package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
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

func (e *Endpoint) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var req endpoint.ChatRequest
	if err == nil {
		err = json.Unmarshal(body, &req)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	output := req.MaxTokens
	if output <= 0 {
		output = defaultMaxTokens
	}
	prompt := len(body) / bytesPerToken
	cached := e.begin(r, string(body), prompt, output)
	defer e.end(prompt, output)
	attempt := r.Header.Get(endpoint.HeaderAttempt)
	w.Header().Set(endpoint.HeaderAttempt, attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range output {
		if !e.step(r) {
			return
		}
		send(w, chunk(attempt, req.Model, fmt.Sprintf("%s-%d ", e.config.Name, i)))
	}
	last := chunk(attempt, req.Model, "")
	stop := "stop"
	last.Choices[0].FinishReason = &stop
	last.Usage = &endpoint.Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		PromptDetails:    endpoint.PromptDetails{CachedTokens: cached},
	}
	send(w, last)
	fmt.Fprintf(w, "data: %s\n\n", endpoint.DoneMark)
}

func (e *Endpoint) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.begin(r, string(body), 0, 1)
	defer e.end(0, 1)
	if !e.step(r) {
		return
	}
	w.Header().Set(endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"endpoint": e.config.Name, "path": r.URL.Path, "echo": string(body)})
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := endpoint.LoadReport{
		Requests: e.running,
		Tokens:   e.tokens,
		Models:   e.config.Models,
		Leaving:  e.leaving,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Endpoint) begin(r *http.Request, body string, prompt, output int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.tokens += prompt + output
	e.ran[body]++
	chat := r.Header.Get(endpoint.HeaderChat)
	cached := min(e.cached[chat], prompt)
	if chat != "" {
		e.cached[chat] = prompt + output
	}
	return cached
}

func (e *Endpoint) end(prompt, output int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.tokens -= prompt + output
}

func (e *Endpoint) step(r *http.Request) bool {
	timer := time.NewTimer(e.config.Step)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func chunk(attempt, model, text string) endpoint.Chunk {
	return endpoint.Chunk{
		ID:      attempt,
		Object:  "chat.completion.chunk",
		Model:   model,
		Choices: []endpoint.Choice{{Delta: endpoint.Delta{Content: text}}},
	}
}

func send(w http.ResponseWriter, c endpoint.Chunk) {
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
