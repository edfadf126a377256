// Package dispatch executes the routing plan of a request: it requests permits
// from the owners of endpoints, calls endpoints and reports failures to the
// control state.
package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

var errNoOwner = errors.New("dispatch: the owner is not in the view")

const (
	// peerTimeout bounds a permit or lease request to another node.
	peerTimeout = 250 * time.Millisecond
)

type (
	// Endpoints sends calls to endpoints.
	Endpoints interface {
		Do(ctx context.Context, addr netip.AddrPort, call endpoint.Call) (*endpoint.Answer, error)
	}

	// Peers requests permits from other nodes.
	Peers interface {
		Permit(ctx context.Context, to netip.AddrPort, b permit.Batch) (permit.Reply, error)
	}

	// Gate grants permits for the endpoints that this node owns.
	Gate interface {
		Apply(now time.Time, b permit.Batch) permit.Reply
		OwnedLoad(now time.Time, endpoint string) kernel.Load
		SetOwnerTotal(now time.Time, node, endpoint string, l kernel.Load)
	}

	// Limiter admits requests within the rate shares of their accounts.
	Limiter interface {
		Enqueue(now time.Time, a limit.Request) *limit.Entry
	}

	// Meter measures the demand for models.
	Meter interface {
		Add(now time.Time, model string, tokens int)
	}

	// Sink receives events for the control state.
	Sink interface {
		Offer(ev kernel.Event)
	}

	// Config is the settings of a Dispatcher.
	Config struct {
		View func() *kernel.View
		// Router plans the requests. Default: a router with default settings.
		Router *route.Router
		// Caches transfers KV caches for plans that import them; nil disables
		// transfers.
		Caches Caches
		// Holder tracks the permits that the node holds. Default: a new one.
		Holder *permit.Holder
		// Recorder records the steps of plans; nil disables recording.
		Recorder  Recorder
		Gate      Gate
		Peers     Peers
		Endpoints Endpoints
		Sink      Sink
		// Limiter enforces the rates of accounts; nil disables rate limits.
		Limiter Limiter
		// Meter measures demand; nil disables it.
		Meter Meter
		// Leases and PeerLeases grant leases for suspected requests, from this
		// node and from others.
		Leases     Leases
		PeerLeases PeerLeases
	}

	// Dispatcher runs requests. It is safe for concurrent use.
	Dispatcher struct {
		config  Config
		holder  *permit.Holder
		serial  atomic.Uint64
		base    uint64
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// Refusal is the error returned for a request that gets no answer.
	Refusal struct {
		Reason     route.Reason
		RetryAfter time.Duration
		// NotRun is set only if no endpoint can have run the request.
		NotRun bool
	}

	// Run is a request that an endpoint is answering. The caller must close it.
	Run struct {
		Answer   *endpoint.Answer
		Attempt  string
		Endpoint kernel.Endpoint
		release  func()
		job      *job
	}

	// job is the execution of one request's plan.
	job struct {
		d        *Dispatcher
		plan     planner
		req      route.Request
		call     endpoint.Call
		permitID uint64
		// mayHaveRun is set if an earlier attempt may have run at an endpoint.
		mayHaveRun bool

		suspicion suspicion
	}
)

// New returns a Dispatcher.
func New(c Config) *Dispatcher {
	if c.Holder == nil {
		c.Holder = permit.NewHolder()
	}
	if c.Router == nil {
		c.Router = route.NewRouter(route.Config{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{config: c, holder: c.Holder, base: rand.Uint64(), cancel: cancel}
	d.running.Go(func() {
		tick := time.NewTicker(flushInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				d.flush(ctx)
			}
		}
	})
	return d
}

// Close stops sending releases to owners. Permits that are still held expire
// with their leases.
func (d *Dispatcher) Close() {
	d.cancel()
	d.running.Wait()
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("dispatch: refused: %s", r.Reason)
}

// Close closes the answer and releases the permit and the lease.
func (r *Run) Close() error {
	err := r.Answer.Close()
	r.release()
	r.job.releaseLease(false)
	return err
}

// Do dispatches a request to an endpoint. It returns once the head of the answer
// has arrived, or a *Refusal.
func (d *Dispatcher) Do(ctx context.Context, req route.Request, call endpoint.Call) (*Run, error) {
	if refusal := d.admit(ctx, req); refusal != nil {
		d.recordRefusal(req, refusal)
		return nil, refusal
	}
	j := &job{d: d, plan: d.config.Router.Plan(time.Now(), req), req: req, call: call}
	return j.withRecorder().execute(ctx)
}

// execute follows the plan until an endpoint answers or the request is refused.
func (j *job) execute(ctx context.Context) (*Run, error) {
	for {
		if refusal := j.clear(ctx); refusal != nil {
			return nil, j.refuse(refusal)
		}
		step := j.plan.Next(time.Now(), j.d.config.View())
		switch step.Kind {
		case route.StepPermit:
			j.plan.Report(j.requestPermit(ctx, step))
		case route.StepRun:
			run, outcome := j.run(ctx, step)
			if run != nil {
				return run, nil
			}
			j.plan.Report(outcome)
			if refusal := j.refuseEnded(ctx); refusal != nil {
				return nil, refusal
			}
		case route.StepWait:
			if err := sleepUntil(ctx, step.Until); err != nil {
				return nil, j.refuse(&Refusal{Reason: endReason(ctx), RetryAfter: route.RetryAfter, NotRun: !j.mayHaveRun})
			}
		case route.StepRefuse:
			j.releaseLease(false)
			return nil, &Refusal{Reason: step.Reason, RetryAfter: step.RetryAfter, NotRun: !j.mayHaveRun}
		}
	}
}

func (j *job) requestPermit(ctx context.Context, step route.Step) route.Outcome {
	e := step.Endpoint
	j.permitID = j.d.base + j.d.serial.Add(1)
	req := permit.Request{
		ID:       j.permitID,
		Endpoint: e.Name,
		Tokens:   step.Tokens,
		Retry:    step.Retry,
		Lease:    time.Until(j.req.Deadline) + permit.LeaseSlack,
		Suspect:  len(j.suspect().Endpoints),
	}
	return j.d.requestPermit(ctx, e, req)
}

// available reports whether an endpoint still accepts requests. The permit request to
// its owner has taken time since the plan chose the endpoint.
func (j *job) available(e kernel.Endpoint) bool {
	pool := j.d.config.View().Pools[j.req.Service]
	if pool == nil {
		return true
	}
	current, known := pool.Endpoint(e.Name)
	return !known || current.Takes()
}

func (j *job) run(ctx context.Context, step route.Step) (*Run, route.Outcome) {
	e := step.Endpoint
	if !j.available(e) {
		j.d.releaseFailed(j.permitID)
		return nil, route.OutcomeUnavailable
	}
	j.importCache(ctx, step.From, e)
	call := j.call
	call.Attempt = strconv.FormatUint(j.permitID, 16)
	permit := j.permitID
	answer, err := j.d.config.Endpoints.Do(ctx, e.Addr, call)
	if err == nil {
		j.plan.Learn(time.Now(), route.Usage{Endpoint: e.Name})
		release := func() { j.d.release(permit) }
		return &Run{Answer: answer, Attempt: call.Attempt, Endpoint: e, release: release, job: j}, 0
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		j.d.release(permit)
	} else {
		j.d.releaseFailed(permit)
	}
	j.reportFailure(ctx, e, err)
	if errors.Is(err, endpoint.ErrNotRun) {
		return nil, route.OutcomeNotRun
	}
	j.mayHaveRun = true
	return nil, route.OutcomeLost
}

func sleepUntil(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
