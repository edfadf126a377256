package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

var (
	// answerHeaders is the headers of an endpoint's answer that are forwarded to
	// callers.
	answerHeaders = []string{
		"Content-Type", "Content-Encoding", "Content-Language", "Cache-Control", "ETag", "Last-Modified", "Location",
	}

	errAnswerTooLarge = errors.New("caller: the endpoint's answer is too large")
	errWrongAttempt   = fmt.Errorf("%w: answer belongs to another attempt", endpoint.ErrCut)
)

type (
	completion struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Model   string             `json:"model"`
		Choices []completionChoice `json:"choices"`
		Usage   *endpoint.Usage    `json:"usage,omitempty"`
	}

	completionChoice struct {
		Index        int             `json:"index"`
		Message      completionReply `json:"message"`
		FinishReason string          `json:"finish_reason"`
	}

	completionReply struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

// readWhole reads an answer of at most limit bytes up to its marked end.
func readWhole(a *endpoint.Answer, limit int64) ([]byte, error) {
	data, err := a.ReadAll(limit)
	if errors.Is(err, endpoint.ErrLarge) {
		return nil, errAnswerTooLarge
	}
	return data, err
}

// readChat reads an unstreamed chat completion and checks that it belongs to the
// attempt.
func readChat(run *dispatch.Run, limit int64) ([]byte, error) {
	data, err := readWhole(run.Answer, limit)
	if err != nil {
		return nil, err
	}
	var head struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, err
	}
	if head.ID != run.Attempt {
		return nil, errWrongAttempt
	}
	return data, nil
}

// collect merges a stream into one completion, for a caller that did not ask for
// a stream when the endpoint sends one anyway.
func collect(s *endpoint.Stream, limit int64, meter func(bytes int) error) ([]byte, error) {
	answer := completion{Object: "chat.completion"}
	var texts []*strings.Builder
	var size int64
	for {
		data, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if size += int64(len(data)); size > limit {
			return nil, errAnswerTooLarge
		}
		if err := meter(len(data)); err != nil {
			return nil, err
		}
		c, err := endpoint.Decode(data)
		if err != nil {
			return nil, err
		}
		texts = answer.addChunk(c, texts)
	}
	for i, text := range texts {
		answer.Choices[i].Message.Content = text.String()
	}
	return json.Marshal(answer)
}

// addChunk merges a chunk of the stream.
func (a *completion) addChunk(c endpoint.Chunk, texts []*strings.Builder) []*strings.Builder {
	const maxChoices = 128
	a.ID, a.Model = c.ID, c.Model
	if c.Usage != nil {
		a.Usage = c.Usage
	}
	for _, choice := range c.Choices {
		if choice.Index < 0 || choice.Index >= maxChoices {
			continue
		}
		for len(texts) <= choice.Index {
			a.Choices = append(a.Choices, completionChoice{Index: len(texts), Message: completionReply{Role: "assistant"}})
			texts = append(texts, &strings.Builder{})
		}
		texts[choice.Index].WriteString(choice.Delta.Content)
		if choice.FinishReason != nil {
			a.Choices[choice.Index].FinishReason = *choice.FinishReason
		}
	}
	return texts
}

// writeAnswer writes an endpoint's complete answer with its length, so that the caller
// can detect truncation.
func (h *Handler) writeAnswer(w http.ResponseWriter, run *dispatch.Run, data []byte) error {
	for _, name := range answerHeaders {
		if values := run.Answer.Header.Values(name); len(values) > 0 {
			w.Header()[name] = values
		}
	}
	ran := RanYes
	if run.Answer.Status >= http.StatusInternalServerError {
		ran = RanUnknown
	}
	w.Header().Set(HeaderRan, string(ran))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.config.WriteTimeout))
	w.WriteHeader(run.Answer.Status)
	_, err := w.Write(data)
	return err
}

// answerProblem returns the problem for an answer that could not be forwarded completely.
func (h *Handler) answerProblem(err error, deadline time.Time) *problem {
	switch {
	case errors.Is(err, errAnswerTooLarge):
		return answerTooLarge(h.config.MaxAnswer)
	case errors.Is(err, endpoint.ErrFull):
		return answerMemoryFull()
	case !time.Now().Before(deadline):
		return deadlineExceeded()
	case h.ending.Err() != nil:
		return aborted()
	default:
		return truncated()
	}
}
