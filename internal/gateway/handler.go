// Package gateway forwards callers' requests to endpoints along the routes that
// operators publish, and returns the responses unchanged.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// maxHeldBytes bounds the bodies held at once. A node has 284 MB in the
	// smallest installations, of which the process itself takes about 20.
	maxHeldBytes = 64 << 20
	// defaultTimeout is how long a request may take if neither its route nor its caller
	// says.
	defaultTimeout = time.Minute
	// answerMargin is how long before the caller's deadline it gets a response.
	answerMargin = 30 * time.Millisecond
	// waitInterval is how often a stopping node looks whether requests are left.
	waitInterval = 20 * time.Millisecond
	// maxConfigAge is how old the configuration may be for the node to say that
	// a route or key does not exist; the platform answers within milliseconds.
	maxConfigAge = 25 * time.Second
)

type (
	// Deployment is the node's view of the deployment.
	Deployment interface {
		Snapshot() *deployment.Snapshot
		// Configured returns a channel that is closed once a configuration is
		// known.
		Configured() <-chan struct{}
		// Age returns how long ago the store last answered, and whether it
		// ever did.
		Age() (time.Duration, bool)
		// RecordLeave records an endpoint's leave notice and where it came from.
		RecordLeave(s deployment.Start, source string)
	}

	// Config holds the settings of a Handler.
	Config struct {
		Headers    Headers
		Deployment Deployment
		Balancer   *balance.Balancer
		Pool       *http1.Pool
		Budget     *budget.Budget
		Crashes    Crashes
		// Reach knows which services this node reaches; nil means all.
		Reach Reach
		// Handovers hands requests over to nodes that reach a service; nil if there
		// are none.
		Handovers Handovers
		// Owners hands requests over to the owners of their services; nil if no service
		// has one.
		Owners Owners
		// Owned reports whether this node is the owner of a service; nil means that it
		// owns none.
		Owned   func(service string) bool
		Metrics *Metrics
		Log     *decision.Log
		// Reserver reserves slots at engines; nil if they support no reservations.
		Reserver Reserver
		// Takers reports whether other nodes may take requests for a service, of those in
		// some regions if any are given; nil means that they may.
		Takers func(service string, regions []string) bool
		// Regions maps the names of availability zones to their regions.
		Regions map[string]string
		// Nodes returns how many nodes there are.
		Nodes func() int
		// Peers returns the state of the other nodes; nil means PeersServing.
		Peers func() PeerState
		// CostOrder says for which services waiting requests are ordered by cost;
		// empty means CostOrderNever.
		CostOrder CostOrder
		// Stopping reports whether the node is being stopped.
		Stopping func() bool
		// Closes returns when the node ends the requests that are in progress, zero while
		// it accepts requests; nil means that it always does.
		Closes func() time.Time
	}

	// Handler serves callers' requests.
	Handler struct {
		config       Config
		reservations *reservations
		queues       queues
		heldBytes    atomic.Int64
		responses    responseMemory
		active       atomic.Int64
		// taken counts the requests that other nodes have handed over.
		taken atomic.Int64
		// ending ends the requests in progress.
		ending context.Context
		end    context.CancelFunc
		// abandoned says that the connections of callers are closed.
		abandoned atomic.Bool
	}

	// call is one request of a caller.
	call struct {
		handler   *Handler
		out       http.ResponseWriter
		in        *http.Request
		id        string
		config    *deployment.Config
		route     *deployment.Route
		account   *deployment.Account
		residency residency
		service   deployment.Service
		header    http.Header
		body      []byte
		// promptKey names the part of the prompt that requests share.
		promptKey string
		prompt    balance.Prompt
		// features are the request's, the whole request first.
		features []crash.Feature
		started  time.Time
		// deadline is when the caller must have its response.
		deadline time.Time
		progress progress
		callQueue
		// handed is set if another node has handed the request over.
		handed *handed
		// fallback is an endpoint's failure, sent if no attempt gets a better
		// response.
		fallback *bufferedResponse
		// reservation names the reservation that the next attempt uses.
		reservation string
		// next is a repeat that takes the place of an attempt that has ended; nil if
		// there is none.
		next *repeat
		// paid says that the next attempt's retry is taken from the budget.
		paid bool
		// refused says that it has ended with a refusal.
		refused bool
	}

	// progress is the state of a call's attempts so far.
	progress struct {
		tried []deployment.Start
		// sends counts endpoints that received the request, and runs those that
		// may have run it.
		sends int
		runs  int
		// lastEvent is the ID of the newest event that the caller has, and events
		// the number of events forwarded.
		lastEvent uint64
		events    int
		started   bool
		// excess says that its account is far above its usual request rate.
		excess bool
		// counted says that the request was counted in the retry budget and for its
		// account, at this node or the one that has handed it over.
		counted bool
		// askedOwner says that the request was offered to the owner of its service.
		askedOwner bool
		// nobodyUntil is until when no other node is offered the request.
		nobodyUntil time.Time
		// admitted says that it has had a slot.
		admitted bool
		// full counts the reservations that engines refused.
		full int
		// noResponse says that an attempt got no response at all.
		noResponse bool
		// reason is why the latest attempt failed, and last how it ended.
		reason string
		last   string
	}
)

// New returns a Handler.
func New(c Config) *Handler {
	if c.Reach == nil {
		c.Reach = reachesAll{}
	}
	if c.Owned == nil {
		c.Owned = func(string) bool { return false }
	}
	if c.Takers == nil {
		c.Takers = func(string, []string) bool { return true }
	}
	if c.Closes == nil {
		c.Closes = func() time.Time { return time.Time{} }
	}
	h := &Handler{config: c, reservations: newReservations(c.Reserver), queues: newQueues()}
	h.ending, h.end = context.WithCancel(context.Background())
	if c.Metrics != nil {
		c.Metrics.set.RegisterMetricsWriter(h.writeQueueMetrics)
		c.Metrics.set.RegisterMetricsWriter(h.writeHeldMetrics)
	}
	return h
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// Held returns the size of the request bodies that are held, in bytes.
func (h *Handler) Held() int64 { return h.heldBytes.Load() }

// Taken returns the number of requests in progress that other nodes have handed over.
func (h *Handler) Taken() int64 { return h.taken.Load() }

// Wait waits until no request is in progress, or until ctx ends. One of another node is until
// its response is sent.
func (h *Handler) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for h.active.Load() > 0 || h.taken.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("gateway: wait: %w", ctx.Err())
		}
	}
	return nil
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.config.Stopping() {
		w.Header().Set("Connection", "close")
	}
	c := &call{handler: h, out: w, in: r, id: r.Header.Get(h.config.Headers.RequestID), started: time.Now()}
	defer c.recovered()
	h.serve(c)
}

// serve serves one request, of a caller or of another node.
func (h *Handler) serve(c *call) {
	h.active.Add(1)
	defer h.active.Add(-1)
	defer c.setFallback(nil)
	if ref := c.admit(); ref != nil {
		c.refuse(c.denial(ref))
		return
	}
	if c.handed == nil {
		// The body of what another node has handed over is held since it was taken.
		size := c.in.ContentLength
		if size < 0 {
			size = c.config.Limits.BodyBytes
		}
		if !h.hold(size) {
			c.refuse(notRun(reasonBodiesHeld, retrySoon))
			return
		}
		defer h.heldBytes.Add(-size)
	}
	if ref := c.read(); ref != nil {
		c.refuse(c.denial(ref))
		return
	}
	ctx, cancel := context.WithDeadline(c.in.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(h.ending, cancel)()
	c.run(ctx)
	if !c.refused {
		c.finished()
	}
	if h.ending.Err() != nil && c.handed == nil {
		// The connection may be closed once no request is in progress.
		_ = flush(c.out)
	}
}

// hold reserves memory for a body, and reports whether there is enough.
func (h *Handler) hold(size int64) bool {
	if size > maxHeldBytes {
		return false
	}
	if h.heldBytes.Add(size) > maxHeldBytes {
		h.heldBytes.Add(-size)
		return false
	}
	return true
}

// read reads the body and what the choice of an endpoint depends on. The body is
// buffered whole: it may have to be sent again, and an endpoint must not be kept
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
	case leftWithinBody(err):
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed, cause: endCallerGone}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonMalformed}
	}
	// Without the deadline, the server keeps reading and so notices when the
	// caller disconnects.
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	c.prepare(c.serviceName())
	return nil
}

// refuse ends a request with a refusal, or with the fallback if there is one.
func (c *call) refuse(r *refusal) {
	h := c.handler.config
	c.refused = true
	if c.progress.started && c.handed == nil && c.handler.ending.Err() != nil {
		c.left()
		c.abort(r)
	}
	if h.Stopping() && !c.progress.started {
		c.out.Header().Set("Connection", "close")
	}
	if c.handed == nil {
		h.Metrics.refused(r)
	}
	cause := c.cause(r)
	f := decision.Fields{"status": r.status, "reason": r.reason, "cause": cause, "sends": c.progress.sends, "runs": c.progress.runs}
	if c.progress.last != "" {
		f["last"] = c.progress.last
	}
	if r.peer != "" {
		f["peer"], f["peer_status"], f["peer_reason"] = r.peer, r.status, r.reason
	}
	if r.retryAfter > 0 {
		f["retry_after_ms"] = r.retryAfter.Milliseconds()
	}
	if i := r.isolation; i.Left > 0 {
		f["feature"], f["kind"], f["crashes"] = i.Print(), i.Scope.String(), i.Crashes
	}
	if c.progress.started {
		f["cut"] = true
	}
	if age, known := h.Deployment.Age(); known {
		f["confirmed_ms"] = age.Milliseconds()
	}
	if c.fallback != nil && !c.progress.started {
		f["status"], f["kept"] = c.fallback.head.StatusCode, true
		c.countEnd(endKept, c.progress.last)
		c.log("refused", f)
		c.writeResponse(c.fallback)
		return
	}
	c.countEnd(cause, c.progress.last)
	c.log("refused", f)
	if c.handed != nil {
		c.handed.refuse(c, r, cause)
		return
	}
	if c.progress.started {
		c.abort(r)
	}
	r.write(c.out)
}
