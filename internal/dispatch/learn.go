package dispatch

import (
	"context"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// importTimeout bounds the transfer of a chat's KV cache ahead of a request.
const importTimeout = time.Second

// Caches transfers KV caches between endpoints.
type Caches interface {
	ExportKV(ctx context.Context, addr netip.AddrPort, chat string) (endpoint.KV, error)
	ImportKV(ctx context.Context, addr netip.AddrPort, kv endpoint.KV) error
}

// Learn reports the number of tokens in the complete answer and the number of
// prompt tokens that the endpoint had cached, negative if unknown.
func (r *Run) Learn(output, cached int) {
	r.job.plan.Learn(time.Now(), route.Usage{Endpoint: r.Endpoint.Name, Done: true, Output: output, Cached: cached})
}

// importCache copies a chat's KV cache from the endpoint that holds it. Errors are
// ignored: the endpoint then recomputes the prompt, which only costs time.
func (j *job) importCache(ctx context.Context, from, to kernel.Endpoint) {
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
