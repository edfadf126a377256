package dispatch

import (
	"context"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// admit waits for the request's turn within its account's share. A request whose
// turn would come after its deadline is refused at once: nothing has run, and
// the caller still has time to come back or go elsewhere.
func (d *Dispatcher) admit(ctx context.Context, req route.Request) *Refusal {
	if d.config.Meter != nil && req.Model != "" {
		d.config.Meter.Add(time.Now(), req.Model, req.Input+req.Output)
	}
	if d.config.Limiter == nil {
		return nil
	}
	entry := d.config.Limiter.Offer(time.Now(), limit.Ask{
		Account:  req.Account,
		Tokens:   req.Input + req.Output,
		Priority: req.Priority,
		Deadline: req.Deadline,
	})
	for {
		step := entry.Poll(time.Now())
		switch step.Kind {
		case limit.StepGo:
			return nil
		case limit.StepRefuse:
			return &Refusal{Reason: route.ReasonLimited, RetryAfter: step.RetryAfter, NotRun: true}
		}
		if !await(ctx, step.Until, entry.Wake()) {
			entry.Cancel()
			return &Refusal{Reason: route.ReasonDeadline, NotRun: true}
		}
	}
}

// await waits for a time or a wake. It reports false where ctx ended first.
func await(ctx context.Context, until time.Time, wake <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}
