package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// maxWhole is the largest answer that is held until it is complete; a
	// larger one is passed on as it comes.
	maxWhole = 1 << 20
	// onceIdle is how long a connection may have been idle for a request that
	// must run once at most. A new connection for each costs two round trips and
	// a place at the endpoint.
	onceIdle = time.Second
	// keepShare is the part of an endpoint's connections that all nodes together
	// keep idle at most: endpoints take fewer while their queue is long.
	keepShare = 0.5
)

// wholeAnswer is an endpoint's answer that is complete.
type wholeAnswer struct {
	head *http.Response
	body []byte
}

// attempt is one send of a call to an endpoint.
type attempt struct {
	call    *call
	choice  *balance.Choice
	at      time.Time
	outcome balance.Outcome
	// reserved says that the endpoint had kept a place for the request.
	reserved bool
	// status is the endpoint's, 0 if there was none.
	status int
	// load is what the endpoint says of its own in its answer, and notice what
	// else it says of itself.
	load   int
	notice Notice
	// first is how long the answer's first byte, or event, took.
	first time.Duration
	cause string
	// silent says that the endpoint was given up for its silence.
	silent atomic.Bool
}

// run sends the request and passes the answer on.
func (a *attempt) run(ctx context.Context) result {
	c := a.call
	pool := c.handler.config.Pool
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := a.watch(ctx, cancel)
	if timer != nil {
		defer timer.Stop()
	}
	x, err := pool.Do(ctx, http1.Request{
		Addr: a.choice.Endpoint.Addr, Process: a.choice.Endpoint.Start().Key(), ID: c.id, HTTP: a.request(),
		Idle: c.idle(), Keep: c.keep(), Go: func() bool { return c.open(a.choice.Endpoint) },
	})
	if err != nil {
		return a.failed(err)
	}
	defer x.Abort()
	a.status = x.Response.StatusCode
	a.reported(x.Response.Header)
	a.notice = c.handler.config.Headers.Notice(a.status, x.Response.Header)
	c.heed(a.choice.Endpoint, a.notice)
	h := c.handler.config.Headers
	if x.Response.Header.Get(h.NotRun) != "" || a.status == http.StatusMisdirectedRequest {
		return a.notRun(x)
	}
	if !http1.Refuses(a.status) {
		c.handler.config.Balancer.Takes(time.Now(), a.choice.Endpoint.Start())
	}
	switch {
	case !a.sound(x.Response):
		a.outcome, a.cause = balance.Failed, "unsound-answer"
		return resultBroken
	case c.progress.started && a.status/100 != 2:
		// The caller already has a part of a stream, which this cannot follow.
		a.outcome, a.cause = balance.Failed, "not-resumed"
		return resultBroken
	case c.route.Kind.Streams() && a.status/100 == 2:
		return a.stream(x, timer)
	}
	return a.whole(x, timer)
}

// idle is for how long the connection may have been idle.
//
// An endpoint may close a kept connection as a request is sent on it, and nobody
// could tell whether it was read: a request that must run once at most would be
// lost. Shortly after an answer that does not happen. Answers of an endpoint
// without an ID can only be told apart on a new connection. Nor is one risked
// after an attempt that got no answer: the next might be lost in the same way.
func (c *call) idle() time.Duration {
	switch {
	case c.id == "" || c.progress.lost:
		return 0
	case c.route.Kind.Repeats():
		return http1.MaxIdle
	}
	return onceIdle
}

// keep is how many idle connections this node may keep to an endpoint.
//
// An endpoint resets connections past a number, which counts those of all nodes,
// idle ones too; a request that must run once is lost with a reset. One would
// see resets on new connections after a burst that left many idle ones.
func (c *call) keep() int {
	if c.service.Connections == 0 {
		return 0
	}
	return max(int(keepShare*float64(c.service.Connections))/max(c.handler.config.Nodes(), 1), 1)
}

// request builds what is sent.
func (a *attempt) request() *http.Request {
	c := a.call
	h := c.handler.config.Headers
	header := c.header.Clone()
	left := max(time.Until(c.deadline), time.Millisecond)
	header.Set(h.Deadline, strconv.FormatInt(left.Milliseconds()+1, 10))
	header.Set(h.Expect, a.choice.Endpoint.ID)
	if a.choice.Source != nil {
		header.Set(h.Fetch, a.choice.Source.Addr.String())
	}
	if c.reserved != "" {
		header.Set(h.Reserved, c.reserved)
		c.reserved, a.reserved = "", true
	}
	if c.progress.last > 0 {
		header.Set(h.LastEvent, strconv.FormatUint(c.progress.last, 10))
	}
	req := &http.Request{
		Method: c.in.Method, URL: &url.URL{Scheme: "http", Host: c.in.Host, Opaque: c.in.RequestURI},
		Host: c.in.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(c.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(c.body))
		req.ContentLength = int64(len(c.body))
	}
	return req
}

// failed sorts an error by what it says about the request.
func (a *attempt) failed(err error) result {
	c := a.call
	a.cause = a.explain(err)
	if c.gone() {
		return resultGone
	}
	if errors.Is(err, http1.ErrConnect) {
		a.outcome = balance.Unreachable
		return resultNotSent
	}
	if errors.Is(err, http1.ErrWithdrawn) {
		return resultWithdrawn
	}
	a.outcome = balance.Failed
	c.progress.lost = c.progress.lost || a.status == 0
	if http1.IsCut(err) {
		c.handler.config.Crashes.Saw(time.Now(), c.print, a.choice.Endpoint.Start())
	}
	return resultBroken
}

// explain tells why an attempt ended. An attempt that the gateway ends shows only
// that its connection was closed.
func (a *attempt) explain(err error) string {
	switch {
	case a.silent.Load():
		return "endpoint silent, given up"
	case a.call.gone():
		return "caller gone"
	case !time.Now().Before(a.call.deadline):
		return "deadline"
	}
	return err.Error()
}

// notRun takes an answer that says the request did not run. On a kept
// connection an answer without an ID may be another request's; it is not
// believed.
func (a *attempt) notRun(x *http1.Exchange) result {
	h := a.call.handler.config.Headers
	if !x.Fresh && x.Response.Header.Get(h.RequestID) != a.call.id {
		a.outcome, a.cause = balance.Failed, "unnamed-refusal"
		return resultBroken
	}
	a.outcome = balance.Refused
	if a.status == http.StatusMisdirectedRequest {
		a.outcome = balance.Gone
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxWhole)); err == nil {
		x.Finish()
	}
	return resultNotRun
}

// sound reports whether an answer may be an endpoint's: a success bears its
// seal and no encoding, and a status that promises that the request did not run
// says so.
func (a *attempt) sound(resp *http.Response) bool {
	h := a.call.handler.config.Headers
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return false
	}
	if resp.StatusCode/100 != 2 {
		return true
	}
	return resp.Header.Get(h.Seal) != "" && resp.Header.Get("Content-Encoding") == ""
}

// whole passes on an answer that is not a stream, once it is complete. A failure
// that may be tried again is kept: it is still the endpoint's answer where
// nothing better comes.
func (a *attempt) whole(x *http1.Exchange, timer *time.Timer) result {
	c := a.call
	body, err := io.ReadAll(io.LimitReader(x.Response.Body, maxWhole+1))
	if err != nil {
		return a.failed(err)
	}
	a.first = time.Since(a.at)
	c.queue().Began(c.wanted(), a.first)
	if len(body) > maxWhole {
		if timer != nil {
			// The endpoint is not silent, and nobody else could go on with its answer.
			timer.Stop()
		}
		return a.long(x, body)
	}
	x.Finish()
	whole := &wholeAnswer{head: x.Response, body: body}
	if x.Response.StatusCode >= http.StatusInternalServerError {
		a.outcome = balance.Failed
		if c.mayRepeat() && x.Response.StatusCode != http.StatusGatewayTimeout {
			c.kept = whole
			return resultBroken
		}
	} else {
		a.outcome = balance.Served
		c.handler.config.Crashes.Served(c.print)
	}
	c.pass(whole)
	return resultDone
}

// mayRepeat reports whether the attempt under way may be followed by another
// one though it has run.
func (c *call) mayRepeat() bool {
	return c.route.Kind.Repeats() && c.progress.runs+1 < c.route.Attempts
}

// pass writes a complete answer to the caller.
func (c *call) pass(w *wholeAnswer) {
	c.copyHead(w.head)
	c.out.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	c.out.WriteHeader(w.head.StatusCode)
	// A caller that has gone needs no answer.
	_, _ = c.out.Write(w.body)
}

// long passes on an answer that is too large to be held.
func (a *attempt) long(x *http1.Exchange, begin []byte) result {
	c := a.call
	c.copyHead(x.Response)
	if length := x.Response.ContentLength; length >= 0 {
		c.out.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.out.WriteHeader(x.Response.StatusCode)
	c.progress.started = true
	_, err := io.Copy(c.out, io.MultiReader(bytes.NewReader(begin), x.Response.Body))
	if err != nil {
		a.cause = a.explain(err)
		if c.gone() {
			return resultGone
		}
		return resultCut
	}
	if x.Response.StatusCode < http.StatusInternalServerError {
		a.outcome = balance.Served
		c.handler.config.Crashes.Served(c.print)
	}
	x.Finish()
	return resultDone
}

// copyHead copies an answer's headers.
func (c *call) copyHead(resp *http.Response) {
	to := c.out.Header()
	for name, values := range passed(resp.Header) {
		to[name] = values
	}
}

// fields are what the log says of the attempt.
func (a *attempt) fields(res result) decision.Fields {
	f := decision.Fields{
		"endpoint": a.choice.Endpoint.ID, "load": a.choice.Load, "mean": float64(int(a.choice.Mean*10)) / 10, "ready": a.choice.Ready,
		"result": res.String(), "status": a.status, "took_ms": time.Since(a.at).Milliseconds(), "first_ms": a.first.Milliseconds(),
	}
	if a.choice.First != nil {
		f["prompt"] = a.call.key
		f["preferred"] = a.choice.First.ID == a.choice.Endpoint.ID
	}
	if age := a.choice.Age; age > 0 {
		f["loads_ms"] = age.Milliseconds()
	}
	if born := a.choice.Endpoint.Born; !born.IsZero() {
		f["born"] = born.UnixMilli()
	}
	if a.load > 0 {
		f["reported"] = a.load
	}
	if a.notice.Leaving {
		f["leaving"] = true
	}
	if a.notice.Rest > 0 {
		f["rest_ms"] = a.notice.Rest.Milliseconds()
	}
	if reading := a.choice.Reading; reading > 0 {
		f["reading_ms"] = reading.Milliseconds()
	}
	if a.reserved {
		f["reserved"] = true
	}
	if a.choice.Cold {
		f["cold"] = true
	}
	if n := a.call.progress.full; n > 0 {
		f["full"] = n
	}
	if a.choice.Source != nil {
		f["source"] = a.choice.Source.ID
	}
	if a.cause != "" {
		f["cause"] = a.cause
	}
	if a.call.progress.events > 0 {
		f["events"] = a.call.progress.events
	}
	return f
}
