package standin

import (
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

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
