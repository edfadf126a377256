package replay

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

// idealRetryInterval is how long the ideal router waits if every engine is full.
const idealRetryInterval = 20 * time.Millisecond

// sendIdeal places a request as a single router would that knows every engine's
// load and cache without delay.
func (s *simulation) sendIdeal(i int, e *trace.Event) {
	g, from := s.idealEngine(e)
	if g == nil {
		s.queue.after(idealRetryInterval, func() { s.sendIdeal(i, e) })
		return
	}
	s.attempts++
	r := &run{attempt: s.attempts, index: i, event: e, from: from}
	r.onFirst = func(uint64) { s.meter.first(i, true) }
	r.onDone = func(uint64) { s.meter.completed(i, true) }
	r.onBroken = func(first bool) {
		if first || e.Once {
			s.meter.broke(i)
			return
		}
		s.sendIdeal(i, e)
	}
	g.start(r)
}

// idealEngine returns the first engine, in the order of the policy's Ranker, that
// its Rule allows, both with exact state, and the engine to import from.
func (s *simulation) idealEngine(e *trace.Event) (g *engine, from string) {
	pool := s.pool(e.Model)
	request := route.Request{
		Chat: e.Chat, Input: e.Prefix + e.Input, Output: e.Output, Cached: map[string]int{},
		Import: s.importCosts()[e.Model],
	}
	for _, candidate := range pool.Endpoints {
		if held := min(s.engines[candidate.Name].cache.tokens(e.Chat), e.Prefix); held > 0 {
			request.Cached[candidate.Name] = held
		}
	}
	for _, i := range s.ideal.Rank(s.time(), pool, request) {
		candidate := pool.Endpoints[i]
		work := e.Prefix + e.Input + e.Output - request.Cached[candidate.Name]
		if s.rule.Fits(pool, candidate.Load, work, s.largest(pool)) {
			return s.engines[candidate.Name], route.Source(pool, request, candidate.Name).Name
		}
	}
	return nil, ""
}

// largest returns the tokens of the largest request in progress in a pool.
func (s *simulation) largest(pool *kernel.Pool) int {
	most := 0
	for _, e := range pool.Endpoints {
		for _, r := range s.engines[e.Name].runs {
			most = max(most, r.work)
		}
	}
	return most
}
