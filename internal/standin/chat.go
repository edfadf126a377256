package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// answer is what an engine makes of one request.
	answer struct {
		attempt string
		model   string
		usage   endpoint.Usage
	}

	completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   endpoint.Usage     `json:"usage"`
	}

	completionChoice struct {
		Index        int            `json:"index"`
		Message      endpoint.Delta `json:"message"`
		FinishReason string         `json:"finish_reason"`
	}
)

const finishStop = "stop"

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
	s := e.begin(r, string(body), prompt, output)
	if s == nil {
		return
	}
	defer s.end()
	a := answer{attempt: r.Header.Get(endpoint.HeaderAttempt), model: req.Model, usage: usage(prompt, output, s.cached)}
	w.Header().Set(endpoint.HeaderAttempt, a.attempt)
	if req.Stream {
		e.stream(w, s, a, output)
		return
	}
	e.whole(w, s, a, output)
}

func (e *Endpoint) stream(w http.ResponseWriter, s *session, a answer, output int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range output {
		if !s.step() {
			return
		}
		send(w, chunk(a, e.token(i)))
	}
	last := chunk(a, "")
	stop := finishStop
	last.Choices[0].FinishReason = &stop
	last.Usage = &a.usage
	send(w, last)
	fmt.Fprintf(w, "data: %s\n\n", endpoint.DoneMark)
}

func (e *Endpoint) whole(w http.ResponseWriter, s *session, a answer, output int) {
	var text strings.Builder
	for i := range output {
		if !s.step() {
			return
		}
		text.WriteString(e.token(i))
	}
	writeJSON(w, completion{
		ID: a.attempt, Object: "chat.completion", Model: a.model, Usage: a.usage,
		Choices: []completionChoice{{
			Message:      endpoint.Delta{Role: "assistant", Content: text.String()},
			FinishReason: finishStop,
		}},
	})
}

func (e *Endpoint) token(i int) string { return fmt.Sprintf("%s-%d ", e.config.Name, i) }

func usage(prompt, output, cached int) endpoint.Usage {
	return endpoint.Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		PromptDetails:    endpoint.PromptDetails{CachedTokens: cached},
	}
}

func chunk(a answer, text string) endpoint.Chunk {
	return endpoint.Chunk{
		ID:      a.attempt,
		Object:  "chat.completion.chunk",
		Model:   a.model,
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
