// Package gateway passes callers' requests on to endpoints by the routes that
// operators publish, and their answers back, unchanged.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/admission"
	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// maxHeld bounds the bodies held at once. A node has 284 MB in the
	// smallest installations, of which the process itself takes about 20.
	maxHeld = 64 << 20
	// answerMargin is how long before the caller's deadline its answer is sent.
	answerMargin = 30 * time.Millisecond
	// staleAfter is how old the configuration may be for the node to say that
	// a route or key does not exist; the platform answers within milliseconds.
	staleAfter = 25 * time.Second
)

type (
	// Deployment is what is known of the deployment.
	Deployment interface {
		Snapshot() *deployment.Snapshot
		// Configured is closed once a configuration is known.
		Configured() <-chan struct{}
		// Age returns how long ago the store last answered, and whether it
		// ever did.
		Age() (time.Duration, bool)
		// Leaving notes that an endpoint has said that it leaves.
		Leaving(s deployment.Start, source string)
	}

	// Config is the settings of a Handler.
	Config struct {
		Headers    Headers
		Deployment Deployment
		Balancer   *balance.Balancer
		Pool       *http1.Pool
		Budget     *budget.Budget
		Crashes    *Crashes
		Metrics    *Metrics
		Log        *decision.Log
		// Places reserves places at engines; nil if they know no reservations.
		Places Reserver
		// Regions are those of the availability zones, by the zones' names.
		Regions map[string]string
		// Nodes returns how many nodes there are.
		Nodes func() int
		// Peers returns what the node hears of others; nil for that they serve.
		Peers func() Peers
		// Stopping reports whether the node is being stopped.
		Stopping func() bool
	}

	// Handler serves callers.
	Handler struct {
		config Config
		places *places
		mu     sync.Mutex
		queues map[string]*admission.Queue
		held   atomic.Int64
		active atomic.Int64
	}

	// call is one request of a caller.
	call struct {
		handler *Handler
		out     http.ResponseWriter
		in      *http.Request
		id      string
		config  *deployment.Config
		route   *deployment.Route
		account *deployment.Account
		homes   residence
		service deployment.Service
		header  http.Header
		body    []byte
		// key names the part of the prompt that requests share.
		key     string
		prompt  balance.Prompt
		print   uint64
		started time.Time
		// deadline is when the caller must have its answer.
		deadline time.Time
		progress progress
		// kept is an endpoint's failure, for where nothing better comes.
		kept *wholeAnswer
		// reserved names the place that is reserved for the next attempt.
		reserved string
	}

	// progress is what has become of a call so far.
	progress struct {
		tried []deployment.Start
		// sends counts endpoints that got the request, and runs those that may
		// have run it.
		sends int
		runs  int
		// last is the newest event passed on, and events their number.
		last    uint64
		events  int
		started bool
		// excess says that its account asks for more than its measure.
		excess bool
		// placed says that it has had a place.
		placed bool
		// full counts the reservations that engines refused.
		full int
		// lost says that an attempt got no answer at all.
		lost   bool
		reason string
	}
)

// New returns a Handler.
func New(c Config) *Handler {
	return &Handler{config: c, places: newPlaces(c.Places), queues: map[string]*admission.Queue{}}
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.config.Stopping() {
		w.Header().Set("Connection", "close")
	}
	c := &call{handler: h, out: w, in: r, id: r.Header.Get(h.config.Headers.RequestID), started: time.Now()}
	if ref := c.admit(); ref != nil {
		c.refuse(ref)
		return
	}
	size := r.ContentLength
	if size < 0 {
		size = c.config.Limits.BodyBytes
	}
	if h.held.Add(size) > maxHeld {
		h.held.Add(-size)
		c.refuse(notRun(reasonHeld, retrySoon))
		return
	}
	defer h.held.Add(-size)
	if ref := c.read(); ref != nil {
		c.refuse(ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}

// admit finds the request's route and account.
func (c *call) admit() *refusal {
	h := c.handler
	if c.config = c.awaitConfig(); c.config == nil {
		return c.unconfigured()
	}
	if c.config.Limits.HeaderBytes > 0 && size(c.in) > c.config.Limits.HeaderBytes {
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
	c.homes = reside(c.route, c.account)
	c.deadline = c.started.Add(c.wait() - answerMargin)
	return nil
}

// denied refuses what the configuration does not allow. A configuration that
// may long be replaced is no ground to say so for good.
func (c *call) denied(status int, reason string) *refusal {
	if age, _ := c.handler.config.Deployment.Age(); age > staleAfter {
		return notRun(reasonStale, retryLater)
	}
	return &refusal{status: status, reason: reason}
}

// wait is how long the caller waits, and the operator wants it kept waiting.
func (c *call) wait() time.Duration {
	wait, asked := c.route.Timeout, c.asked()
	if wait == 0 || asked > 0 && asked < wait {
		return asked
	}
	return wait
}

// asked is how long the caller says that it waits, 0 if it doesn't.
func (c *call) asked() time.Duration {
	ms, err := strconv.ParseFloat(c.in.Header.Get(c.handler.config.Headers.Deadline), 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// read takes the body, and what of the request decides where it goes. The body
// is held whole: it may have to be sent again, and an endpoint must not be kept
// waiting by a slow caller.
func (c *call) read() *refusal {
	control := http.NewResponseController(c.out)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	limit := c.config.Limits.BodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.out, c.in.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBody}
	case http1.IsTimeout(err):
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyLate}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed}
	}
	// Without the deadline, the server goes on to read, and so notices that the
	// caller has gone.
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	name := ""
	if c.account != nil {
		name = c.account.Name
	}
	h := c.handler.config.Headers
	c.header = h.forEndpoint(c.in.Header, name)
	c.print = fingerprint(c.in.RequestURI, name, body)
	c.service = c.config.Services[c.route.Service(rand.Float64())]
	if c.route.Cached {
		c.key, c.prompt = sharedPart(c.in.Header.Get(h.Model), c.in.Header.Get(h.Prompt))
	}
	if c.service.Model {
		c.header.Set(h.Priority, strconv.Itoa(c.rank()))
	}
	last, err := strconv.ParseUint(c.in.Header.Get(h.LastEvent), 10, 64)
	if err == nil {
		c.progress.last = last
	}
	return nil
}

// rank is the request's rank at an engine, from 0 to 9; the account's goes
// before the route's.
func (c *call) rank() int {
	const ranks, last = 3, 9
	account := 0
	if c.account != nil {
		account = c.account.Priority
	}
	return min(account*ranks+min(c.route.Priority, ranks-1), last)
}

// refuse answers a request that goes no further.
func (c *call) refuse(r *refusal) {
	h := c.handler.config
	h.Metrics.refused(r)
	f := decision.Fields{"status": r.status, "reason": r.reason, "sends": c.progress.sends, "runs": c.progress.runs}
	if r.after > 0 {
		f["retry_after_ms"] = r.after.Milliseconds()
	}
	if c.progress.started {
		f["cut"] = true
	}
	if age, known := h.Deployment.Age(); known {
		f["confirmed_ms"] = age.Milliseconds()
	}
	if c.kept != nil && !c.progress.started {
		f["status"], f["kept"] = c.kept.head.StatusCode, true
		c.log("refused", f)
		c.pass(c.kept)
		return
	}
	c.log("refused", f)
	if c.progress.started {
		c.endEarly(r)
	}
	r.write(c.out)
}

// log writes a line about the request.
func (c *call) log(event string, f decision.Fields) {
	f["request"] = c.id
	f["age_ms"] = time.Since(c.started).Milliseconds()
	if c.config != nil {
		f["version"] = c.config.Version
	}
	if c.route != nil {
		f["route"], f["due_ms"] = c.route.Name, c.route.Objective.Milliseconds()
	}
	if c.print != 0 {
		f["print"] = strconv.FormatUint(c.print, 36)
	}
	if c.account != nil {
		f["account"] = c.account.Name
	}
	c.handler.config.Log.Event(event, f)
}
