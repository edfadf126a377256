package replay

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

// idealPause is how long the ideal router waits where every engine is full.
const idealPause = time.Millisecond

// sendIdeal places a request as one router would that knows every engine's
// load and cache at once: the engine under the bound that holds most of the
// chat, the least loaded of equals.
func (s *simulation) sendIdeal(i int, e *trace.Event) {
	g := s.idealEngine(e)
	if g == nil {
		s.queue.after(idealPause, func() { s.sendIdeal(i, e) })
		return
	}
	s.attempts++
	r := &run{attempt: s.attempts, index: i, ask: e}
	r.onFirst = func(uint64) { s.meter.first(i, true) }
	r.onDone = func(uint64) { s.meter.whole(i, true) }
	r.onBroken = func(first bool) {
		if first {
			s.meter.broke(i)
			return
		}
		s.sendIdeal(i, e)
	}
	g.start(r)
}

func (s *simulation) idealEngine(e *trace.Event) *engine {
	pool := s.pool(e.Model)
	var best *engine
	var held int
	var load kernel.Load
	for _, candidate := range pool.Endpoints {
		if !gate.Fits(pool, candidate.Load, e.Input+e.Output) {
			continue
		}
		g := s.engines[candidate.Name]
		cached := min(g.cache.tokens(e.Chat), e.Prefix)
		better := cached > held || cached == held && lighter(candidate.Load, load)
		if best == nil || better {
			best, held, load = g, cached, candidate.Load
		}
	}
	return best
}

// lighter reports whether a is less load than b: fewer requests, then fewer
// tokens.
func lighter(a, b kernel.Load) bool {
	if a.Requests != b.Requests {
		return a.Requests < b.Requests
	}
	return a.Tokens < b.Tokens
}
