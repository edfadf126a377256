package replay

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	// batchSize is the maximum number of requests that an engine runs in one
	// step, stepTokens that of the prompt tokens that it prefills in one.
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
		// reports is the load history, oldest first; the engine reports its
		// load with a lag.
		reports []timedLoad
	}

	// run is one attempt at a request on an engine.
	run struct {
		attempt uint64
		index   int
		event   *trace.Event
		// from is the engine to import the chat's prefix from, ready the time
		// at which the import is complete.
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

// prefillRate returns how many prompt tokens per second an engine computes with a
// few other requests in its batch.
func prefillRate(m trace.Model) float64 {
	const others = 6
	step := time.Duration(m.Step).Seconds() * (1 + batchCost*others)
	return stepTokens / step
}

// load returns the work in progress. A request counts in full, with its uncached
// prompt and its output, until it is done.
func (e *engine) load() kernel.Load {
	var l kernel.Load
	for _, r := range e.runs {
		l = l.Add(kernel.Load{Requests: 1, Tokens: r.work})
	}
	return l
}

// report returns the load that the engine reports, which is lag old.
func (e *engine) report(lag time.Duration) kernel.Load {
	e.recordLoad()
	for len(e.reports) > 1 && e.reports[1].at <= e.sim.queue.now-lag {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

func (e *engine) recordLoad() {
	e.reports = append(e.reports, timedLoad{at: e.sim.queue.now, load: e.load()})
}

// start accepts an attempt. It returns false if the engine is dead.
func (e *engine) start(r *run) bool {
	if !e.alive {
		return false
	}
	cached := min(e.cache.use(r.event.Chat), r.event.Prefix)
	if got := min(e.exportable(r.from, r.event.Chat), r.event.Prefix); got > cached {
		e.sim.meter.moved += got - cached
		wait := time.Duration(float64(got-cached) / float64(e.model.Import) * float64(time.Second))
		r.ready = e.sim.queue.now + wait
		cached = got
	}
	r.cached = cached
	r.prefill = r.event.Prefix + r.event.Input - cached
	r.decode = r.event.Output
	r.work = r.prefill + r.decode
	e.runs = append(e.runs, r)
	slices.SortStableFunc(e.runs, func(a, b *run) int {
		return b.event.Priority - a.event.Priority
	})
	e.sim.meter.started(e, r, cached)
	e.recordLoad()
	if !e.stepping {
		e.schedule()
	}
	return true
}

// exportable returns how many tokens of a chat another engine can export.
func (e *engine) exportable(from, chat string) int {
	g := e.sim.engines[from]
	if g == nil || !g.alive || e.model.Import == 0 {
		return 0
	}
	return g.cache.use(chat)
}

// cancel removes an attempt that is complete or whose caller has gone.
func (e *engine) cancel(attempt uint64) {
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r.attempt == attempt })
	e.recordLoad()
}

// die stops the engine and breaks every attempt that runs on it.
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

// step runs one batch step: it prefills prompts in order, up to stepTokens, and
// decodes one token for every prefilled request.
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
		e.cache.store(r.event.Chat, r.event.Prefix+r.event.Input+r.event.Output)
	}
	e.cancel(r.attempt)
	e.sim.queue.after(e.sim.delay, func() { r.onDone(r.attempt) })
}
