package dispatch

import (
	"context"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// admit waits until the request fits its account's rate limit. A request that
// would have to wait past its deadline is refused at once, not at the deadline:
// nothing has run, and the caller still has time to retry or use another service.
func (d *Dispatcher) admit(ctx context.Context, req route.Request) *Refusal {
	if d.config.Meter != nil && req.Model != "" {
		d.config.Meter.Add(time.Now(), req.Model, req.Input+req.Output)
	}
	if d.config.Limiter == nil {
		return nil
	}
	entry := d.config.Limiter.Enqueue(time.Now(), limit.Request{
		Account:  req.Account,
		Tokens:   req.Input + req.Output,
		Priority: req.Priority,
		Deadline: req.Deadline,
	})
	for {
		step := entry.Poll(time.Now())
		switch step.Kind {
		case limit.StepAdmit:
			return nil
		case limit.StepRefuse:
			return &Refusal{Reason: route.ReasonLimited, RetryAfter: step.RetryAfter, NotRun: true}
		}
		if !waitForWake(ctx, step.Until, entry.Wake()) {
			entry.Cancel()
			return &Refusal{Reason: endReason(ctx), NotRun: true}
		}
	}
}

// waitForWake blocks until the given time or a receive from wake. It returns false if
// ctx ends first.
func waitForWake(ctx context.Context, until time.Time, wake <-chan struct{}) bool {
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
