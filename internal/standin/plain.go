package standin

import (
	"encoding/json"
	"io"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

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
