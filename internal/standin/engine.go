package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// session is one request at the engine, from its arrival to its end.
type session struct {
	endpoint *Endpoint
	ctx      context.Context
	cancel   context.CancelFunc
	place    *place
	chat     string
	prompt   int
	cached   int
	made     int
	faults   EndpointFaults
	// crash is set where the request carries the crash mark.
	crash bool
}

// begin waits for a place in the batch and does the prefill. It returns nil
// where the caller hung up or the deadline passed.
func (e *Endpoint) begin(r *http.Request, body string, prompt, output int, f EndpointFaults) *session {
	s := &session{endpoint: e, chat: r.Header.Get(endpoint.HeaderChat), prompt: prompt, faults: f}
	s.ctx, s.cancel = untilDeadline(r)
	priority, _ := strconv.Atoi(r.Header.Get(endpoint.HeaderPriority))
	e.mu.Lock()
	s.place = e.batch.join(priority, prompt+output)
	e.note()
	e.mu.Unlock()
	if !s.wait(s.place.ready) {
		s.leave()
		return nil
	}
	s.start(body)
	if !s.pause(time.Duration(prompt-s.cached) * e.config.Prefill) {
		s.end()
		return nil
	}
	return s
}

// start runs the request: from here on it counts as run.
func (s *session) start(body string) {
	e := s.endpoint
	e.mu.Lock()
	e.started++
	if len(e.ran) < maxRanBodies || e.ran[body] > 0 {
		e.ran[body]++
	}
	s.cached = min(e.cache.tokens(s.chat), s.prompt)
	e.mu.Unlock()
	s.crash = s.faults.Crash != "" && strings.Contains(body, s.faults.Crash)
	s.crashAfter(0)
}

// crashAfter crashes the endpoint where its request is to do so after so many
// parts of the answer.
func (s *session) crashAfter(parts int) {
	if s.crash && parts == s.faults.CrashAt {
		s.endpoint.crash()
	}
}

// crashAfterPassing is crashAfter for parts that have to be on their way to the
// node first.
func (s *session) crashAfterPassing(a *attempt, parts int) {
	if s.crash && parts == s.faults.CrashAt && a.delivered(s.ctx, parts) {
		s.endpoint.crash()
	}
}

// step makes one token. It reports false where the caller hung up.
func (s *session) step() bool {
	if !s.pause(s.endpoint.config.Step) {
		return false
	}
	s.made++
	return true
}

// end keeps the prefix and frees the place.
func (s *session) end() {
	e := s.endpoint
	e.mu.Lock()
	if s.prompt > 0 {
		e.cache.store(s.chat, s.prompt+s.made)
	}
	e.mu.Unlock()
	s.leave()
}

func (s *session) leave() {
	s.cancel()
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.leave(s.place)
	e.note()
}

func (s *session) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	case <-s.endpoint.crashed:
		panic(http.ErrAbortHandler)
	}
}

func (s *session) wait(ready <-chan struct{}) bool {
	select {
	case <-ready:
		return true
	case <-s.ctx.Done():
		return false
	case <-s.endpoint.crashed:
		panic(http.ErrAbortHandler)
	}
}

func untilDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := time.ParseDuration(r.Header.Get(endpoint.HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), left)
}
