// Package route decides where a request runs. A Plan is the state machine of
// one request: it names the next step, and its driver does the I/O and tells
// what came of it. The node's traffic goroutines and the replay drive the same
// plans.
package route

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
)

// Kinds of steps.
const (
	// StepAsk asks the home of an endpoint for a permit.
	StepAsk StepKind = iota + 1
	// StepRun dispatches the request to an endpoint.
	StepRun
	// StepWait lets time pass and asks for the next step then.
	StepWait
	// StepRefuse ends the request: it was not run.
	StepRefuse
)

// Outcomes of a step.
const (
	// OutcomeGranted is a permit that was granted.
	OutcomeGranted Outcome = iota + 1
	// OutcomeFull is a permit that was denied because of the bound.
	OutcomeFull
	// OutcomeGone is an endpoint that takes no work.
	OutcomeGone
	// OutcomeLate is a request that cannot be done before its deadline.
	OutcomeLate
	// OutcomeUnreachable is a home that did not answer.
	OutcomeUnreachable
	// OutcomeNotRun is a dispatch that certainly did not reach the endpoint.
	OutcomeNotRun
	// OutcomeLost is a dispatch of which nobody knows whether it ran.
	OutcomeLost
)

// Reasons of a refusal.
const (
	// ReasonNone is no refusal.
	ReasonNone Reason = ""
	// ReasonNoEndpoint is a service without a live endpoint.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonDeadline is a request that cannot be done before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLost is a request that must not be repeated and may have run.
	ReasonLost Reason = "lost"
	// ReasonIsolated is a request that crashes the endpoints that run it.
	ReasonIsolated Reason = "isolated"
	// ReasonLimited is a request over its account's share whose turn would
	// come after its deadline.
	ReasonLimited Reason = "limited"
	// ReasonBudget is a request whose repeat is more than the node may make.
	ReasonBudget Reason = "retry_budget"
	// ReasonAttempts is a request that used up its attempts.
	ReasonAttempts Reason = "attempts"
)

const (
	// RetryAfter is when the caller of a refused request may come back.
	RetryAfter = time.Second

	fullPause = 20 * time.Millisecond
	maxPause  = 200 * time.Millisecond
	// maxDoublings bounds the growth of the pause, maxAsks the homes that are
	// asked in one round, and laterDenials those that may deny the request in
	// each round after the first.
	maxDoublings = 4
	maxAsks      = 8
	laterDenials = 4
	// maxRefused is how many endpoints may refuse a request before it is given
	// up: they are down, and its caller may come back later.
	maxRefused  = 8
	maxAttempts = 3
	// patientAsks is how many asks of a request keep to the margin of the bound.
	patientAsks = 4
)

type (
	// StepKind is what a step does.
	StepKind int

	// Outcome is what came of a step.
	Outcome int

	// Reason is why a request was refused.
	Reason string

	// Request is what routing knows of a request.
	Request struct {
		ID      uint64
		Account string
		Chat    string
		Service string
		Model   string
		Zone    string
		// Input is the tokens of the whole prompt, Output those of the answer
		// at most.
		Input    int
		Output   int
		Once     bool
		Priority int
		Deadline time.Time
		Hint     hint.Hint
		// Cached is how many tokens of the prompt endpoints are believed to
		// hold, by name. A Router fills it in.
		Cached map[string]int
		// Import is the cost of importing one cached token from another
		// endpoint, over that of computing it anew; 0 where the endpoints
		// cannot. A Router fills it in.
		Import float64
		// Print identifies the request's content over the whole fleet; 0 where
		// it is not known.
		Print uint64
	}

	// Step is what the driver of a Plan does next.
	Step struct {
		Kind     StepKind
		Endpoint kernel.Endpoint
		// From is the endpoint from which a StepRun first imports the chat's
		// prefix; its name is empty where there is nothing to import.
		From kernel.Endpoint
		// Waited is set on a StepAsk where homes have denied the request often.
		Waited bool
		// Tokens is the work that a StepAsk asks a permit for.
		Tokens int
		// Until is the end of a StepWait.
		Until time.Time
		// Reason is why a StepRefuse refuses.
		Reason Reason
		// RetryAfter is when a refused caller may come back.
		RetryAfter time.Duration
	}

	// Plan is the routing of one request. It is not safe for concurrent use.
	Plan struct {
		router  *Router
		request Request
		// tried is the endpoints that were asked in the present round, failed
		// those that an attempt failed at.
		tried  map[string]bool
		failed map[string]bool
		// believed is where the chat's prefix was taken to be when the request
		// came, at the time planned; from is where it was imported from.
		believed place
		planned  time.Time
		from     string
		next     kernel.Endpoint
		// failedZones is the availability zones of those, repeat is set where
		// the next attempt is a repeat of one that may have run.
		failedZones map[string]bool
		repeat      bool
		granted     bool
		lost        bool
		late        bool
		attempts    int
		refused     int
		// asks counts those of the present round, denials those of them that
		// were answered by a denial, and waits the rounds that found no endpoint.
		asks    int
		denials int
		waits   int
	}
)

// Next returns the next step.
func (p *Plan) Next(now time.Time, v *kernel.View) Step {
	switch {
	case p.granted:
		return p.run(v.Pools[p.request.Service])
	case p.lost && p.request.Once:
		return refuse(ReasonLost)
	case p.attempts >= maxAttempts:
		return refuse(ReasonAttempts)
	case p.refused >= maxRefused:
		return refuse(ReasonNoEndpoint)
	case p.repeat && !p.router.spend():
		return refuse(ReasonBudget)
	case p.late || !now.Before(p.request.Deadline):
		return refuse(ReasonDeadline)
	}
	p.repeat = false
	pool := v.Pools[p.request.Service]
	if pool == nil || len(pool.Endpoints) == 0 {
		return refuse(ReasonNoEndpoint)
	}
	if len(Candidates(pool)) == 0 {
		return p.none(now, pool)
	}
	e, ok := p.choose(now, pool)
	if !ok || p.asked() {
		return p.wait(now)
	}
	p.next = e
	p.asks++
	if p.router.config.Open {
		return p.run(pool)
	}
	return Step{
		Kind: StepAsk, Endpoint: e, Tokens: p.router.work(pool, p.request, e.Name),
		Waited: p.waits > 0 || p.asks > patientAsks,
	}
}

// asked reports whether the present round has asked enough homes. One that follows on a round of
// denials finds few places: in an overload most of the fleet's work would be to deny them.
func (p *Plan) asked() bool {
	return p.asks >= maxAsks || p.waits > 0 && p.denials >= laterDenials
}

func (p *Plan) run(pool *kernel.Pool) Step {
	step := Step{Kind: StepRun, Endpoint: p.next}
	step.From = Source(pool, p.request, p.next.Name)
	p.from = step.From.Name
	return step
}

// Learn tells what became known of the request once it ran.
func (p *Plan) Learn(now time.Time, u Usage) { p.router.learn(now, p, u) }

// Report tells what came of the last step.
func (p *Plan) Report(o Outcome) {
	p.granted = false
	switch o {
	case OutcomeGranted:
		p.granted = true
	case OutcomeFull:
		p.tried[p.next.Name] = true
		p.denials++
	case OutcomeGone, OutcomeUnreachable:
		p.tried[p.next.Name] = true
	case OutcomeNotRun:
		p.refused++
		p.fail()
	case OutcomeLate:
		p.late = true
	case OutcomeLost:
		p.fail()
		p.repeat = true
		p.lost = true
		// Only attempts that may have run count. Were refused connections to
		// count too, a request would fail because three endpoints died, while
		// others could answer it.
		p.attempts++
	}
}

// wait ends a round in which no endpoint took the request, or refuses the request
// where the next round would come too late.
func (p *Plan) wait(now time.Time) Step {
	until := p.pause(now)
	if !until.Before(p.request.Deadline) {
		return refuse(ReasonDeadline)
	}
	return Step{Kind: StepWait, Until: until}
}

// pause ends a round and returns when the next one begins. The pauses grow: under
// overload, asking would otherwise cost more than the requests.
func (p *Plan) pause(now time.Time) time.Time {
	clear(p.tried)
	p.asks, p.denials = 0, 0
	pause := min(fullPause<<min(p.waits, maxDoublings), maxPause)
	p.waits++
	return now.Add(pause)
}

// none waits for the first endpoint that takes requests of this node again, or
// refuses the request at once where none does in time.
func (p *Plan) none(now time.Time, pool *kernel.Pool) Step {
	first := firstRest(pool)
	if first.IsZero() || !first.Before(p.request.Deadline) {
		step := refuse(ReasonNoEndpoint)
		step.RetryAfter = max(first.Sub(now), step.RetryAfter)
		return step
	}
	until := p.pause(now)
	if first.After(until) || !until.Before(p.request.Deadline) {
		until = first
	}
	return Step{Kind: StepWait, Until: until}
}

// firstRest returns when the first rest of a pool's endpoints ends; zero where none
// rests.
func firstRest(pool *kernel.Pool) (first time.Time) {
	for i := range pool.Endpoints {
		e := &pool.Endpoints[i]
		if e.State > kernel.Suspect || e.Rest.IsZero() || !first.IsZero() && !e.Rest.Before(first) {
			continue
		}
		first = e.Rest
	}
	return first
}

func (p *Plan) choose(now time.Time, pool *kernel.Pool) (kernel.Endpoint, bool) {
	order, fresh := p.router.rank(now, pool, p.request, p.asks+p.waits > 0)
	return p.prefer(fresh, order)
}

func refuse(r Reason) Step {
	return Step{Kind: StepRefuse, Reason: r, RetryAfter: RetryAfter}
}
