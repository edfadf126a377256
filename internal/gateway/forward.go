package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// forward forwards a response that is not a stream once it is complete. A
// retryable failure becomes the fallback: it is still the endpoint's response if
// no attempt gets a better one.
func (a *attempt) forward(x *http1.Exchange, w *watch) result {
	c := a.call
	body, whole := a.body, a.whole
	if body == nil {
		var err error
		if body, whole, err = c.handler.responses.read(x.Response); err != nil {
			return a.classify(err)
		}
	}
	a.latency = time.Since(a.started)
	c.queue().ObserveLatency(c.admissionRequest(), a.latency)
	if !whole {
		// The endpoint is responding, and no other could continue its response.
		if !w.keep() {
			body.release()
			return a.interrupted(errAbandoned)
		}
		return a.forwardLarge(x, body)
	}
	x.Finish()
	if a.endedWithResponse(x) {
		body.release()
		return resultBroken
	}
	response := &bufferedResponse{head: x.Response, body: body}
	if x.Response.StatusCode >= http.StatusInternalServerError {
		a.outcome = balance.Failed
		if c.canRetry() && x.Response.StatusCode != http.StatusGatewayTimeout {
			c.setFallback(response)
			return resultBroken
		}
	} else {
		a.outcome = balance.Served
	}
	// The response is here, whether the endpoint was abandoned or not.
	_ = w.keep()
	c.writeResponse(response)
	body.release()
	a.recordEnd(x)
	return resultDone
}

// canRetry reports whether the current attempt may be followed by another even
// if it has run.
func (c *call) canRetry() bool {
	return c.route.Kind.Retryable() && c.progress.runs+1 < c.route.Attempts
}

// writeResponse writes a complete response to the caller.
func (c *call) writeResponse(w *bufferedResponse) {
	c.copyHeader(w.head)
	c.out.Header().Set("Content-Length", strconv.Itoa(w.body.size))
	c.out.WriteHeader(w.head.StatusCode)
	c.progress.started = true
	// An error means that the caller has disconnected.
	_, _ = w.body.WriteTo(c.out)
}

// setFallback replaces the fallback; nil is none.
func (c *call) setFallback(w *bufferedResponse) {
	if c.fallback != nil {
		c.fallback.body.release()
	}
	c.fallback = w
}

// forwardLarge forwards a response that is too large to buffer; prefix is the part
// that has been read.
func (a *attempt) forwardLarge(x *http1.Exchange, prefix *responseBody) result {
	c := a.call
	c.copyHeader(x.Response)
	if length := x.Response.ContentLength; length >= 0 {
		c.out.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.out.WriteHeader(x.Response.StatusCode)
	c.progress.started = true
	_, err := prefix.WriteTo(c.out)
	prefix.release()
	if err == nil {
		_, err = io.Copy(c.out, x.Response.Body)
	}
	if err != nil {
		a.cause = a.explain(err)
		a.recordBreak(err)
		if c.callerGone() {
			return resultCallerGone
		}
		return resultCut
	}
	if a.endedWithResponse(x) {
		return resultCut
	}
	if x.Response.StatusCode < http.StatusInternalServerError {
		a.outcome = balance.Served
	}
	a.recordEnd(x)
	x.Finish()
	return resultDone
}

// copyHeader copies a response's end-to-end headers to the caller's response.
func (c *call) copyHeader(resp *http.Response) {
	to := c.out.Header()
	for name, values := range endToEnd(resp.Header) {
		to[name] = values
	}
}
