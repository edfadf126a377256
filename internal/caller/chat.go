package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
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

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	v, a, p := h.admit(r)
	if p != nil {
		p.write(w)
		return
	}
	data, p := h.body(w, r)
	if p != nil {
		p.write(w)
		return
	}
	c, err := parseChat(data)
	if err != nil {
		badRequest(err).write(w)
		return
	}
	req, p := h.chatRequest(r, v, a, c, len(data))
	if p != nil {
		p.write(w)
		return
	}
	call := endpoint.Call{
		Path: "/v1/chat/completions", Type: "application/json", Body: data,
		Chat: req.Chat, Priority: req.Priority, Deadline: req.Deadline, Once: req.Once,
	}
	h.run(w, r, work{view: v, account: a, request: req, call: call, answer: func(w http.ResponseWriter, run *dispatch.Run) error {
		return h.answerChat(w, c, req, run)
	}})
}

// admit returns the view and the caller's account.
func (h *Handler) admit(r *http.Request) (*kernel.View, manifest.Account, *problem) {
	v := h.config.View()
	if v.Manifest == nil {
		return nil, manifest.Account{}, &problem{
			status: http.StatusServiceUnavailable, kind: "not_ready",
			text: "no accepted configuration yet", ran: RanNot, retry: DefaultRetry,
		}
	}
	a, p := account(v, r)
	return v, a, p
}

func (h *Handler) chatRequest(r *http.Request, v *kernel.View, a manifest.Account, c endpoint.ChatRequest, size int) (route.Request, *problem) {
	service, ok := v.Manifest.ServiceOf(c.Model)
	if !ok {
		return route.Request{}, &problem{status: http.StatusNotFound, kind: "unknown_model", text: fmt.Sprintf("model %q", c.Model), ran: RanNot}
	}
	req, p := h.common(r, v, a)
	if p != nil {
		return req, p
	}
	req.Chat, p = chatName(r, a.Name, c)
	if p != nil {
		return req, p
	}
	req.Service = service.Name
	req.Model = c.Model
	req.Once = req.Once || service.Once
	req.Input = size / bytesPerToken
	req.Output = c.MaxTokens
	if req.Output <= 0 {
		req.Output = defaultOutput
	}
	return req, nil
}

func (h *Handler) answerChat(w http.ResponseWriter, c endpoint.ChatRequest, req route.Request, run *dispatch.Run) error {
	if run.Answer.Status != http.StatusOK {
		return copyAnswer(w, run)
	}
	w.Header().Set(HeaderRequest, strconv.FormatUint(req.ID, 16))
	w.Header().Set(HeaderHint, hint.Hint{Endpoint: run.Endpoint.Name, Tokens: req.Input}.String())
	stream := endpoint.NewStream(run.Answer, run.Attempt)
	var err error
	if c.Stream {
		err = relay(w, stream)
	} else {
		err = collect(w, stream)
	}
	if err != nil {
		h.config.Log.WithError(err).WithFields(logrus.Fields{
			"request": req.ID, "chat": req.Chat, "account": req.Account,
			"endpoint": run.Endpoint.Name, "attempt": run.Attempt,
		}).Warn("answer not delivered whole")
	}
	return err
}

// relay passes a stream on as it comes. The caller sees the end mark only
// after the endpoint's own; where the answer was cut, an error event takes its
// place.
func relay(w http.ResponseWriter, s *endpoint.Stream) error {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	begun := false
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			_, err = fmt.Fprintf(w, "data: %s\n\n", endpoint.DoneMark)
			return err
		}
		if err != nil {
			if begun {
				_ = event(w, cutProblem().body())
			}
			return err
		}
		begun = true
		if err := event(w, c); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
	}
}

// collect gathers a stream into one whole answer.
func collect(w http.ResponseWriter, s *endpoint.Stream) error {
	answer := completion{Object: "chat.completion"}
	var text strings.Builder
	finish := ""
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		answer.ID, answer.Model = c.ID, c.Model
		if c.Usage != nil {
			answer.Usage = c.Usage
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
			if choice.FinishReason != nil {
				finish = *choice.FinishReason
			}
		}
	}
	answer.Choices = []completionChoice{{
		Message:      completionReply{Role: "assistant", Content: text.String()},
		FinishReason: finish,
	}}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, err = w.Write(data)
	return err
}

func event(w io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

func cutProblem() *problem {
	return &problem{
		status: http.StatusBadGateway, kind: "cut",
		text: "the endpoint's answer ended early", ran: RanUnknown, retry: DefaultRetry,
	}
}
