package dispatch

import (
	"context"
	"errors"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

type (
	// Record describes a step of a request's plan. Each step is recorded when the
	// plan returns it and again when its outcome is known.
	Record struct {
		Time    time.Time
		Request route.Request
		Step    route.Step
		// Attempt is the identifier of the attempt at endpoints and owners; empty
		// before the first permit request.
		Attempt string
		// Outcome is 0 until it is known.
		Outcome route.Outcome
	}

	// Recorder records the steps of plans for operators.
	Recorder interface {
		Record(r Record)
	}

	// Recorders is a Recorder that passes each record to several recorders.
	Recorders []Recorder

	// planner is the part of route.Plan that a job uses.
	planner interface {
		Next(now time.Time, v *kernel.View) route.Step
		Report(o route.Outcome)
		Learn(now time.Time, u route.Usage)
	}

	// recorded is a plan that records its steps.
	recorded struct {
		planner
		job      *job
		recorder Recorder
		step     route.Step
	}
)

// Record passes a record to each recorder.
func (r Recorders) Record(rec Record) {
	for _, recorder := range r {
		recorder.Record(rec)
	}
}

// Next returns the next step and records it.
func (r *recorded) Next(now time.Time, v *kernel.View) route.Step {
	r.step = r.planner.Next(now, v)
	r.record(now, 0)
	return r.step
}

// Report records an outcome and passes it to the plan.
func (r *recorded) Report(o route.Outcome) {
	r.record(time.Now(), o)
	r.planner.Report(o)
}

func (r *recorded) record(now time.Time, o route.Outcome) {
	rec := Record{Time: now, Request: r.job.req, Step: r.step, Outcome: o}
	if r.job.permitID != 0 {
		rec.Attempt = strconv.FormatUint(r.job.permitID, 16)
	}
	r.recorder.Record(rec)
}

// refuse ends the job with a refusal that its plan does not know of.
func (j *job) refuse(r *Refusal) *Refusal {
	j.releaseLease(false)
	j.d.recordRefusal(j.req, r)
	return r
}

// recordRefusal records a refusal that no plan has returned.
func (d *Dispatcher) recordRefusal(req route.Request, r *Refusal) {
	if d.config.Recorder == nil {
		return
	}
	step := route.Step{Kind: route.StepRefuse, Reason: r.Reason, RetryAfter: r.RetryAfter}
	d.config.Recorder.Record(Record{Time: time.Now(), Request: req, Step: step})
}

// endReason returns why a request whose context has ended is refused.
func endReason(ctx context.Context) route.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return route.ReasonCanceled
	}
	return route.ReasonDeadline
}

// withRecorder wraps the plan so that its steps are recorded, if there is a recorder.
func (j *job) withRecorder() *job {
	if recorder := j.d.config.Recorder; recorder != nil {
		j.plan = &recorded{planner: j.plan, job: j, recorder: recorder}
	}
	return j
}
