package bulrushhinge

import (
	"encoding/json"
	"net/http"
)

// serveState writes the gateway's state as JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(g.Dump(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(data)
}
