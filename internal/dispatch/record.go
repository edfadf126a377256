package dispatch

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

type (
	// Recorder keeps what plans did, for operators.
	Recorder interface {
		// Step is a step that a request's plan named.
		Step(now time.Time, req route.Request, s route.Step)
		// Outcome is what came of the request's last step.
		Outcome(now time.Time, req route.Request, o route.Outcome)
	}

	// Recorders hands everything to each of several recorders.
	Recorders []Recorder

	planner interface {
		Next(now time.Time, v *kernel.View) route.Step
		Report(o route.Outcome)
	}

	recorded struct {
		planner
		req route.Request
		to  Recorder
	}
)

// Step hands a step on.
func (r Recorders) Step(now time.Time, req route.Request, s route.Step) {
	for _, recorder := range r {
		recorder.Step(now, req, s)
	}
}

// Outcome hands an outcome on.
func (r Recorders) Outcome(now time.Time, req route.Request, o route.Outcome) {
	for _, recorder := range r {
		recorder.Outcome(now, req, o)
	}
}

// Next names the next step and records it.
func (r *recorded) Next(now time.Time, v *kernel.View) route.Step {
	s := r.planner.Next(now, v)
	r.to.Step(now, r.req, s)
	return s
}

// Report records an outcome and tells the plan.
func (r *recorded) Report(o route.Outcome) {
	r.to.Outcome(time.Now(), r.req, o)
	r.planner.Report(o)
}

// record returns the plan of a request whose steps are recorded.
func (d *Dispatcher) record(req route.Request, p planner) planner {
	if d.config.Recorder == nil {
		return p
	}
	return &recorded{planner: p, req: req, to: d.config.Recorder}
}
