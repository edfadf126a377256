package dispatch

import (
	"context"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// importTimeout bounds the transfer of a chat's KV cache before a request.
const importTimeout = time.Second

// Caches moves KV caches between endpoints.
type Caches interface {
	ExportKV(ctx context.Context, addr netip.AddrPort, chat string) (endpoint.KV, error)
	ImportKV(ctx context.Context, addr netip.AddrPort, kv endpoint.KV) error
}

// Learn tells how many tokens the whole answer had, and how many of the prompt
// the endpoint had cached; negative where it did not say.
func (r *Run) Learn(output, cached int) {
	r.job.plan.Learn(time.Now(), route.Usage{Endpoint: r.Endpoint.Name, Done: true, Output: output, Cached: cached})
}

// move imports a chat's KV cache from the endpoint that holds it. Where that
// fails, the endpoint computes the prompt anew, which costs time and nothing
// else.
func (j *job) move(ctx context.Context, from, to kernel.Endpoint) {
	if from.Name == "" || j.d.config.Caches == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, importTimeout)
	defer cancel()
	kv, err := j.d.config.Caches.ExportKV(ctx, from.Addr, j.req.Chat)
	if err != nil {
		return
	}
	_ = j.d.config.Caches.ImportKV(ctx, to.Addr, kv)
}
