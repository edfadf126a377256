package dispatch

import (
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

type (
	// Record is a step of a request's plan, once when the plan names it and
	// once more when its outcome is known.
	Record struct {
		Time    time.Time
		Request route.Request
		Step    route.Step
		// Attempt names the attempt at endpoints and homes; empty before the
		// first permit was asked for.
		Attempt string
		// Outcome is 0 when the plan has just named the step.
		Outcome route.Outcome
	}

	// Recorder keeps what plans did, for operators.
	Recorder interface {
		Record(r Record)
	}

	// Recorders hands everything to each of several recorders.
	Recorders []Recorder

	planner interface {
		Next(now time.Time, v *kernel.View) route.Step
		Report(o route.Outcome)
		Learn(now time.Time, u route.Usage)
	}

	// recorded is a plan whose steps are recorded.
	recorded struct {
		planner
		job  *job
		to   Recorder
		step route.Step
	}
)

// Record hands a record on.
func (r Recorders) Record(rec Record) {
	for _, recorder := range r {
		recorder.Record(rec)
	}
}

// Next names the next step and records it.
func (r *recorded) Next(now time.Time, v *kernel.View) route.Step {
	r.step = r.planner.Next(now, v)
	r.record(now, 0)
	return r.step
}

// Report records an outcome and tells the plan.
func (r *recorded) Report(o route.Outcome) {
	r.record(time.Now(), o)
	r.planner.Report(o)
}

func (r *recorded) record(now time.Time, o route.Outcome) {
	rec := Record{Time: now, Request: r.job.req, Step: r.step, Outcome: o}
	if r.job.permit != 0 {
		rec.Attempt = strconv.FormatUint(r.job.permit, 16)
	}
	r.to.Record(rec)
}

// record lets the steps of a job's plan be recorded.
func (j *job) record() *job {
	if to := j.d.config.Recorder; to != nil {
		j.plan = &recorded{planner: j.plan, job: j, to: to}
	}
	return j
}
