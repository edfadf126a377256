package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// recheckShare is the share of the stall timeout after which it is checked again
	// whether a silent endpoint's request may be repeated elsewhere.
	recheckShare = 0.25
	// readTime is how long what has arrived is read before an endpoint counts as silent:
	// after this node itself has stood still, timers fire before anything is read.
	// maxLateness is how late a timer fires at most if it has not.
	readTime    = 20 * time.Millisecond
	maxLateness = 50 * time.Millisecond
)

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
		// parts counts the parts of the response that have arrived, and repeating says
		// that a repeat is in progress.
		parts     atomic.Int64
		repeating atomic.Bool
		// writing says that the caller is being sent a part of the response.
		writing atomic.Bool

		mu      sync.Mutex
		timer   *time.Timer
		stopped bool
		// reported says that the silence was reported as a failure to reach the endpoint,
		// and paid that a retry was taken from the budget when it was abandoned.
		reported, paid bool
		// readParts is the number of parts when what has arrived was last read first.
		readParts int64
		// next is when the timer is to fire if no part arrives, counted like due.
		next time.Duration
		// repeat is the repeat in progress.
		repeat *repeat
		ended  endedRepeats
	}
)

// watch starts to watch the attempt. It returns nil for a request that must wait.
func (a *attempt) watch(ctx context.Context) *watch {
	stall := a.stallTimeout()
	if stall == 0 {
		return nil
	}
	w := &watch{attempt: a, readParts: -1}
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
		w.parts.Add(1)
		if w.repeating.Load() {
			due = 0
		}
		w.timer.Reset(due)
	}
}

// answered records that the head of the response has arrived.
func (w *watch) answered() {
	if w != nil {
		w.responded.Store(true)
	}
}

// forward records that the caller is sent a part of the response. The endpoint is not
// silent while the caller reads slowly.
func (w *watch) forward() {
	if w != nil {
		w.writing.Store(true)
	}
}

// forwarded records the newest event that the caller has.
func (w *watch) forwarded(lastEvent uint64, due time.Duration) {
	if w != nil {
		w.progress(due)
		w.writing.Store(false)
		w.lastEvent.Store(lastEvent)
	}
}

// check begins a repeat if the endpoint has been silent for too long and the request
// may run at another one now.
func (w *watch) check(ctx context.Context, stall time.Duration) {
	defer w.attempt.call.contain()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.attempt.timedOut.Load() || ctx.Err() != nil {
		return
	}
	a := w.attempt
	if w.goesOn() {
		w.endRepeat()
	}
	passed := time.Since(a.started)
	late := passed > max(time.Duration(w.due.Load()), w.next)+maxLateness
	left := w.left(stall)
	switch {
	case w.writing.Load():
		w.reset(stall)
		return
	case left > 0:
		w.reset(min(left, stall))
		return
	case late, w.readParts != w.parts.Load():
		w.readParts = w.parts.Load()
		w.reset(min(readTime, time.Duration(recheckShare*float64(stall))))
		return
	}
	if !w.reported {
		// The endpoint may be out of reach.
		w.reported = true
		a.call.handler.config.Reach.Failed(a.choice.Endpoint, a.started)
	}
	if runs, _ := w.counts(); runs < a.call.route.Attempts && a.call.mayLeave() {
		w.endRepeat()
		w.paid = true
		w.abandon()
		return
	}
	recheck := max(time.Duration(recheckShare*float64(stall)), minStallTimeout)
	choice := w.replacement()
	if choice == nil {
		w.reset(recheck)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	b := a.call.newAttempt(choice, cancel)
	b.lastEvent, b.newConn = w.lastEvent.Load(), a.newConn || !w.responded.Load()
	r := &repeat{attempt: b, parts: w.parts.Load(), done: make(chan struct{})}
	w.endRepeat()
	w.repeat = r
	w.repeating.Store(true)
	w.reset(stall)
	go func() {
		defer w.begun(r, recheck)
		defer close(r.done)
		defer r.recovered()
		r.begin(ctx)
	}()
}

// left returns how long the endpoint, and that of the repeat if there is one, may still be
// silent.
func (w *watch) left(stall time.Duration) time.Duration {
	a := w.attempt
	passed := time.Since(a.started)
	left := max(time.Duration(w.due.Load()), a.busyTimeout(stall)) - passed
	if w.repeat == nil {
		return left
	}
	b := w.repeat.attempt
	return max(left, b.busyTimeout(stall)-time.Since(b.started))
}

// reset has the timer fire after a time.
func (w *watch) reset(d time.Duration) {
	w.next = time.Since(w.attempt.started) + d
	w.timer.Reset(d)
}

// goesOn reports whether the endpoint has gone on since the repeat began. The repeat would
// have to make again what the caller has in the meantime.
func (w *watch) goesOn() bool { return w.repeat != nil && w.parts.Load() > w.repeat.parts }

// counts returns how many endpoints may have run the request and how many received it, if
// the attempts in progress are counted.
func (w *watch) counts() (runs, sends int) {
	p := &w.attempt.call.progress
	runs, sends = p.runs+1+w.ended.runs, p.sends+1+w.ended.sends
	if w.repeat != nil {
		return runs + 1, sends + 1
	}
	return runs, sends
}

// replacement takes a slot at another endpoint and a retry from the budget, or returns
// nil. Requests that wait for a slot come first.
func (w *watch) replacement() *balance.Choice {
	c, now := w.attempt.call, time.Now()
	h, p := c.handler.config, &c.progress
	runs, sends := w.counts()
	tried := slices.Concat(p.tried, w.ended.tried, []deployment.Start{w.attempt.choice.Endpoint.Start()})
	if w.repeat != nil {
		tried = append(tried, w.repeat.attempt.choice.Endpoint.Start())
	}
	switch {
	case runs >= c.route.Attempts, sends >= maxTries, c.overdue():
		return nil
	case !h.Budget.Allows(now, c.service.Name), !c.queue().MayTry(now, c.admissionRequest()), c.isolated() != nil:
		return nil
	}
	r := balance.Request{
		Service: c.service, Key: c.promptKey, Prompt: c.prompt, Objective: c.route.Objective, Exclusive: c.exclusive(),
		Repeatable: runs+1 < c.route.Attempts, Tried: tried,
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
	if w.stopped || w.repeat != r {
		// The call has taken it over, or it was ended.
		return
	}
	if r.exchange != nil {
		if w.goesOn() {
			w.endRepeat()
			w.reset(recheck)
			return
		}
		w.abandon()
		return
	}
	w.repeat = nil
	w.repeating.Store(false)
	w.ended.add(r, r.result)
	w.reset(recheck)
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
	if h.Reach.Reaches(c.service.Name) || !c.owned() && !(c.mayHandOver() && h.Takers(c.service.Name, c.regions())) {
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
	w.endRepeat()
}

// endRepeat ends the repeat in progress, if there is one.
func (w *watch) endRepeat() {
	if w.repeat == nil {
		return
	}
	w.repeat.end()
	w.ended.add(w.repeat, resultDropped)
	w.repeat = nil
	w.repeating.Store(false)
}
