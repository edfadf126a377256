package standin

import (
	"encoding/json"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

func (e *Endpoint) exportKV(w http.ResponseWriter, r *http.Request) {
	chat := r.PathValue("chat")
	tokens := e.Cached(chat)
	if tokens == 0 {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, endpoint.KV{Chat: chat, Tokens: tokens})
}

func (e *Endpoint) importKV(w http.ResponseWriter, r *http.Request) {
	var kv endpoint.KV
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&kv)
	if err != nil || kv.Tokens <= 0 || kv.Chat != r.PathValue("chat") {
		http.Error(w, "a KV cache of this chat is needed", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.cache.store(kv.Chat, kv.Tokens)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
