package route

import "bulrushhinge.example/bulrushhinge/internal/kernel"

// minImport is the fewest tokens that are worth an import.
const minImport = 128

// Source returns the endpoint from which another imports the chat's prefix: the
// one that holds most of it, where the pool's endpoints can import for less
// than they compute and the gain is worth a transfer.
func Source(pool *kernel.Pool, req Request, to string) kernel.Endpoint {
	if pool == nil || req.Import <= 0 || req.Import >= 1 {
		return kernel.Endpoint{}
	}
	var best kernel.Endpoint
	most := req.Cached[to] + minImport
	for _, e := range pool.Endpoints {
		if held := req.Cached[e.Name]; e.Name != to && held > most {
			best, most = e, held
		}
	}
	return best
}

// uncached returns what the prompt of a request costs at an endpoint, in tokens
// of prefill.
func uncached(pool *kernel.Pool, req Request, e kernel.Endpoint) float64 {
	held := req.Cached[e.Name]
	cost := float64(max(req.Input-held, 0))
	if s := Source(pool, req, e.Name); s.Name != "" {
		cost -= (1 - req.Import) * float64(req.Cached[s.Name]-held)
	}
	return cost
}
