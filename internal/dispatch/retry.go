package dispatch

import (
	"context"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Retry gives up an answer that came cut and carries the request on: to another
// endpoint, or to a *Refusal where it must not be repeated. The caller must not
// have been given any of the answer.
func (r *Run) Retry(ctx context.Context) (*Run, error) {
	_ = r.Close()
	j := r.job
	if ctx.Err() == nil {
		j.d.config.Sink.Offer(kernel.EndpointFailed{Endpoint: r.Endpoint.Name})
	}
	j.lost = true
	j.plan.Report(route.OutcomeLost)
	return j.carry(ctx)
}
