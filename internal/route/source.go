package route

import "bulrushhinge.example/bulrushhinge/internal/kernel"

// minImport is the fewest tokens that are worth an import.
const minImport = 128

// Holder returns the endpoint that holds most of a chat's prefix, or nil.
func Holder(pool *kernel.Pool, req Request) *kernel.Endpoint {
	var best *kernel.Endpoint
	most := 0
	for name, held := range req.Cached {
		if held < most || held == most && best != nil && name > best.Name {
			continue
		}
		if i, ok := pool.Place(name); ok {
			best, most = &pool.Endpoints[i], held
		}
	}
	return best
}

// Source returns the endpoint from which another imports the chat's prefix,
// where the pool's endpoints can import for less than they compute and the gain
// is worth a transfer.
func Source(pool *kernel.Pool, req Request, to string) kernel.Endpoint {
	if pool == nil {
		return kernel.Endpoint{}
	}
	if h := Holder(pool, req); gain(req, to, h) > 0 {
		return *h
	}
	return kernel.Endpoint{}
}

// gain returns how many tokens an endpoint imports from the holder.
func gain(req Request, to string, holder *kernel.Endpoint) int {
	if holder == nil || holder.Name == to || req.Import <= 0 || req.Import >= 1 {
		return 0
	}
	n := req.Cached[holder.Name] - req.Cached[to]
	if n <= minImport {
		return 0
	}
	return n
}

// uncached returns what the prompt of a request costs at an endpoint, in tokens
// of prefill.
func uncached(req Request, e, holder *kernel.Endpoint) float64 {
	cost := float64(max(req.Input-req.Cached[e.Name], 0))
	return cost - (1-req.Import)*float64(gain(req, e.Name, holder))
}
