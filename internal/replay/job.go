package replay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	callerDelay   = time.Millisecond
	entryTTL      = 30 * time.Second
	permitTimeout = 250 * time.Millisecond
	leaseSlack    = time.Second
	// clientsPerAccount is the number of caller processes of an account.
	clientsPerAccount = 8
	// One chat in hintless belongs to a caller that sends no hints back.
	hintless = 5
)

type (
	// client is a caller's process; it caches a node's address for entryTTL.
	client struct {
		zone  string
		node  *node
		until time.Duration
	}

	// job is one request at a node.
	job struct {
		sim     *simulation
		node    *node
		index   int
		event   *trace.Event
		plan    *route.Plan
		request route.Request
		permit  uint64
		engine  *engine
		run     *run
		lost    bool
		first   bool
		done    bool
	}
)

// submit records a caller's request and sends it.
func (s *simulation) submit(i int, e *trace.Event) {
	s.meter.arrived(i, e)
	s.send(i, e, s.time().Add(time.Duration(e.Deadline)))
}

func (s *simulation) send(i int, e *trace.Event, deadline time.Time) {
	if s.config.Ideal {
		s.sendIdeal(i, e)
		return
	}
	n := s.entry(e)
	if n == nil {
		s.meter.unanswered(i)
		return
	}
	j := &job{sim: s, node: n, index: i, event: e}
	j.request = route.Request{
		ID: uint64(i) + 1, Account: e.Account, Chat: e.Chat, Service: e.Model, Model: e.Model, Zone: n.zone,
		Input: e.Prefix + e.Input, Output: outputLimit(e.Output), AtMostOnce: e.Once, Priority: e.Priority,
		Deadline: deadline, Hint: s.hints[e.Chat],
	}
	s.queue.after(callerDelay, func() { j.begin(deadline) })
}

// outputLimit returns the maximum number of output tokens that a caller sets;
// callers set it well above what they get.
func outputLimit(output int) int {
	limit := 256
	for limit < output {
		limit *= 2
	}
	return limit
}

// entry returns the node that a caller's process uses. The process gets the
// address from any open node and caches it for entryTTL.
func (s *simulation) entry(e *trace.Event) *node {
	h := xxhash.Sum64String(e.Chat)
	name := e.Account + "/" + string(rune('a'+h%clientsPerAccount))
	c := s.clients[name]
	if c == nil {
		zones := s.trace.Header.Zones
		c = &client{zone: zones[xxhash.Sum64String(name)%uint64(len(zones))]}
		s.clients[name] = c
	}
	if c.node != nil && c.node.open() && s.queue.now < c.until {
		return c.node
	}
	c.until = s.queue.now + entryTTL
	c.node = nil
	first := s.random.IntN(len(s.nodes))
	for k := range s.nodes {
		contact := s.nodes[(first+k)%len(s.nodes)]
		if !contact.open() {
			continue
		}
		for _, n := range caller.Nodes(contact.view(), c.zone, name) {
			if found := s.node(n.Name); found != nil && found.open() {
				c.node = found
				return found
			}
		}
	}
	return nil
}

func (n *node) open() bool { return n.alive && !n.closed }

func (n *node) sortedJobs() []*job {
	list := make([]*job, 0, len(n.jobs))
	for j := range n.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return a.index - b.index })
	return list
}

func (j *job) begin(deadline time.Time) {
	if !j.node.open() {
		j.onNodeStopped(false)
		return
	}
	j.node.jobs[j] = true
	j.plan = j.node.router.Plan(j.sim.time(), j.request)
	j.sim.queue.at(deadline.Sub(epoch), j.expire)
	j.next()
}

func (j *job) next() {
	if j.done {
		return
	}
	s := j.sim
	step := j.plan.Next(s.time(), j.node.view())
	switch step.Kind {
	case route.StepPermit:
		j.requestPermit(step)
	case route.StepRun:
		j.start(step.Endpoint, step.From.Name)
	case route.StepWait:
		s.meter.waits++
		s.queue.at(step.Until.Sub(epoch), j.next)
	case route.StepRefuse:
		j.end()
		s.meter.refused(j.index, step.Reason, !j.lost)
	}
}

func (j *job) report(o route.Outcome) {
	if j.done {
		return
	}
	j.plan.Report(o)
	j.next()
}

func (j *job) start(e kernel.Endpoint, from string) {
	s := j.sim
	if j.permit == 0 {
		s.attempts++
		j.permit = s.attempts
	}
	permit := j.permit
	g := s.engines[e.Name]
	r := &run{attempt: permit, index: j.index, event: j.event, from: from, onFirst: j.onFirst, onDone: j.onDone, onBroken: j.onBroken}
	s.queue.after(s.delay, func() {
		if j.done {
			return
		}
		if g != nil && g.start(r) {
			j.engine = g
			j.run = r
			return
		}
		s.queue.after(s.delay, func() {
			j.node.step(kernel.EndpointFailed{Endpoint: e.Name})
			j.release()
			j.permit = 0
			j.report(route.OutcomeNotRun)
		})
	})
}

func (j *job) onFirst(attempt uint64) {
	if j.done || j.first {
		return
	}
	j.first = true
	if !j.engine.model.Plain {
		j.plan.Learn(j.sim.time(), route.Usage{Endpoint: j.engine.info.Endpoint})
	}
	j.sim.meter.first(j.index, attempt == j.permit)
	if xxhash.Sum64String(j.event.Chat)%hintless != 0 && !j.engine.model.Plain {
		held := j.event.Prefix + j.event.Input + j.event.Output
		j.sim.hints[j.event.Chat] = hint.Hint{Endpoint: j.engine.info.Endpoint, Tokens: held, At: j.sim.time().Truncate(time.Second)}
	}
}

func (j *job) onDone(attempt uint64) {
	if j.done {
		return
	}
	if !j.engine.model.Plain {
		j.plan.Learn(j.sim.time(), route.Usage{
			Endpoint: j.engine.info.Endpoint, Done: true, Output: j.event.Output, Cached: j.run.cached,
		})
	}
	j.end()
	j.release()
	j.sim.meter.completed(j.index, attempt == j.permit)
}

// onBroken handles the death of the endpoint that ran the request.
func (j *job) onBroken(first bool) {
	if j.done {
		return
	}
	j.node.step(kernel.EndpointFailed{Endpoint: j.engine.info.Endpoint})
	j.release()
	j.permit = 0
	j.lost = true
	if first {
		j.end()
		j.sim.meter.broke(j.index)
		return
	}
	j.report(route.OutcomeLost)
}

// onNodeStopped handles the stop of the node that carried the request. The caller
// notices and sends it to another node, unless the request must not be repeated.
func (j *job) onNodeStopped(begun bool) {
	s := j.sim
	j.end()
	if j.engine != nil {
		g, permit := j.engine, j.permit
		s.queue.after(s.delay, func() { g.cancel(permit) })
	}
	if begun && j.event.Once || j.first {
		s.meter.broke(j.index)
		return
	}
	s.queue.after(callerDelay, func() { s.send(j.index, j.event, j.request.Deadline) })
}

// expire ends the request at the caller's deadline.
func (j *job) expire() {
	if j.done {
		return
	}
	j.end()
	if j.engine != nil {
		j.engine.cancel(j.permit)
	}
	j.release()
	j.sim.meter.expired(j.index)
}

func (j *job) end() {
	j.done = true
	delete(j.node.jobs, j)
}

func (j *job) release() { j.node.release(j.permit) }
