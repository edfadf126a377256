package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// recheckShare is the share of the stall timeout after which it is checked again
// whether a silent endpoint's request may be repeated elsewhere.
const recheckShare = 0.25

// errAbandoned is the error of an attempt that another endpoint's response replaces.
var errAbandoned = errors.New("gateway: endpoint abandoned")

type (
	// watch repeats the request of an attempt whose endpoint is silent.
	//
	// A sound endpoint may be silent for a second or two and go on. It is therefore
	// abandoned only once another endpoint has begun to respond: what stands in the way
	// of a repeat, such as the retry budget, a lack of slots or a refusal, must not cost
	// the caller the response that it would have got.
	watch struct {
		attempt *attempt
		// lastEvent is the ID of the newest event that the caller has, and due when the
		// next part of the response is due, counted from the attempt's start.
		lastEvent atomic.Uint64
		due       atomic.Int64
		responded atomic.Bool

		mu      sync.Mutex
		timer   *time.Timer
		stopped bool
		// reported says that the silence was reported as a failure to reach the endpoint,
		// and paid that a retry was taken from the budget when it was abandoned.
		reported, paid bool
		// repeat is the repeat in progress.
		repeat *repeat
		ended  endedRepeats
	}

	// repeat is an attempt that runs in place of another one.
	repeat struct {
		attempt *attempt
		// done is closed once exchange and result are set, as send returns them.
		done     chan struct{}
		exchange *http1.Exchange
		result   result
		// failure is the endpoint's response if that is a failure.
		failure *bufferedResponse
	}

	// endedRepeats is the sum of repeats that came to nothing.
	endedRepeats struct {
		tried       []deployment.Start
		sends, runs int
		noResponse  bool
		failures    []*bufferedResponse
	}
)

// watch starts to watch the attempt. It returns nil for a request that must wait.
func (a *attempt) watch(ctx context.Context) *watch {
	stall := a.stallTimeout()
	if stall == 0 {
		return nil
	}
	w := &watch{attempt: a}
	w.lastEvent.Store(a.call.progress.lastEvent)
	w.due.Store(int64(stall))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stall, func() { w.check(ctx, stall) })
	return w
}

// progress records that a part of the response has arrived. The next one is due within
// a time.
func (w *watch) progress(due time.Duration) {
	if w != nil {
		w.due.Store(int64(time.Since(w.attempt.started) + due))
		w.timer.Reset(due)
	}
}

// answered records that the head of the response has arrived.
func (w *watch) answered() {
	if w != nil {
		w.responded.Store(true)
	}
}

// forwarded records the newest event that the caller has.
func (w *watch) forwarded(lastEvent uint64) {
	if w != nil {
		w.lastEvent.Store(lastEvent)
	}
}

// check begins a repeat if the endpoint has been silent for too long and the request
// may run at another one now.
func (w *watch) check(ctx context.Context, stall time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.repeat != nil || ctx.Err() != nil {
		return
	}
	a := w.attempt
	passed := time.Since(a.started)
	if due := max(time.Duration(w.due.Load()), a.busyTimeout(stall)); passed < due {
		w.timer.Reset(min(due-passed, stall))
		return
	}
	if !w.reported {
		// The endpoint may be out of reach.
		w.reported = true
		a.call.handler.config.Reach.Failed(a.choice.Endpoint, a.started)
	}
	if a.call.mayLeave() {
		w.paid = true
		w.abandon()
		return
	}
	recheck := max(time.Duration(recheckShare*float64(stall)), minStallTimeout)
	choice := w.replacement()
	if choice == nil {
		w.timer.Reset(recheck)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	b := a.call.newAttempt(choice, cancel)
	b.lastEvent, b.newConn = w.lastEvent.Load(), a.newConn || !w.responded.Load()
	r := &repeat{attempt: b, done: make(chan struct{})}
	w.repeat = r
	go func() {
		defer w.begun(r, recheck)
		defer close(r.done)
		defer r.recovered()
		r.begin(ctx)
	}()
}

// replacement takes a slot at another endpoint and a retry from the budget, or returns
// nil. Requests that wait for a slot come first.
func (w *watch) replacement() *balance.Choice {
	c, now := w.attempt.call, time.Now()
	h, p := c.handler.config, &c.progress
	runs := p.runs + 1 + w.ended.runs
	switch {
	case runs >= c.route.Attempts, p.sends+1+w.ended.sends >= maxTries, c.overdue():
		return nil
	case !h.Budget.Allows(now, c.service.Name), !c.queue().MayTry(now, c.admissionRequest()), c.isolated() != nil:
		return nil
	}
	r := balance.Request{
		Service: c.service, Key: c.promptKey, Prompt: c.prompt, Objective: c.route.Objective, Exclusive: c.exclusive(),
		Repeatable: runs+1 < c.route.Attempts, Tried: slices.Concat(p.tried, w.ended.tried, []deployment.Start{w.attempt.choice.Endpoint.Start()}),
	}
	list := c.endpoints()
	if !h.Balancer.HasRoom(now, list, r) {
		return nil
	}
	choice := h.Balancer.Choose(now, list, r)
	if choice == nil {
		return nil
	}
	if !h.Budget.Retry(now, c.service.Name) {
		h.Balancer.Release(now, choice.Endpoint.Start(), balance.Unknown)
		return nil
	}
	c.tookSlot(now, nil)
	return choice
}

// begun ends the watched attempt if the repeat's endpoint responds. Otherwise the
// watched endpoint may still go on, or the request may be repeated elsewhere.
func (w *watch) begun(r *repeat, recheck time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		// The call has taken it over.
		return
	}
	if r.exchange != nil {
		w.abandon()
		return
	}
	w.repeat = nil
	w.ended.add(r, r.result)
	w.timer.Reset(recheck)
}

// abandon ends the watched attempt.
func (w *watch) abandon() {
	w.attempt.timedOut.Store(true)
	w.attempt.cancel()
}

// mayLeave takes a retry from the budget for a request that another node should serve:
// this one has lost its paths to the service, so that nothing can arrive from a silent
// endpoint.
func (c *call) mayLeave() bool {
	h := c.handler.config
	if h.Reach.Reaches(c.service.Name) || !c.owned() && !c.mayHandOver() {
		return false
	}
	return h.Budget.Retry(time.Now(), c.service.Name)
}

// keep stops watching an endpoint whose response no other could continue from now on.
// It returns false if the endpoint was abandoned.
func (w *watch) keep() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.attempt.timedOut.Load() {
		return false
	}
	w.drop()
	return true
}

// stop stops watching an attempt that has ended, and returns the repeat that takes its
// place if the caller has no response yet.
func (w *watch) stop(res result) *repeat {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	r := w.repeat
	switch res {
	case resultDone, resultCallerGone, resultCut:
		w.drop()
		r = nil
		if w.paid {
			w.attempt.call.returnRetry()
		}
	default:
		w.attempt.call.paid = w.paid
	}
	w.attempt.call.ended(&w.ended)
	return r
}

// drop stops watching and ends the repeat in progress.
func (w *watch) drop() {
	w.stopped = true
	w.timer.Stop()
	if w.repeat == nil {
		return
	}
	w.repeat.end()
	w.ended.add(w.repeat, resultDropped)
	w.repeat = nil
}

// begin reserves a slot for the repeat and sends it.
func (r *repeat) begin(ctx context.Context) {
	a := r.attempt
	s := a.call.reserve(ctx, a.choice)
	if s.denied {
		a.outcome, a.cause, r.result = s.outcome, "no slot reserved", resultNotSent
		return
	}
	a.call.handler.config.Balancer.Sent(time.Now(), a.choice)
	a.reservation = s.reservation
	r.exchange, r.result = a.send(ctx)
	if r.exchange == nil || r.accepted() {
		return
	}
	// A failure is no reason to abandon another endpoint.
	a.outcome, a.cause, r.result = balance.Failed, "failed", resultBroken
	body, whole, err := a.call.handler.responses.read(r.exchange.Response)
	switch {
	case err == nil && whole:
		r.failure = &bufferedResponse{head: r.exchange.Response, body: body}
	case err == nil:
		body.release()
	}
	r.exchange.Abort()
	r.exchange = nil
}

// recovered is deferred around begin: a panic there must not end the process.
func (r *repeat) recovered() {
	p := recover()
	if p == nil {
		return
	}
	r.attempt.call.logPanic(p)
	if r.exchange != nil {
		r.exchange.Abort()
		r.exchange = nil
	}
	r.result = resultBroken
}

// accepted reports whether the endpoint's response may be the caller's.
func (r *repeat) accepted() bool {
	if r.attempt.call.route.Kind.Streams() {
		return r.attempt.status/100 == 2
	}
	return r.attempt.status < http.StatusInternalServerError
}

// end ends the repeat.
func (r *repeat) end() {
	r.attempt.dropped.Store(true)
	r.attempt.cancel()
	<-r.done
	if r.exchange != nil {
		r.exchange.Abort()
	}
}

// add adds a repeat that came to nothing.
func (e *endedRepeats) add(r *repeat, res result) {
	a := r.attempt
	a.cancel()
	switch r.result {
	case resultNotSent, resultWithdrawn:
		a.call.returnRetry()
	case resultNotRun:
		e.sends++
	default:
		e.sends++
		e.runs++
	}
	e.tried = append(e.tried, a.choice.Endpoint.Start())
	e.noResponse = e.noResponse || a.noResponse
	e.failures = append(e.failures, r.failure)
	a.done(res)
}

// ended records repeats that came to nothing.
func (c *call) ended(e *endedRepeats) {
	c.progress.tried = append(c.progress.tried, e.tried...)
	c.progress.sends += e.sends
	c.progress.runs += e.runs
	c.progress.noResponse = c.progress.noResponse || e.noResponse
	for _, f := range e.failures {
		c.keepFailure(f)
	}
	*e = endedRepeats{}
}

// keepFailure keeps an endpoint's failure as the fallback if there is none; it may be nil.
func (c *call) keepFailure(f *bufferedResponse) {
	switch {
	case f == nil:
	case c.fallback == nil && !c.progress.started:
		c.setFallback(f)
	default:
		f.body.release()
	}
}

// adopt continues with the repeat that takes the place of an attempt.
func (c *call) adopt(ctx context.Context) result {
	r := c.next
	c.next = nil
	defer r.attempt.cancel()
	res := r.attempt.run(ctx, func() (*http1.Exchange, result) {
		<-r.done
		return r.exchange, r.result
	})
	c.keepFailure(r.failure)
	if res == resultNotSent || res == resultWithdrawn {
		c.returnRetry()
	}
	c.attempted(r.attempt, res)
	return res
}

// dropNext ends a repeat that was not adopted.
func (c *call) dropNext() {
	if c.next == nil {
		return
	}
	c.next.end()
	var e endedRepeats
	e.add(c.next, resultDropped)
	c.ended(&e)
	c.next = nil
}

// returnRetry returns a retry to the budget that was not sent.
func (c *call) returnRetry() {
	c.handler.config.Budget.Return(time.Now(), c.service.Name)
}
