package gateway

import (
	"cmp"
	"net/http"
	"strconv"
	"time"
)

// admit finds the request's route and account.
func (c *call) admit() *refusal {
	h := c.handler
	if c.config = c.awaitConfig(); c.config == nil {
		return c.unconfigured()
	}
	if c.config.Limits.HeaderBytes > 0 && headerSize(c.in) > c.config.Limits.HeaderBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeader}
	}
	if len(c.in.Header[h.config.Headers.RequestID]) > 1 || len(c.in.Header[h.config.Headers.APIKey]) > 1 {
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed}
	}
	c.route = c.config.Route(c.in.Host, c.in.URL.Path)
	if c.route == nil {
		return c.denied(http.StatusNotFound, reasonNoRoute)
	}
	if !c.route.Public && len(c.config.Accounts) > 0 {
		c.account = c.config.Account(c.in.Header.Get(h.config.Headers.APIKey))
		if c.account == nil {
			return c.denied(http.StatusUnauthorized, reasonNoAccount)
		}
	}
	if c.config.Limits.BodyBytes > 0 && c.in.ContentLength > c.config.Limits.BodyBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	}
	c.residency = residencyOf(c.route, c.account)
	c.deadline = c.started.Add(c.timeout() - answerMargin)
	if c.handed != nil {
		return c.admitHanded()
	}
	return nil
}

// denial returns the refusal of a request that is not admitted here. Another node's
// request has been admitted there; if this node's configuration does not allow it, it is
// a newer one, and the request goes elsewhere.
func (c *call) denial(r *refusal) *refusal {
	if c.handed == nil || r.status == http.StatusServiceUnavailable {
		return r
	}
	return notRun(reasonOtherConfig, retrySoon)
}

// denied refuses what the configuration does not allow. If the configuration is so
// old that it may have been replaced, the caller is asked to retry instead.
func (c *call) denied(status int, reason string) *refusal {
	if age, _ := c.handler.config.Deployment.Age(); age > maxConfigAge {
		return notRun(reasonStale, retryLater)
	}
	return &refusal{status: status, reason: reason}
}

// timeout returns how long the request may take: the route's timeout, or the caller's if
// that is shorter or the route has none.
func (c *call) timeout() time.Duration {
	wait, asked := c.route.Timeout, c.callerTimeout()
	if wait == 0 || asked > 0 && asked < wait {
		wait = asked
	}
	return cmp.Or(wait, defaultTimeout)
}

// callerTimeout returns how long the caller says that it waits, 0 if it doesn't.
func (c *call) callerTimeout() time.Duration {
	ms, err := strconv.ParseFloat(c.in.Header.Get(c.handler.config.Headers.Deadline), 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}
