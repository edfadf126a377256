package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// session is one request at the engine, from arrival to completion.
type session struct {
	endpoint  *Endpoint
	ctx       context.Context
	cancel    context.CancelFunc
	slot      *slot
	chat      string
	prompt    int
	cached    int
	generated int
	faults    EndpointFaults
	// crash is set if the body contains the text of the Crash fault.
	crash bool
}

// begin waits until the batch has room and does the prefill. It returns nil if
// the request is canceled or its deadline passes.
func (e *Endpoint) begin(r *http.Request, body string, prompt, output int, f EndpointFaults) *session {
	s := &session{endpoint: e, chat: r.Header.Get(endpoint.HeaderChat), prompt: prompt, faults: f}
	s.ctx, s.cancel = withDeadline(r)
	priority, _ := strconv.Atoi(r.Header.Get(endpoint.HeaderPriority))
	e.mu.Lock()
	s.slot = e.batch.add(priority, prompt+output)
	e.recordLoad()
	e.mu.Unlock()
	if !s.wait(s.slot.ready) {
		s.leaveBatch()
		return nil
	}
	s.start(body)
	if !s.pause(time.Duration(prompt-s.cached) * e.config.Prefill) {
		s.end()
		return nil
	}
	return s
}

// start records that the request runs, looks up its cached prefix and crashes if
// the crash is due before the first part.
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

// crashAfter crashes the endpoint if the request is to crash it after that many
// parts of the answer.
func (s *session) crashAfter(parts int) {
	if s.crash && parts == s.faults.CrashAt {
		s.endpoint.crash()
	}
}

// crashAfterWriting is like crashAfter, but first waits until the parts have been
// written to the connection.
func (s *session) crashAfterWriting(a *attempt, parts int) {
	if s.crash && parts == s.faults.CrashAt && a.waitWritten(s.ctx, parts) {
		s.endpoint.crash()
	}
}

// step generates one token. It returns false if the request is canceled or its
// deadline passes.
func (s *session) step() bool {
	if !s.pause(s.endpoint.config.Step) {
		return false
	}
	s.generated++
	return true
}

// end caches the prefix and leaves the batch.
func (s *session) end() {
	e := s.endpoint
	e.mu.Lock()
	if s.prompt > 0 {
		e.cache.store(s.chat, s.prompt+s.generated)
	}
	e.mu.Unlock()
	s.leaveBatch()
}

func (s *session) leaveBatch() {
	s.cancel()
	e := s.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.remove(s.slot)
	e.recordLoad()
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

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := time.ParseDuration(r.Header.Get(endpoint.HeaderDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), left)
}
