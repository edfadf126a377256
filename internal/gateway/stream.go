package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/sse"
)

// errMissingEvent is returned for an event that does not follow the last one.
var errMissingEvent = errors.New("gateway: an event is missing")

// stream forwards events as they arrive. The caller's response begins with the
// first event, so that a connection that breaks before it costs nothing.
//
// If the stream breaks and may be resumed, the call continues at another endpoint
// after the last complete event that was forwarded; the caller sees one response,
// with the header of the first.
func (a *attempt) stream(x *http1.Exchange, w *watch) result {
	c := a.call
	events := sse.NewReader(x.Response.Body)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			if a.endedWithResponse(x) {
				return resultBroken
			}
			return a.finishStream(x)
		}
		if err == nil {
			err = c.checkOrder(ev)
		}
		if err != nil {
			return a.interrupted(err)
		}
		w.progress(a.pauseTimeout())
		if a.latency == 0 {
			a.latency = time.Since(a.started)
			c.queue().ObserveLatency(c.admissionRequest(), a.latency)
			c.handler.config.Balancer.PrefillDone(time.Now(), a.choice, a.latency)
		}
		if ev.HasID && ev.ID <= c.progress.lastEvent && c.progress.events > 0 {
			continue
		}
		w.forward()
		if err := c.writeEvent(x.Response, ev); err != nil {
			a.cause = err.Error()
			return resultCallerGone
		}
		w.forwarded(c.progress.lastEvent, a.pauseTimeout())
	}
}

// pauseTimeout returns how long a resumable stream may be silent.
func (a *attempt) pauseTimeout() time.Duration {
	return max(time.Duration(pauseFactor*float64(a.call.route.EventGap)), minPauseTimeout)
}

// checkOrder returns an error if an event is missing before this one.
func (c *call) checkOrder(ev sse.Event) error {
	if ev.HasID && c.progress.lastEvent > 0 && ev.ID > c.progress.lastEvent+1 {
		return errMissingEvent
	}
	return nil
}

// writeEvent writes one event to the caller.
func (c *call) writeEvent(head *http.Response, ev sse.Event) error {
	if !c.progress.started {
		c.copyHeader(head)
		c.out.WriteHeader(head.StatusCode)
		c.progress.started = true
		c.handler.config.Metrics.observeFirstEvent(c)
	}
	if ev.HasID {
		c.progress.lastEvent = ev.ID
	}
	c.progress.events++
	if c.handed != nil {
		// Large events are sent by Write.
		c.handed.out.SetEvents(c.progress.lastEvent, c.progress.events)
	}
	if _, err := c.out.Write(ev.Raw); err != nil {
		return err
	}
	return flush(c.out)
}

// flush sends what was written to a response.
func flush(w http.ResponseWriter) error { return http.NewResponseController(w).Flush() }

// finishStream ends the caller's response after the endpoint's stream has ended.
func (a *attempt) finishStream(x *http1.Exchange) result {
	c := a.call
	if !c.progress.started {
		c.copyHeader(x.Response)
		c.out.WriteHeader(x.Response.StatusCode)
		c.progress.started = true
	}
	a.outcome = balance.Served
	a.recordEnd(x)
	x.Finish()
	return resultDone
}

// abort ends a response of which the caller already has a part. A stream's last line
// says that the rest is unknown and what to do; it is a comment, as only endpoints
// send events. Only the aborted connection tells every caller that no more will come.
func (c *call) abort(r *refusal) {
	if c.route.Kind.Streams() {
		advice := "send it again only if it may run twice"
		if c.route.Kind.Retryable() {
			advice = fmt.Sprintf("resume it with %s: %d", c.handler.config.Headers.LastEventID, c.progress.lastEvent)
		}
		// An error means that the caller has disconnected.
		_, _ = fmt.Fprintf(c.out, ": unknown: %s; %s\n\n", r.reason, advice)
		_ = flush(c.out)
	}
	panic(http.ErrAbortHandler)
}

// interrupted returns the result of a stream that ended before it was complete.
func (a *attempt) interrupted(err error) result {
	a.cause = a.explain(err)
	a.recordBreak(err)
	if a.call.callerGone() {
		return resultCallerGone
	}
	a.outcome = balance.Failed
	return resultBroken
}
