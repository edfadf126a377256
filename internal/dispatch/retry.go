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
	return r.job.execute(ctx)
}
