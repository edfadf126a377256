// Package route decides where a request runs. A Plan is the state machine of one
// request: it returns the next step, and its driver does the I/O and reports the
// outcome. The node's traffic goroutines and the replay drive the same plans.
package route

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
)

// Kinds of steps.
const (
	// StepPermit requests a permit from the owner of an endpoint.
	StepPermit StepKind = iota + 1
	// StepRun dispatches the request to an endpoint.
	StepRun
	// StepWait waits; the driver then calls Next again.
	StepWait
	// StepRefuse ends the request without running it.
	StepRefuse
)

// Outcomes of a step.
const (
	// OutcomeGranted is a permit that was granted.
	OutcomeGranted Outcome = iota + 1
	// OutcomeDenied is a permit that was denied because of the bound.
	OutcomeDenied
	// OutcomeUnavailable is an endpoint that takes no work.
	OutcomeUnavailable
	// OutcomeDeadline is a request that cannot be done before its deadline.
	OutcomeDeadline
	// OutcomeUnreachable is an owner that did not answer.
	OutcomeUnreachable
	// OutcomeNotRun is a dispatch that certainly did not reach the endpoint.
	OutcomeNotRun
	// OutcomeLost is a dispatch after which it is unknown whether the request ran.
	OutcomeLost
)

// Reasons of a refusal.
const (
	// ReasonNone means that the request was not refused.
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
	// ReasonBudget is a request whose retry would exceed the node's budget.
	ReasonBudget Reason = "retry_budget"
	// ReasonCanceled is a request that was canceled while it waited: its caller has
	// disconnected, or the node stops.
	ReasonCanceled Reason = "canceled"
	// ReasonAttempts is a request that used up its attempts.
	ReasonAttempts Reason = "attempts"
)

const (
	// RetryAfter is the time after which the caller of a refused request may retry.
	RetryAfter = time.Second

	minPause = 20 * time.Millisecond
	maxPause = 200 * time.Millisecond
	// maxDoublings bounds the growth of the pause, maxPermitRequests the permit
	// requests in one round, and maxLaterDenials the denials in each round after the
	// first.
	maxDoublings      = 4
	maxPermitRequests = 8
	maxLaterDenials   = 4
	// maxRefused is the number of endpoints that may refuse a request before it is
	// refused: they are down, and its caller may retry later.
	maxRefused  = 8
	maxAttempts = 3
	// marginRequests is the number of permit requests of a request that keep a margin
	// to the bound.
	marginRequests = 4
)

type (
	// StepKind is the kind of a step.
	StepKind int

	// Outcome is the outcome of a step.
	Outcome int

	// Reason is why a request was refused.
	Reason string

	// Request is what routing needs to know of a request.
	Request struct {
		ID      uint64
		Account string
		Chat    string
		Service string
		Model   string
		Zone    string
		// Input is the number of tokens of the whole prompt, Output the greatest
		// number of tokens of the answer.
		Input      int
		Output     int
		AtMostOnce bool
		Priority   int
		Deadline   time.Time
		Hint       hint.Hint
		// Cached is the number of tokens of the prompt that each endpoint probably
		// holds, by name. The Router sets it.
		Cached map[string]int
		// Import is the cost of importing a cached token from another endpoint,
		// relative to that of computing it; 0 if the endpoints cannot import. The
		// Router sets it.
		Import float64
		// Fingerprint is the fingerprint of the request's content, the same in the whole
		// fleet; 0 if unknown.
		Fingerprint uint64
	}

	// Step is what the driver of a Plan does next.
	Step struct {
		Kind     StepKind
		Endpoint kernel.Endpoint
		// From is the endpoint from which a StepRun first imports the chat's prefix;
		// its name is empty if there is nothing to import.
		From kernel.Endpoint
		// Retry is set on a StepPermit after several permit requests without success:
		// the request may then use the margin below the bound.
		Retry bool
		// Tokens is the work for which a StepPermit requests a permit.
		Tokens int
		// Until is the end of a StepWait.
		Until time.Time
		// Reason is the reason of a StepRefuse.
		Reason Reason
		// RetryAfter is the time after which a refused caller may retry.
		RetryAfter time.Duration
	}

	// Plan is the routing of one request. It is not safe for concurrent use.
	Plan struct {
		router  *Router
		request Request
		// tried are the endpoints that were tried in this round, failed those at
		// which an attempt failed.
		tried  map[string]bool
		failed map[string]bool
		// lastKnown is where the chat's prefix probably was when the request arrived,
		// at the time planned; importedFrom is the endpoint that it was imported
		// from.
		lastKnown    location
		planned      time.Time
		importedFrom string
		endpoint     kernel.Endpoint
		// failedZones are the availability zones of the failed endpoints; repeat is
		// set if the next attempt repeats one that may have run.
		failedZones    map[string]bool
		repeat         bool
		granted        bool
		lost           bool
		missesDeadline bool
		attempts       int
		refused        int
		// permitRequests and denials count the permit requests and the denials of
		// this round, failedRounds the rounds in which no endpoint was found.
		permitRequests int
		denials        int
		failedRounds   int
	}
)

// Next returns the next step.
func (p *Plan) Next(now time.Time, v *kernel.View) Step {
	switch {
	case p.granted:
		return p.run(v.Pools[p.request.Service])
	case p.lost && p.request.AtMostOnce:
		return refuse(ReasonLost)
	case p.attempts >= maxAttempts:
		return refuse(ReasonAttempts)
	case p.refused >= maxRefused:
		return refuse(ReasonNoEndpoint)
	case p.repeat && !p.router.takeRetry():
		return refuse(ReasonBudget)
	case p.missesDeadline || !now.Before(p.request.Deadline):
		return refuse(ReasonDeadline)
	}
	p.repeat = false
	pool := v.Pools[p.request.Service]
	if pool == nil || len(pool.Endpoints) == 0 {
		return refuse(ReasonNoEndpoint)
	}
	if len(Candidates(pool)) == 0 {
		return p.awaitBackoff(now, pool)
	}
	e, ok := p.choose(now, pool)
	if !ok || p.roundEnded() {
		return p.wait(now)
	}
	p.endpoint = e
	p.permitRequests++
	if p.router.config.NoPermits {
		return p.run(pool)
	}
	return Step{
		Kind: StepPermit, Endpoint: e, Tokens: p.router.workTokens(pool, p.request, e.Name),
		Retry: p.failedRounds > 0 || p.permitRequests > marginRequests,
	}
}

// roundEnded reports whether this round has made enough permit requests. After a
// round of denials there are few places: in an overload, denials would otherwise be
// most of the fleet's work.
func (p *Plan) roundEnded() bool {
	return p.permitRequests >= maxPermitRequests || p.failedRounds > 0 && p.denials >= maxLaterDenials
}

func (p *Plan) run(pool *kernel.Pool) Step {
	step := Step{Kind: StepRun, Endpoint: p.endpoint}
	step.From = Source(pool, p.request, p.endpoint.Name)
	p.importedFrom = step.From.Name
	return step
}

// Learn records what the run of the request has shown.
func (p *Plan) Learn(now time.Time, u Usage) { p.router.learn(now, p, u) }

// Report records the outcome of the last step.
func (p *Plan) Report(o Outcome) {
	p.granted = false
	switch o {
	case OutcomeGranted:
		p.granted = true
	case OutcomeDenied:
		p.tried[p.endpoint.Name] = true
		p.denials++
	case OutcomeUnavailable, OutcomeUnreachable:
		p.tried[p.endpoint.Name] = true
	case OutcomeNotRun:
		p.refused++
		p.recordFailure()
	case OutcomeDeadline:
		p.missesDeadline = true
	case OutcomeLost:
		p.recordFailure()
		p.repeat = true
		p.lost = true
		// Only attempts that may have run count. If refused connections counted too,
		// a request would fail because three endpoints died, though others could
		// answer it.
		p.attempts++
	}
}

// wait ends a round in which no endpoint took the request, or refuses the request if
// the next round would come after its deadline.
func (p *Plan) wait(now time.Time) Step {
	until := p.endRound(now)
	if !until.Before(p.request.Deadline) {
		return refuse(ReasonDeadline)
	}
	return Step{Kind: StepWait, Until: until}
}

// endRound ends a round and returns when the next one begins. The pauses grow: in an
// overload, permit requests would otherwise cost more than the requests themselves.
func (p *Plan) endRound(now time.Time) time.Time {
	clear(p.tried)
	p.permitRequests, p.denials = 0, 0
	pause := min(minPause<<min(p.failedRounds, maxDoublings), maxPause)
	p.failedRounds++
	return now.Add(pause)
}

// awaitBackoff waits for the first endpoint whose backoff ends, or refuses the
// request at once if none ends before its deadline.
func (p *Plan) awaitBackoff(now time.Time, pool *kernel.Pool) Step {
	first := firstBackoffEnd(pool)
	if first.IsZero() || !first.Before(p.request.Deadline) {
		step := refuse(ReasonNoEndpoint)
		step.RetryAfter = max(first.Sub(now), step.RetryAfter)
		return step
	}
	until := p.endRound(now)
	if first.After(until) || !until.Before(p.request.Deadline) {
		until = first
	}
	return Step{Kind: StepWait, Until: until}
}

// firstBackoffEnd returns when the first backoff of a pool's endpoints ends; zero if
// none is in backoff.
func firstBackoffEnd(pool *kernel.Pool) (first time.Time) {
	for i := range pool.Endpoints {
		e := &pool.Endpoints[i]
		if e.State > kernel.Suspect || e.BackoffUntil.IsZero() || !first.IsZero() && !e.BackoffUntil.Before(first) {
			continue
		}
		first = e.BackoffUntil
	}
	return first
}

func (p *Plan) choose(now time.Time, pool *kernel.Pool) (kernel.Endpoint, bool) {
	order, fresh := p.router.rank(now, pool, p.request, p.permitRequests+p.failedRounds > 0)
	return p.pick(fresh, order)
}

func refuse(r Reason) Step {
	return Step{Kind: StepRefuse, Reason: r, RetryAfter: RetryAfter}
}
