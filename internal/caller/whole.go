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
	// passedBack is the headers of an endpoint's answer that callers see.
	passedBack = []string{
		"Content-Type", "Content-Encoding", "Content-Language", "Cache-Control", "ETag", "Last-Modified", "Location",
	}

	errTooLong = errors.New("caller: the endpoint's answer is too long")
	errCrossed = fmt.Errorf("%w: answer is of another attempt", endpoint.ErrCut)
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

// whole reads an answer to its marked end, within a limit.
func whole(a *endpoint.Answer, limit int64) ([]byte, error) {
	data, err := a.ReadAll(limit)
	if errors.Is(err, endpoint.ErrLarge) {
		return nil, errTooLong
	}
	return data, err
}

// wholeChat reads a chat completion that is not streamed and checks that it
// belongs to the attempt.
func wholeChat(run *dispatch.Run, limit int64) ([]byte, error) {
	data, err := whole(run.Answer, limit)
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
		return nil, errCrossed
	}
	return data, nil
}

// collect gathers a stream into one whole answer, for a caller that asked for
// no stream and an endpoint that streams all the same.
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
			return nil, errTooLong
		}
		if err := meter(len(data)); err != nil {
			return nil, err
		}
		c, err := endpoint.Decode(data)
		if err != nil {
			return nil, err
		}
		texts = answer.add(c, texts)
	}
	for i, text := range texts {
		answer.Choices[i].Message.Content = text.String()
	}
	return json.Marshal(answer)
}

// add takes a chunk in.
func (a *completion) add(c endpoint.Chunk, texts []*strings.Builder) []*strings.Builder {
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

// pass writes an endpoint's whole answer with its length, so that the caller
// can tell a cut one.
func (h *Handler) pass(w http.ResponseWriter, run *dispatch.Run, data []byte) error {
	for _, name := range passedBack {
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

// broken returns the problem of an answer that could not be read whole.
func (h *Handler) broken(err error, deadline time.Time) *problem {
	switch {
	case errors.Is(err, errTooLong):
		return tooLong(h.config.MaxAnswer)
	case errors.Is(err, endpoint.ErrFull):
		return noRoom()
	case !time.Now().Before(deadline):
		return late()
	case h.ending.Err() != nil:
		return givenUp()
	default:
		return cut()
	}
}
