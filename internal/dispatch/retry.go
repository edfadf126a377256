package dispatch

import (
	"context"

	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Fail reports why an answer is incomplete. It must be called before Close.
func (r *Run) Fail(ctx context.Context, err error) { r.job.reportFailure(ctx, r.Endpoint, err) }

// Retry abandons a truncated answer and continues with the plan: it returns the
// answer of another endpoint, or a *Refusal if the request must not be repeated.
// The caller must not have received any part of the answer.
func (r *Run) Retry(ctx context.Context, err error) (*Run, error) {
	r.Fail(ctx, err)
	_ = r.Close()
	r.job.mayHaveRun = true
	r.job.plan.Report(route.OutcomeLost)
	if refusal := r.job.refuseEnded(ctx); refusal != nil {
		return nil, refusal
	}
	return r.job.execute(ctx)
}

// refuseEnded returns a refusal if the job's context has ended.
//
// The plan would otherwise take a retry from the node's budget for each caller that
// disconnects and each deadline that passes while an endpoint runs the request. Requests
// whose endpoint fails would then be refused for want of a retry.
func (j *job) refuseEnded(ctx context.Context) *Refusal {
	if ctx.Err() == nil {
		return nil
	}
	return j.refuse(&Refusal{Reason: endReason(ctx), RetryAfter: route.RetryAfter, NotRun: !j.mayHaveRun})
}
