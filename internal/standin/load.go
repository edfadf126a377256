package standin

import (
	"encoding/json"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

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
