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

// errOrder is returned for an event that does not follow the last one.
var errOrder = errors.New("gateway: an event is missing")

// stream passes events on as they arrive. The caller's answer begins with the
// first event, so that an endpoint which breaks off before it costs nothing.
//
// Where the stream breaks and may be resumed, the call goes on at another
// endpoint after the last event that was passed on whole; the caller sees one
// answer, with the head of the first.
func (a *attempt) stream(x *http1.Exchange, timer *time.Timer) result {
	c := a.call
	events := sse.NewReader(x.Response.Body)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return a.ended(x)
		}
		if err == nil {
			err = c.follows(ev)
		}
		if err != nil {
			return a.brokeOff(err)
		}
		if timer != nil {
			timer.Reset(a.pause())
		}
		if a.first == 0 {
			a.first = time.Since(a.at)
			c.queue().Began(c.wanted(), a.first)
			c.handler.config.Balancer.Read(time.Now(), a.choice, a.first)
		}
		if ev.Numbered && ev.ID <= c.progress.last && c.progress.events > 0 {
			continue
		}
		if err := c.passEvent(x.Response, ev); err != nil {
			a.cause = err.Error()
			return resultGone
		}
	}
}

// pause is how long a resumable stream may be silent.
func (a *attempt) pause() time.Duration {
	return max(time.Duration(pauseStall*float64(a.call.route.Pause)), minPause)
}

// follows checks that no event is missing before this one.
func (c *call) follows(ev sse.Event) error {
	if ev.Numbered && c.progress.last > 0 && ev.ID > c.progress.last+1 {
		return errOrder
	}
	return nil
}

// passEvent writes one event to the caller.
func (c *call) passEvent(head *http.Response, ev sse.Event) error {
	if !c.progress.started {
		c.copyHead(head)
		c.out.WriteHeader(head.StatusCode)
		c.progress.started = true
		c.handler.config.Metrics.first(c)
	}
	if _, err := c.out.Write(ev.Raw); err != nil {
		return err
	}
	if ev.Numbered {
		c.progress.last = ev.ID
	}
	c.progress.events++
	return http.NewResponseController(c.out).Flush()
}

// ended ends the caller's answer after the endpoint's.
func (a *attempt) ended(x *http1.Exchange) result {
	c := a.call
	if !c.progress.started {
		c.copyHead(x.Response)
		c.out.WriteHeader(x.Response.StatusCode)
		c.progress.started = true
	}
	a.outcome = balance.Served
	c.handler.config.Crashes.Served(c.print)
	x.Finish()
	return resultDone
}

// endEarly ends an answer of which the caller already has a part. A stream's last line,
// a comment, says that the rest is unknown and what to do: events are the endpoint's
// alone. Only the broken connection tells any caller that the rest will not come.
func (c *call) endEarly(r *refusal) {
	if c.route.Kind.Streams() {
		advice := "send it again only if it may run twice"
		if c.route.Kind.Repeats() {
			advice = fmt.Sprintf("resume it with %s: %d", c.handler.config.Headers.LastEvent, c.progress.last)
		}
		// A caller that has gone needs no advice.
		_, _ = fmt.Fprintf(c.out, ": unknown: %s; %s\n\n", r.reason, advice)
		_ = http.NewResponseController(c.out).Flush()
	}
	panic(http.ErrAbortHandler)
}

// brokeOff sorts the end of a stream that is not complete.
func (a *attempt) brokeOff(err error) result {
	a.cause = a.explain(err)
	if a.call.gone() {
		return resultGone
	}
	a.outcome = balance.Failed
	return resultBroken
}
