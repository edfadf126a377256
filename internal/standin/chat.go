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
	// answer holds what all parts of the answer to one request share.
	answer struct {
		attempt string
		model   string
		usage   endpoint.Usage
		// promptEnd is the end of the prompt. The answer starts with it, so
		// that a caller can check that the answer belongs to its own request.
		promptEnd string
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
	e.serve(w, r, e.run(r, func(r *http.Request, a *attempt) {
		e.generate(r, a, req, string(body), output)
	}), 0)
}

// generate runs a chat request and adds its answer to the attempt.
func (e *Endpoint) generate(r *http.Request, to *attempt, req endpoint.ChatRequest, body string, output int) {
	prompt := len(body) / bytesPerToken
	s := e.begin(r, body, prompt, output, to.faults)
	if s == nil {
		return
	}
	defer s.end()
	a := answer{attempt: to.id, model: req.Model, usage: usage(prompt, output, s.cached), promptEnd: endOfPrompt(req)}
	if req.Stream {
		e.stream(to, s, a, output)
		return
	}
	e.complete(to, s, a, output)
}

func (e *Endpoint) stream(to *attempt, s *session, a answer, output int) {
	to.kind = "text/event-stream"
	for i := range output {
		if !s.step() {
			return
		}
		to.add(numberedEvent(i, chunk(a, e.token(a, i))))
		s.crashAfterWriting(to, i+1)
	}
	last := chunk(a, "")
	stop := finishStop
	last.Choices[0].FinishReason = &stop
	last.Usage = &a.usage
	to.add(numberedEvent(output, last))
	s.crashAfterWriting(to, output+1)
	to.add(fmt.Appendf(nil, "id: %d\ndata: %s\n\n", output+1, endpoint.DoneMark))
}

// complete generates the whole answer and adds it as one JSON body.
func (e *Endpoint) complete(to *attempt, s *session, a answer, output int) {
	to.kind = "application/json"
	var text strings.Builder
	for i := range output {
		if !s.step() {
			return
		}
		text.WriteString(e.token(a, i))
		s.crashAfter(i + 1)
	}
	data, err := json.Marshal(completion{
		ID: a.attempt, Object: "chat.completion", Model: a.model, Usage: a.usage,
		Choices: []completionChoice{{
			Message:      endpoint.Delta{Role: "assistant", Content: text.String()},
			FinishReason: finishStop,
		}},
	})
	if err == nil {
		to.add(data)
	}
}

func (e *Endpoint) token(a answer, i int) string {
	if i == 0 {
		return fmt.Sprintf("%s on %q: ", e.config.Name, a.promptEnd)
	}
	return fmt.Sprintf("%s-%d ", e.config.Name, i)
}

// endOfPrompt returns the end of the last message of a chat, or "" if its content
// is not a string.
func endOfPrompt(req endpoint.ChatRequest) string {
	const size = 64
	var text string
	if len(req.Messages) == 0 || json.Unmarshal(req.Messages[len(req.Messages)-1].Content, &text) != nil {
		return ""
	}
	return text[max(len(text)-size, 0):]
}

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

// numberedEvent returns a server-sent event with its number as ID, so that the
// answer can be resumed from there.
func numberedEvent(number int, c endpoint.Chunk) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		return nil
	}
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", number, data)
}
