package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

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
