package standin

import (
	"io"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type echo struct {
	Endpoint string `json:"endpoint"`
	Path     string `json:"path"`
	Echo     string `json:"echo"`
}

func (e *Endpoint) plain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.begin(r, string(body), 0, 1)
	if s == nil {
		return
	}
	defer s.end()
	if !s.step() {
		return
	}
	w.Header().Set(endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
	writeJSON(w, echo{Endpoint: e.config.Name, Path: r.URL.Path, Echo: string(body)})
}
