package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

const (
	// maxOffers is how many nodes are offered a request one after another.
	maxOffers = 3
	// nobodyTime is how long after that no other node is offered the request.
	nobodyTime = 200 * time.Millisecond
	// ownerCheckInterval is how often it is checked whether the owner that has a request
	// is lost: about the time after which another offer to it counts as not answered.
	ownerCheckInterval = 250 * time.Millisecond
	// hopMargin is how much sooner the node that runs a request ends it than the one
	// that has handed it over, so that its reason gets there.
	hopMargin = 10 * time.Millisecond
)

// ownReasons are the reasons of refusals that hold for the refusing node only.
var ownReasons = [...]string{reasonUnreachable, reasonBodiesHeld, reasonStale, reasonNoConfig, reasonWithdrawn, reasonOtherConfig, reasonStopping}

type (
	// Handovers hands requests over to other nodes.
	Handovers interface {
		// Offer offers a request to a node that reaches its service, of those in some
		// regions if any are given. It returns the node's name, empty if there is
		// none. An error means that the node has not taken the request.
		Offer(ctx context.Context, o *handover.Offer, regions []string) (peer string, x *handover.Exchange, err error)
		// Done ends a request that a node had taken.
		Done(peer string, x *handover.Exchange)
	}

	// Owners hands requests over to the owners of their services.
	Owners interface {
		// Offer offers a request to the owner of its service, if that is another node
		// in some regions, if any are given, which may be asked now. It returns the
		// owner's name, empty if there is none. An error means that the owner has not
		// taken the request.
		Offer(ctx context.Context, o *handover.Offer, regions []string) (peer string, x *handover.Exchange, err error)
		// Done ends a request that an owner had taken.
		Done(peer string, x *handover.Exchange)
		// Lost reports whether an owner no longer answers.
		Lost(peer string) bool
	}

	// hop is a request at another node.
	hop struct {
		peer string
		// owner says that the other node is the owner of the service.
		owner bool
		// answered is set once the response has begun, and paid if a retry was taken from
		// the budget when the other node was abandoned.
		answered atomic.Bool
		paid     atomic.Bool
		started  time.Time
		// first is the time until the first part of the response.
		first time.Duration
		cause string
		// refused says that the other node has refused the request.
		refused bool
	}
)

// mayHandOver reports whether the request should be offered to another node: this one
// does not reach its service. What was handed over is never handed over again.
func (c *call) mayHandOver() bool {
	h := c.handler.config
	return h.Handovers != nil && c.handed == nil && !h.Reach.Reaches(c.service.Name) && !time.Now().Before(c.progress.nobodyUntil)
}

// handOver has another node serve the request, and reports whether one has taken it.
func (c *call) handOver(ctx context.Context) (res result, ref *refusal, taken bool) {
	for range maxOffers {
		peer, x, err := c.offer(ctx, c.handler.config.Handovers, false)
		if peer == "" || err != nil && ctx.Err() != nil {
			break
		}
		if err != nil {
			continue
		}
		res, ref = c.follow(ctx, &hop{peer: peer, started: time.Now()}, x)
		c.handler.config.Handovers.Done(peer, x)
		if res == resultNotSent || ref != nil && c.mayRunElsewhere(ref) {
			continue
		}
		return res, ref, true
	}
	if ctx.Err() != nil {
		return 0, c.giveUp(reasonTimeout), true
	}
	c.progress.nobodyUntil = time.Now().Add(nobodyTime)
	return 0, nil, false
}

// mayAskOwner reports whether the request should be offered to the owner of its service.
// That happens once: after an owner has not taken it, or has broken off, it runs here.
func (c *call) mayAskOwner() bool {
	return c.handler.config.Owners != nil && c.handed == nil && !c.progress.askedOwner
}

// handToOwner has the owner of the service serve the request, and reports whether it has
// taken it. What the owner refuses because of a shortage is refused: it sees all
// requests for the service, so that no other node has a better place.
func (c *call) handToOwner(ctx context.Context) (res result, ref *refusal, taken bool) {
	owners := c.handler.config.Owners
	exchange, abandon := context.WithCancel(ctx)
	defer abandon()
	peer, x, err := c.offer(exchange, owners, true)
	if peer == "" {
		return 0, nil, false
	}
	c.progress.askedOwner = true
	if err != nil {
		if ctx.Err() != nil {
			return 0, c.giveUp(reasonTimeout), true
		}
		return 0, nil, false
	}
	a := &hop{peer: peer, owner: true, started: time.Now()}
	if c.canRetry() {
		defer c.watchOwner(exchange, a, abandon).Stop()
	}
	res, ref = c.follow(ctx, a, x)
	owners.Done(peer, x)
	if c.paid = a.paid.Load(); c.paid && (res != resultBroken || ref != nil) {
		c.paid = false
		c.returnRetry()
	}
	if res == resultNotSent || ref != nil && c.mayRunElsewhere(ref) {
		return 0, nil, false
	}
	return res, ref, true
}

// watchOwner abandons an owner that is lost before its response begins, as a paused one
// is, once the request may be repeated here: the retry budget allows it, and an endpoint
// has room. An owner that answers other offers is only slow.
func (c *call) watchOwner(ctx context.Context, a *hop, abandon func()) *time.Timer {
	return startTimer(ownerCheckInterval, func(timer *time.Timer) {
		defer c.contain()
		switch {
		case ctx.Err() != nil || a.answered.Load():
		case c.handler.config.Owners.Lost(a.peer) && c.takeRetry():
			a.paid.Store(true)
			abandon()
		default:
			timer.Reset(ownerCheckInterval)
		}
	})
}

// takeRetry takes a retry from the budget if an endpoint has room for the request.
func (c *call) takeRetry() bool {
	h, now := c.handler.config, time.Now()
	r := balance.Request{Service: c.service, Key: c.promptKey, Tried: c.progress.tried}
	return h.Reach.Reaches(c.service.Name) && h.Balancer.HasRoom(now, c.endpoints(), r) && h.Budget.Retry(now, c.service.Name)
}

// startTimer calls a function after a time, with the timer, which it may reset.
func startTimer(d time.Duration, f func(timer *time.Timer)) *time.Timer {
	var timer *time.Timer
	set := make(chan struct{})
	timer = time.AfterFunc(d, func() {
		<-set
		f(timer)
	})
	close(set)
	return timer
}

// mayRunElsewhere reports whether a request that a node has refused may run at another
// one: it may run, or run again, and the reason was that node's own. That node has taken
// a retry from the budget for each run that broke.
func (c *call) mayRunElsewhere(r *refusal) bool {
	if c.progress.runs > 0 && (!c.route.Kind.Retryable() || c.progress.runs >= c.route.Attempts) {
		return false
	}
	return slices.Contains(ownReasons[:], r.reason)
}

// offer offers the request to another node, which is the owner of its service or another
// one that reaches it.
func (c *call) offer(ctx context.Context, to Handovers, owner bool) (peer string, x *handover.Exchange, err error) {
	began, p := time.Now(), &c.progress
	peer, x, err = to.Offer(ctx, &handover.Offer{
		Method: c.in.Method, URI: c.in.RequestURI, Host: c.in.Host, Header: c.in.Header, Size: int64(len(c.body)),
		Service: c.service.Name, Version: c.config.Version, Age: time.Since(c.started), Left: time.Until(c.deadline),
		Kind: c.route.Kind, Attempts: c.route.Attempts,
		Progress: handover.Progress{
			Tried: p.tried, Sends: p.sends, Runs: p.runs, LastEvent: p.lastEvent, Events: p.events, Started: p.started,
			Counted: p.counted, Excess: p.excess, Last: p.last,
		},
	}, c.regions())
	if err != nil {
		c.logHop(&hop{peer: peer, owner: owner, started: began, cause: err.Error()}, resultNotSent)
	}
	return peer, x, err
}

// regions returns the regions in which the request may run; nil means all.
func (c *call) regions() []string {
	if c.residency.restricted {
		return c.residency.regions
	}
	return nil
}

// follow sends the request's body to the node that has taken it, and forwards the
// response.
func (c *call) follow(ctx context.Context, a *hop, x *handover.Exchange) (res result, ref *refusal) {
	res = resultBroken
	defer func() { c.logHop(a, res) }()
	err := x.Send(c.body)
	if errors.Is(err, handover.ErrNotTaken) {
		a.cause, res = err.Error(), resultNotSent
		return res, nil
	}
	c.progress.counted = true
	for err == nil {
		var f *handover.Frame
		if f, err = x.Next(); err != nil {
			break
		}
		if a.first == 0 {
			a.first = time.Since(a.started)
			a.answered.Store(true)
		}
		if f.Refusal != nil {
			if f.Refusal.Runs == 0 {
				res = resultNotRun
			}
			a.cause = f.Refusal.Reason
			a.refused = true
			return res, c.received(a.peer, f.Refusal)
		}
		if err := c.writeFrame(f); err != nil {
			a.cause, res = err.Error(), resultCallerGone
			return res, nil
		}
		if f.End && c.progress.started {
			res = resultDone
			return res, nil
		}
	}
	a.cause = err.Error()
	switch {
	case c.callerGone():
		res = resultCallerGone
	case c.progress.started && !c.route.Kind.Streams():
		res = resultCut
	case ctx.Err() != nil:
		a.cause = "deadline"
	}
	return res, nil
}

// writeFrame writes a part of the response to the caller.
func (c *call) writeFrame(f *handover.Frame) error {
	if f.Status != 0 && !c.progress.started {
		to := c.out.Header()
		for name, values := range f.Header {
			to[name] = values
		}
		c.out.WriteHeader(f.Status)
		c.progress.started = true
	}
	c.progress.lastEvent, c.progress.events = max(c.progress.lastEvent, f.LastEvent), max(c.progress.events, f.Events)
	if len(f.Data) == 0 {
		return nil
	}
	if _, err := c.out.Write(f.Data); err != nil {
		return err
	}
	if f.End {
		return nil
	}
	return flush(c.out)
}

// received returns the refusal of another node as this node's own.
func (c *call) received(peer string, r *handover.Refusal) *refusal {
	c.progress.sends, c.progress.runs = max(c.progress.sends, r.Sends), max(c.progress.runs, r.Runs)
	c.progress.last = r.Last
	return &refusal{status: r.Status, reason: r.Reason, retryAfter: r.RetryAfter, cause: r.Cause, peer: peer}
}

// serviceName returns the service that the request goes to: the one that the node
// which handed it over has drawn, or one drawn here.
func (c *call) serviceName() string {
	if c.handed != nil {
		return c.handed.service
	}
	return c.route.Service(rand.Float64())
}

// logHop logs and counts a request that was offered to another node.
func (c *call) logHop(a *hop, res result) {
	c.handler.config.Metrics.handedOver(a, res)
	c.progress.last = a.end(res, c.progress.last)
	f := decision.Fields{
		"service": c.service.Name, "peer": a.peer, "result": res.String(), "took_ms": time.Since(a.started).Milliseconds(),
		"first_ms": a.first.Milliseconds(),
	}
	if a.owner {
		f["owner"] = true
	}
	if a.cause != "" {
		f["cause"] = a.cause
	}
	if c.progress.events > 0 {
		f["events"] = c.progress.events
	}
	c.log("handover", f)
}
