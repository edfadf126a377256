package caller

import (
	"fmt"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	v, a, p := h.authenticate(r)
	if p != nil {
		p.write(w)
		return
	}
	s, p := h.receive(w, r, a.Name)
	if p != nil {
		p.write(w)
		return
	}
	defer s.release()
	c, err := parseChat(s.body)
	if err != nil {
		badRequest(err).write(w)
		return
	}
	req, p := h.chatRequest(r, v, a, c, len(s.body))
	if p != nil {
		p.write(w)
		return
	}
	call := endpoint.Call{
		Path: entry.PathChat, Type: "application/json", Body: s.body,
		Chat: req.Chat, Priority: req.Priority, Deadline: req.Deadline, Once: req.AtMostOnce,
	}
	k := work{view: v, account: a, request: req, call: call, stopWaiting: s.stopWaiting}
	k.answer = func(w http.ResponseWriter, run *dispatch.Run) error { return h.answerChat(w, c, req, run) }
	h.run(w, r, k)
}

// authenticate returns the view and the caller's account.
func (h *Handler) authenticate(r *http.Request) (*kernel.View, manifest.Account, *problem) {
	v := h.config.View()
	if v.Manifest == nil {
		return nil, manifest.Account{}, notReady()
	}
	a, p := account(v, r)
	return v, a, p
}

func (h *Handler) chatRequest(r *http.Request, v *kernel.View, a manifest.Account, c endpoint.ChatRequest, size int) (route.Request, *problem) {
	service, ok := v.Manifest.ServiceOf(c.Model)
	if !ok {
		return route.Request{}, notFound("unknown_model", fmt.Sprintf("model %q", c.Model))
	}
	req, p := h.baseRequest(r, v, a)
	if p != nil {
		return req, p
	}
	req.Chat, p = chatName(r, a.Name, c)
	if p != nil {
		return req, p
	}
	req.Service = service.Name
	req.Model = c.Model
	req.AtMostOnce = req.AtMostOnce || service.Once
	req.Input = size / bytesPerToken
	req.Output = c.MaxTokens
	if req.Output <= 0 {
		req.Output = defaultOutput
	}
	return req, nil
}

func (h *Handler) answerChat(w http.ResponseWriter, c endpoint.ChatRequest, req route.Request, run *dispatch.Run) error {
	streamed := isStream(run.Answer.Header)
	if run.Answer.Status == http.StatusOK {
		w.Header().Set(HeaderHint, hint.Hint{Endpoint: run.Endpoint.Name, Tokens: req.Input, At: time.Now()}.String())
	}
	held := h.slots.emptyReservation()
	defer held.release()
	run.Answer.Meter = held.grow
	if c.Stream && streamed && run.Answer.Status == http.StatusOK {
		return h.stream(w, run)
	}
	data, err := h.readAnswer(run, streamed)
	if err != nil {
		return err
	}
	if streamed {
		run.Answer.Header.Set("Content-Type", "application/json")
	}
	return h.writeAnswer(w, run, data)
}

// cachedUnknown means that the number of cached tokens is not known.
const cachedUnknown = -1

// stream forwards a stream of events.
func (h *Handler) stream(w http.ResponseWriter, run *dispatch.Run) error {
	w.Header().Set(HeaderRan, string(RanYes))
	out := newEventWriter(w, h.config.WriteTimeout)
	out.setHeader()
	stream := endpoint.NewStream(run.Answer, run.Attempt)
	err := out.forward(stream)
	if err == nil {
		run.Learn(stream.Passed(), cachedUnknown)
	}
	return err
}

// readAnswer reads the complete answer, collecting the events if it is a stream.
func (h *Handler) readAnswer(run *dispatch.Run, streamed bool) ([]byte, error) {
	switch {
	case run.Answer.Status != http.StatusOK:
		return readWhole(run.Answer, h.config.MaxAnswer)
	case streamed:
		return collect(endpoint.NewStream(run.Answer, run.Attempt), h.config.MaxAnswer, run.Answer.Meter)
	default:
		return readChat(run, h.config.MaxAnswer)
	}
}
