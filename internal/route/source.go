package route

import "bulrushhinge.example/bulrushhinge/internal/kernel"

// minImportTokens is the number of tokens up to which an import is not worth its
// cost.
const minImportTokens = 128

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

// Source returns the endpoint from which another imports the chat's prefix. It is
// empty unless the pool's endpoints import at a lower cost than they compute, and the
// gain is worth a transfer.
func Source(pool *kernel.Pool, req Request, to string) kernel.Endpoint {
	if pool == nil {
		return kernel.Endpoint{}
	}
	if h := Holder(pool, req); importTokens(req, to, h) > 0 {
		return *h
	}
	return kernel.Endpoint{}
}

// importTokens returns the number of tokens that an endpoint imports from the holder.
func importTokens(req Request, to string, holder *kernel.Endpoint) int {
	if holder == nil || holder.Name == to || req.Import <= 0 || req.Import >= 1 {
		return 0
	}
	n := req.Cached[holder.Name] - req.Cached[to]
	if n <= minImportTokens {
		return 0
	}
	return n
}

// prefillCost returns the cost of a request's prompt at an endpoint, in tokens of
// prefill.
func prefillCost(req Request, e, holder *kernel.Endpoint) float64 {
	cost := float64(max(req.Input-req.Cached[e.Name], 0))
	return cost - (1-req.Import)*float64(importTokens(req, e.Name, holder))
}
