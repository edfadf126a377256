package operator

import (
	"strconv"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

const (
	// DefaultTraces is the default number of requests kept.
	DefaultTraces = 1024
	// maxSteps bounds one trace, as a request that waits long takes many steps.
	maxSteps = 32
)

var (
	stepNames = map[route.StepKind]string{
		route.StepPermit: "ask", route.StepRun: "run", route.StepWait: "wait", route.StepRefuse: "refuse",
	}
	outcomeNames = map[route.Outcome]string{
		route.OutcomeGranted: "granted", route.OutcomeDenied: "full", route.OutcomeUnavailable: "gone",
		route.OutcomeUnreachable: "unreachable", route.OutcomeNotRun: "not_run", route.OutcomeLost: "lost",
	}
)

type (
	// TracesConfig is the settings of Traces.
	TracesConfig struct {
		// Size is how many requests are kept; 0 is DefaultTraces.
		Size int
	}

	// Traces keeps the steps of the newest requests' plans in bounded memory.
	// It is safe for concurrent use.
	Traces struct {
		mu   sync.Mutex
		ring []*Trace
		next int
		byID map[uint64]*Trace
	}

	// Trace is the decisions on one request, in order.
	Trace struct {
		ID       string      `json:"id"`
		Account  string      `json:"account"`
		Chat     string      `json:"chat"`
		Service  string      `json:"service"`
		Model    string      `json:"model,omitempty"`
		Once     bool        `json:"once"`
		Priority int         `json:"priority"`
		Began    time.Time   `json:"began"`
		Deadline time.Time   `json:"deadline"`
		Hint     string      `json:"hint,omitempty"`
		Steps    []TraceStep `json:"steps"`
		// Omitted counts further steps that were not kept.
		Omitted int `json:"omitted,omitempty"`

		id uint64
	}

	// TraceStep is one decision and its outcome.
	TraceStep struct {
		// AfterMS is the time since the request began, in milliseconds.
		AfterMS float64 `json:"after_ms"`
		// Step is ask, run, wait or refuse.
		Step     string `json:"step"`
		Endpoint string `json:"endpoint,omitempty"`
		Owner    string `json:"home,omitempty"`
		// State and Requests are the endpoint's in the node's view.
		State    string `json:"state,omitempty"`
		Requests int    `json:"requests,omitempty"`
		// Attempt identifies the attempt in logs, at owners and at endpoints.
		Attempt string `json:"attempt,omitempty"`
		// Hinted says that the caller's hint named the endpoint.
		Hinted bool `json:"hinted,omitempty"`
		// WaitMS is how long a wait lasts, in milliseconds.
		WaitMS float64 `json:"wait_ms,omitempty"`
		// Reason is the reason for a refusal.
		Reason string `json:"reason,omitempty"`
		// Outcome is empty for a run that was answered or is still in progress.
		Outcome string `json:"outcome,omitempty"`
	}
)

// NewTraces returns an empty Traces.
func NewTraces(c TracesConfig) *Traces {
	if c.Size <= 0 {
		c.Size = DefaultTraces
	}
	return &Traces{ring: make([]*Trace, c.Size), byID: make(map[uint64]*Trace, c.Size)}
}

// Trace returns a copy of the trace of a request, by the id that callers get.
func (t *Traces) Trace(id string) (Trace, bool) {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Trace{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	trace := t.byID[n]
	if trace == nil {
		return Trace{}, false
	}
	c := *trace
	c.Steps = append([]TraceStep{}, trace.Steps...)
	return c, true
}

// Record adds a step of a request's plan, or the outcome of its last step.
func (t *Traces) Record(r dispatch.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	trace := t.byID[r.Request.ID]
	if trace == nil {
		trace = t.begin(r.Time, r.Request)
	}
	if r.Outcome != 0 {
		trace.setOutcome(r)
		return
	}
	if len(trace.Steps) == maxSteps && r.Step.Kind != route.StepRefuse {
		trace.Omitted++
		return
	}
	trace.Steps = append(trace.Steps, traceStep(trace, r))
}

// begin starts a new trace, which replaces the oldest.
func (t *Traces) begin(now time.Time, req route.Request) *Trace {
	if old := t.ring[t.next]; old != nil {
		delete(t.byID, old.id)
	}
	trace := &Trace{
		ID: strconv.FormatUint(req.ID, 16), id: req.ID,
		Account: req.Account, Chat: req.Chat, Service: req.Service, Model: req.Model,
		Once: req.AtMostOnce, Priority: req.Priority, Began: now, Deadline: req.Deadline,
		Hint: req.Hint.String(),
	}
	t.ring[t.next] = trace
	t.byID[req.ID] = trace
	t.next = (t.next + 1) % len(t.ring)
	return trace
}

func (t *Trace) setOutcome(r dispatch.Record) {
	if t.Omitted > 0 || len(t.Steps) == 0 {
		return
	}
	last := &t.Steps[len(t.Steps)-1]
	last.Outcome = outcomeNames[r.Outcome]
	last.Attempt = r.Attempt
}

func traceStep(t *Trace, r dispatch.Record) TraceStep {
	e := r.Step.Endpoint
	step := TraceStep{
		AfterMS: milliseconds(r.Time.Sub(t.Began)),
		Step:    stepNames[r.Step.Kind], Endpoint: e.Name, Owner: e.Owner,
		Reason: string(r.Step.Reason),
	}
	if e.Name != "" {
		step.State = e.State.String()
		step.Requests = e.Load.Requests
		step.Hinted = e.Name == r.Request.Hint.Endpoint
	}
	switch r.Step.Kind {
	case route.StepRun:
		step.Attempt = r.Attempt
	case route.StepWait:
		step.WaitMS = milliseconds(r.Step.Until.Sub(r.Time))
	}
	return step
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
