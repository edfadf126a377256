package standin

import (
	"encoding/json"
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
	f := e.nextFaults()
	s := e.begin(r, string(body), 0, 1, f)
	if s == nil {
		return
	}
	defer s.end()
	if !s.step() {
		return
	}
	if !pause(r, f.Silent) {
		return
	}
	w.Header().Set(endpoint.HeaderAttempt, r.Header.Get(endpoint.HeaderAttempt))
	if f.Endless != "" {
		writeEndless(w, r, f.Endless)
		return
	}
	answerPlain(w, f, echo{Endpoint: e.config.Name, Path: r.URL.Path, Echo: string(body)})
}

func answerPlain(w http.ResponseWriter, f EndpointFaults, answer echo) {
	if f.Cross != "" {
		w.Header().Set(endpoint.HeaderAttempt, foreignAttempt)
	}
	if f.Frame == "" {
		writeJSON(w, answer)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.Frame == "short" {
		writeShort(w, data)
	}
	writeUnframed(w, data)
}
