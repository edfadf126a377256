package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/sse"
)

type (
	// repeat is an attempt that runs in place of another one.
	repeat struct {
		attempt *attempt
		// done is closed once exchange and result are set, as send returns them.
		done     chan struct{}
		exchange *http1.Exchange
		result   result
		// full says that the endpoint had no slot for it.
		full bool
		// failure is the endpoint's response if that is a failure.
		failure *bufferedResponse
	}

	// endedRepeats is the sum of repeats that came to nothing.
	endedRepeats struct {
		tried       []deployment.Start
		sends, runs int
		// full is the number of slots that engines refused.
		full       int
		noResponse bool
		failures   []*bufferedResponse
	}
)

// begin reserves a slot for the repeat and sends it.
func (r *repeat) begin(ctx context.Context) {
	a := r.attempt
	s := a.call.reserve(ctx, a.choice)
	if s.denied {
		r.full = s.outcome == balance.ReservationRefused
		a.outcome, a.cause, r.result = s.outcome, "no slot reserved", resultNotSent
		return
	}
	a.call.handler.config.Balancer.Sent(time.Now(), a.choice)
	a.reservation = s.reservation
	x, res := a.send(ctx)
	r.result = res
	if x == nil {
		return
	}
	if err := r.receive(x); err != nil {
		r.result = a.classify(err)
	}
	if r.result != resultDone {
		x.Abort()
		return
	}
	r.exchange = x
}

// receive waits until the response has begun that may be the caller's: a stream's first
// event has arrived, or any other response is whole. A failure is no reason to abandon
// another endpoint, nor is a head.
func (r *repeat) receive(x *http1.Exchange) error {
	a := r.attempt
	if a.call.route.Kind.Streams() && a.status/100 == 2 {
		rest := bufio.NewReader(x.Response.Body)
		first, err := sse.NewReader(rest).Next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		x.Response.Body = struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(first.Raw), rest), x.Response.Body}
		return nil
	}
	body, whole, err := a.call.handler.responses.read(x.Response)
	if err != nil {
		return err
	}
	if a.status < http.StatusInternalServerError && !a.call.route.Kind.Streams() {
		a.body, a.whole = body, whole
		return nil
	}
	a.outcome, a.cause, r.result = balance.Failed, "failed", resultBroken
	if whole {
		r.failure = &bufferedResponse{head: x.Response, body: body}
	} else {
		body.release()
	}
	return nil
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

// end ends the repeat.
func (r *repeat) end() {
	r.attempt.dropped.Store(true)
	r.attempt.cancel()
	<-r.done
	if r.exchange != nil {
		r.exchange.Abort()
	}
	if r.attempt.body != nil {
		r.attempt.body.release()
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
	if r.full {
		e.full++
	} else {
		e.tried = append(e.tried, a.choice.Endpoint.Start())
	}
	e.noResponse = e.noResponse || a.noResponse
	e.failures = append(e.failures, r.failure)
	a.done(res)
}

// ended records repeats that came to nothing.
func (c *call) ended(e *endedRepeats) {
	c.progress.tried = append(c.progress.tried, e.tried...)
	c.progress.sends += e.sends
	c.progress.runs += e.runs
	c.progress.full += e.full
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
