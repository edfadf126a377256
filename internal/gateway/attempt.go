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
	// onceMaxIdle is how long a connection may have been idle for an
	// at-most-once request. A new connection for each costs two round trips and
	// one of the connections that the endpoint accepts.
	onceMaxIdle = time.Second
	// idleShare is the share of an endpoint's connection limit that all nodes
	// together keep idle at most: endpoints accept fewer connections while their
	// queue is long.
	idleShare = 0.5
)

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	head *http.Response
	body *responseBody
}

// attempt is one send of a call to an endpoint.
type attempt struct {
	call    *call
	choice  *balance.Choice
	started time.Time
	outcome balance.Outcome
	// reservation names the slot that is reserved for the request at the endpoint; empty
	// if there is none.
	reservation string
	// newConn says that the request must not be sent on a connection used before.
	newConn bool
	// lastEvent is the ID of the newest event that the caller had when the attempt began.
	lastEvent uint64
	// cancel ends the attempt.
	cancel context.CancelFunc
	// status is the response's status, 0 if there was no response.
	status int
	// load is the number of requests that the endpoint reports in its response,
	// and notice what else it reports about itself.
	load   int
	notice Notice
	// latency is the time until a stream's first event, or until any other
	// response was buffered.
	latency time.Duration
	cause   string
	// timedOut reports that the endpoint was abandoned because it sent nothing.
	timedOut atomic.Bool
	// dropped reports that another endpoint's response is used instead.
	dropped atomic.Bool
	// ended reports that the endpoint has ended during the run.
	ended bool
	// noResponse says that the request was sent and not answered at all.
	noResponse bool
	// body is the response's body as far as it was read before the attempt was taken over,
	// and whole says that this is all.
	body  *responseBody
	whole bool
	// events and full are those of the call's progress at the end of the attempt.
	events, full int
}

// run receives the response whose head is awaited, and forwards it. The context is the
// call's: what repeats the request outlives the attempt.
func (a *attempt) run(ctx context.Context, head func() (*http1.Exchange, result)) (res result) {
	c := a.call
	res = resultBroken
	w := a.watch(ctx)
	defer func() {
		c.next = w.stop(res)
		a.events, a.full = c.progress.events, c.progress.full
		a.done(res)
	}()
	x, sent := head()
	if x == nil {
		return sent
	}
	defer x.Abort()
	w.answered()
	switch {
	case c.progress.started && a.status/100 != 2:
		// The caller already has part of a stream, which this cannot continue.
		a.outcome, a.cause = balance.Failed, "not-resumed"
		return resultBroken
	case c.route.Kind.Streams() && a.status/100 == 2:
		return a.stream(x, w)
	}
	return a.forward(x, w)
}

// send sends the request and returns the exchange once the head of a response has
// arrived that is the endpoint's; otherwise nil, and what became of the request.
func (a *attempt) send(ctx context.Context) (*http1.Exchange, result) {
	c := a.call
	x, err := c.handler.config.Pool.Do(ctx, http1.Request{
		Addr: a.choice.Endpoint.Addr, Process: a.choice.Endpoint.Start().Key(), ID: c.id, HTTP: a.request(),
		MaxIdle: a.maxIdle(), MaxIdleConns: c.maxIdleConns(), MaySend: c.maySend(a.choice.Endpoint),
	})
	if err != nil {
		return nil, a.classify(err)
	}
	if x.NewConn {
		c.handler.config.Reach.Opened(c.service.Name)
	}
	a.status = x.Response.StatusCode
	a.reportLoad(x.Response.Header)
	a.notice = c.handler.config.Headers.Notice(a.status, x.Response.Header)
	c.applyNotice(a.choice.Endpoint, a.notice)
	h := c.handler.config.Headers
	if x.Response.Header.Get(h.NotRun) != "" || a.status == http.StatusMisdirectedRequest {
		defer x.Abort()
		return nil, a.notRun(x)
	}
	c.handler.config.Crashes.Reached(a.choice.Endpoint, a.started)
	if !http1.IsOverload(a.status) {
		c.handler.config.Balancer.Accepted(time.Now(), a.choice.Endpoint.Start())
	}
	if !a.valid(x.Response) {
		x.Abort()
		a.outcome, a.cause = balance.Failed, "unsound-answer"
		return nil, resultBroken
	}
	return x, resultDone
}

// done frees the attempt's slot, and logs and counts how it ended.
func (a *attempt) done(res result) {
	c, now := a.call, time.Now()
	c.handler.config.Balancer.PrefillDone(now, a.choice, 0)
	c.handler.config.Balancer.Release(now, a.choice.Endpoint.Start(), a.outcome)
	c.released(now, time.Since(a.started), a.outcome == balance.Served)
	c.handler.config.Metrics.attempted(a, res)
	c.log("attempt", a.fields(res))
}

// maxIdle returns how long the connection may have been idle, 0 for a new one.
//
// An endpoint may close an idle connection while a request is sent on it. Whether
// the request was read is then unknown, so an at-most-once request is lost. This
// does not happen shortly after a response. Responses without a request ID can be
// matched to requests only on a new connection. After an attempt without any
// response a new one is used too, as the next might be lost in the same way.
func (a *attempt) maxIdle() time.Duration {
	switch {
	case a.call.id == "" || a.newConn:
		return 0
	case a.call.route.Kind.Retryable():
		return http1.MaxIdle
	}
	return onceMaxIdle
}

// maxIdleConns returns how many idle connections this node may keep to an
// endpoint, 0 for the pool's default.
//
// An endpoint resets connections beyond a limit that counts those of all nodes,
// idle ones included, and an at-most-once request is lost with a reset. A burst
// that leaves many idle connections would cause resets of new ones. The owner of a
// service keeps those of all nodes, as the others rarely open any.
func (c *call) maxIdleConns() int {
	if c.service.Connections == 0 {
		return 0
	}
	nodes := max(c.handler.config.Nodes(), 1)
	if c.exclusive() {
		nodes = 1
	}
	return max(int(idleShare*float64(c.service.Connections))/nodes, 1)
}

// request builds the request that is sent to the endpoint.
func (a *attempt) request() *http.Request {
	c := a.call
	h := c.handler.config.Headers
	header := c.header.Clone()
	left := max(time.Until(c.deadline), time.Millisecond)
	header.Set(h.Deadline, strconv.FormatInt(left.Milliseconds()+1, 10))
	header.Set(h.ExpectEndpoint, a.choice.Endpoint.ID)
	if a.choice.Source != nil {
		header.Set(h.FetchFrom, a.choice.Source.Addr.String())
	}
	if a.reservation != "" {
		header.Set(h.Reservation, a.reservation)
	}
	if a.lastEvent > 0 {
		header.Set(h.LastEventID, strconv.FormatUint(a.lastEvent, 10))
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

// classify maps an error to a result, by whether the request may have run.
func (a *attempt) classify(err error) result {
	c := a.call
	a.cause = a.explain(err)
	sent := !errors.Is(err, http1.ErrConnect) && !errors.Is(err, http1.ErrWithdrawn)
	if a.dropped.Load() {
		if !sent {
			return resultNotSent
		}
		c.handler.config.Crashes.Abandoned(c.features, a.choice.Endpoint)
		return resultDropped
	}
	if sent {
		a.recordBreak(err)
	}
	if c.callerGone() {
		return resultCallerGone
	}
	if errors.Is(err, http1.ErrConnect) {
		c.handler.config.Reach.Failed(a.choice.Endpoint, a.started)
		if http1.IsRefused(err) {
			c.handler.config.Crashes.Refused(a.choice.Endpoint)
		}
		a.outcome = balance.Unreachable
		return resultNotSent
	}
	if !sent {
		return resultWithdrawn
	}
	a.outcome = balance.Failed
	a.noResponse = a.status == 0
	return resultBroken
}

// explain returns why an attempt ended. If the gateway ended it, err says only
// that the connection was closed.
func (a *attempt) explain(err error) string {
	switch {
	case a.timedOut.Load():
		return "endpoint silent, given up"
	case a.dropped.Load():
		return "another endpoint responded"
	case a.call.callerGone():
		return "caller gone"
	case a.call.handler.ending.Err() != nil:
		return reasonStopping
	case !time.Now().Before(a.call.deadline):
		return "deadline"
	}
	return err.Error()
}

// notRun handles a response that says the request did not run. On a reused
// connection, one without the request's ID may belong to another request and is
// not trusted.
func (a *attempt) notRun(x *http1.Exchange) result {
	h := a.call.handler.config.Headers
	if !x.NewConn && x.Response.Header.Get(h.RequestID) != a.call.id {
		a.outcome, a.cause = balance.Failed, "unnamed-refusal"
		return resultBroken
	}
	a.outcome = balance.Refused
	if a.status == http.StatusMisdirectedRequest {
		a.outcome = balance.Gone
		a.call.handler.config.Crashes.Ended(a.choice.Endpoint.Start())
	}
	x.Discard()
	return resultNotRun
}

// valid reports whether a response may be an endpoint's: a success has the seal
// header and no content encoding. A status which implies that the request did not
// run is invalid here, as send has handled the responses that say so explicitly.
func (a *attempt) valid(resp *http.Response) bool {
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

// fields returns the attempt's log fields.
func (a *attempt) fields(res result) decision.Fields {
	f := decision.Fields{
		"endpoint": a.choice.Endpoint.ID, "load": a.choice.Load, "mean": float64(int(a.choice.Mean*10)) / 10, "ready": a.choice.Ready,
		"result": res.String(), "status": a.status, "took_ms": time.Since(a.started).Milliseconds(), "first_ms": a.latency.Milliseconds(),
	}
	if a.choice.First != nil {
		f["prompt"] = a.call.promptKey
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
	if a.choice.Slowdown > 0 {
		f["slowdown"], f["slowdown_ms"] = float64(int(a.choice.Slowdown*100))/100, a.choice.SlowdownAge.Milliseconds()
	}
	if a.notice.Leaving {
		f["leaving"] = true
	}
	if a.notice.Brittle {
		f["brittle"] = true
	}
	if a.notice.Backoff > 0 {
		f["rest_ms"] = a.notice.Backoff.Milliseconds()
	}
	if reading := a.choice.PrefillTime; reading > 0 {
		f["reading_ms"] = reading.Milliseconds()
	}
	if a.reservation != "" {
		f["reserved"] = true
	}
	if a.choice.Cold {
		f["cold"] = true
	}
	if n := a.full; n > 0 {
		f["full"] = n
	}
	if a.choice.Source != nil {
		f["source"] = a.choice.Source.ID
	}
	if a.cause != "" {
		f["cause"] = a.cause
	}
	if a.ended {
		f["ended"] = true
		f["parts"] = partPrints(a.call.features)
	}
	if a.events > 0 {
		f["events"] = a.events
	}
	return f
}
