package replay

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	// batchSize is how many requests an engine runs in one step, stepTokens
	// how many prompt tokens it prefills in one.
	batchSize  = 32
	stepTokens = 128
	// batchCost is the share of a step's time that each request of the batch
	// adds to it.
	batchCost = 0.03
)

type (
	// engine is a fake endpoint: it batches continuously and caches prefixes.
	engine struct {
		sim     *simulation
		info    trace.Endpoint
		model   trace.Model
		cache   *prefixCache
		alive   bool
		leaving bool
		// left is when the planned stop was announced.
		left     time.Duration
		stepping bool
		runs     []*run
		// reports is the loads of the past, the oldest first; the load that
		// the engine reports lags.
		reports []timedLoad
	}

	// run is one attempt at a request on an engine.
	run struct {
		attempt uint64
		index   int
		ask     *trace.Event
		// from is the engine to import the chat's prefix from, ready when it
		// will be here.
		from     string
		ready    time.Duration
		prefill  int
		cached   int
		decode   int
		work     int
		started  bool
		first    bool
		onFirst  func(attempt uint64)
		onDone   func(attempt uint64)
		onBroken func(first bool)
	}

	timedLoad struct {
		at   time.Duration
		load kernel.Load
	}
)

func newEngine(s *simulation, info trace.Endpoint) *engine {
	m, _ := s.trace.Header.Model(info.Model)
	return &engine{sim: s, info: info, model: m, cache: newPrefixCache(m.Cache), alive: true}
}

// prefillRate is how many prompt tokens a second an engine computes with a few
// other requests in its batch.
func prefillRate(m trace.Model) float64 {
	const others = 6
	step := time.Duration(m.Step).Seconds() * (1 + batchCost*others)
	return stepTokens / step
}

// load is the work in progress. A request counts whole, its uncached prompt
// and its answer, until it is done.
func (e *engine) load() kernel.Load {
	var l kernel.Load
	for _, r := range e.runs {
		l = l.Add(kernel.Load{Requests: 1, Tokens: r.work})
	}
	return l
}

// report returns the load as the engine tells it, which lags.
func (e *engine) report(lag time.Duration) kernel.Load {
	e.note()
	for len(e.reports) > 1 && e.reports[1].at <= e.sim.queue.now-lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

func (e *engine) note() {
	e.reports = append(e.reports, timedLoad{at: e.sim.queue.now, load: e.load()})
}

// start takes an attempt. It reports false where the engine is gone.
func (e *engine) start(r *run) bool {
	if !e.alive {
		return false
	}
	cached := min(e.cache.use(r.ask.Chat), r.ask.Prefix)
	if got := min(e.held(r.from, r.ask.Chat), r.ask.Prefix); got > cached {
		e.sim.meter.moved += got - cached
		wait := time.Duration(float64(got-cached) / float64(e.model.Import) * float64(time.Second))
		r.ready = e.sim.queue.now + wait
		cached = got
	}
	r.cached = cached
	r.prefill = r.ask.Prefix + r.ask.Input - cached
	r.decode = r.ask.Output
	r.work = r.prefill + r.decode
	e.runs = append(e.runs, r)
	slices.SortStableFunc(e.runs, func(a, b *run) int {
		return b.ask.Priority - a.ask.Priority
	})
	e.sim.meter.started(e, r, cached)
	e.note()
	if !e.stepping {
		e.schedule()
	}
	return true
}

// held returns what another engine can export of a chat.
func (e *engine) held(from, chat string) int {
	g := e.sim.engines[from]
	if g == nil || !g.alive || e.model.Import == 0 {
		return 0
	}
	return g.cache.use(chat)
}

// cancel ends an attempt whose caller has gone.
func (e *engine) cancel(attempt uint64) {
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r.attempt == attempt })
	e.note()
}

// die ends the engine and everything that runs on it.
func (e *engine) die() {
	runs := e.runs
	e.alive = false
	e.runs = nil
	for _, r := range runs {
		e.sim.queue.after(e.sim.delay, func() { r.onBroken(r.first) })
	}
}

func (e *engine) schedule() {
	batch := min(len(e.runs), batchSize)
	e.stepping = batch > 0
	if !e.stepping {
		return
	}
	step := time.Duration(e.model.Step)
	step += time.Duration(float64(step) * batchCost * float64(batch))
	e.sim.queue.after(step, e.step)
}

// step runs one batch step: prompts are prefilled in order, up to the tokens
// of a step, and every prefilled request gets one token.
func (e *engine) step() {
	if !e.alive {
		return
	}
	budget := stepTokens
	batch := slices.Clone(e.runs[:min(len(e.runs), batchSize)])
	for _, r := range batch {
		if e.sim.crashes(r) {
			e.sim.killEngine(e)
			return
		}
		if r.ready > e.sim.queue.now {
			continue
		}
		if r.prefill > 0 {
			n := min(r.prefill, budget)
			r.prefill -= n
			budget -= n
			continue
		}
		e.decode(r)
	}
	e.schedule()
}

func (e *engine) decode(r *run) {
	r.decode--
	if !r.first {
		r.first = true
		e.sim.queue.after(e.sim.delay, func() { r.onFirst(r.attempt) })
	}
	if r.decode > 0 {
		return
	}
	if !e.model.Plain {
		e.cache.store(r.ask.Chat, r.ask.Prefix+r.ask.Input+r.ask.Output)
	}
	e.cancel(r.attempt)
	e.sim.queue.after(e.sim.delay, func() { r.onDone(r.attempt) })
}
