package dispatch

import (
	"context"

	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Fail tells why an answer did not come whole, before the Run is closed.
func (r *Run) Fail(ctx context.Context, err error) { r.job.failed(ctx, r.Endpoint, err) }

// Retry gives up an answer that came cut and carries the request on: to another
// endpoint, or to a *Refusal where it must not be repeated. The caller must not
// have been given any of the answer.
func (r *Run) Retry(ctx context.Context, err error) (*Run, error) {
	r.Fail(ctx, err)
	_ = r.Close()
	r.job.lost = true
	r.job.plan.Report(route.OutcomeLost)
	return r.job.carry(ctx)
}
