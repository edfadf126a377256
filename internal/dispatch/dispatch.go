// Package dispatch carries one request through its routing plan: it asks homes
// for permits, calls endpoints and tells the control state what came of it.
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
	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

var errNoHome = errors.New("dispatch: the home is not known")

const (
	askTimeout = 250 * time.Millisecond
)

type (
	// Endpoints calls endpoints.
	Endpoints interface {
		Do(ctx context.Context, addr netip.AddrPort, call endpoint.Call) (*endpoint.Answer, error)
	}

	// Peers asks other nodes for permits.
	Peers interface {
		Permit(ctx context.Context, to netip.AddrPort, b gate.Batch) (gate.Reply, error)
	}

	// Gate grants the permits of the endpoints whose home the node is.
	Gate interface {
		Apply(now time.Time, b gate.Batch) gate.Reply
		Own(now time.Time, endpoint string) kernel.Load
		Heard(now time.Time, node, endpoint string, l kernel.Load)
	}

	// Limiter admits requests within their accounts' shares.
	Limiter interface {
		Offer(now time.Time, a limit.Ask) *limit.Entry
	}

	// Meter measures the demand for models.
	Meter interface {
		Add(now time.Time, model string, tokens int)
	}

	// Sink takes events for the control state.
	Sink interface {
		Offer(ev kernel.Event)
	}

	// Config is the settings of a Dispatcher.
	Config struct {
		View func() *kernel.View
		// Router plans the requests; nil is one with the defaults.
		Router *route.Router
		// Caches moves KV caches for plans that import them; nil moves none.
		Caches Caches
		// Holder keeps the permits that the node holds; nil is an empty one.
		Holder *gate.Holder
		// Recorder keeps what the plans did; nil keeps nothing.
		Recorder  Recorder
		Gate      Gate
		Peers     Peers
		Endpoints Endpoints
		Sink      Sink
		// Limiter holds accounts to their rates; nil does not.
		Limiter Limiter
		// Meter measures demand; nil does not.
		Meter Meter
		// Leases and PeerLeases let suspected requests run.
		Leases     Leases
		PeerLeases PeerLeases
	}

	// Dispatcher runs requests. It is safe for concurrent use.
	Dispatcher struct {
		config  Config
		holder  *gate.Holder
		serial  atomic.Uint64
		base    uint64
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// Refusal is the error of a request that got no answer.
	Refusal struct {
		Reason     route.Reason
		RetryAfter time.Duration
		// NotRun is set only where no endpoint ran the request.
		NotRun bool
	}

	// Run is a request that an endpoint answers. The caller closes it.
	Run struct {
		Answer   *endpoint.Answer
		Attempt  string
		Endpoint kernel.Endpoint
		release  func()
		job      *job
	}

	job struct {
		d      *Dispatcher
		plan   planner
		req    route.Request
		call   endpoint.Call
		permit uint64
		lost   bool

		suspicion suspicion
	}
)

// New returns a Dispatcher.
func New(c Config) *Dispatcher {
	if c.Holder == nil {
		c.Holder = gate.NewHolder()
	}
	if c.Router == nil {
		c.Router = route.NewRouter(route.Config{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{config: c, holder: c.Holder, base: rand.Uint64(), cancel: cancel}
	d.running.Go(func() {
		tick := time.NewTicker(dueInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				d.due(ctx)
			}
		}
	})
	return d
}

// Close stops telling homes. Permits still held there end with their leases.
func (d *Dispatcher) Close() {
	d.cancel()
	d.running.Wait()
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("dispatch: refused: %s", r.Reason)
}

// Close ends the answer and gives the permit back.
func (r *Run) Close() error {
	err := r.Answer.Close()
	r.release()
	r.job.giveBack(false)
	return err
}

// Do carries a request to an endpoint and returns the head of its answer, or a
// *Refusal.
func (d *Dispatcher) Do(ctx context.Context, req route.Request, call endpoint.Call) (*Run, error) {
	if refusal := d.admit(ctx, req); refusal != nil {
		return nil, refusal
	}
	j := &job{d: d, plan: d.config.Router.Plan(time.Now(), req), req: req, call: call}
	return j.record().carry(ctx)
}

func (j *job) carry(ctx context.Context) (*Run, error) {
	for {
		if refusal := j.clear(ctx); refusal != nil {
			j.giveBack(false)
			return nil, refusal
		}
		step := j.plan.Next(time.Now(), j.d.config.View())
		switch step.Kind {
		case route.StepAsk:
			j.plan.Report(j.ask(ctx, step))
		case route.StepRun:
			run, outcome := j.run(ctx, step)
			if run != nil {
				return run, nil
			}
			j.plan.Report(outcome)
		case route.StepWait:
			if err := wait(ctx, step.Until); err != nil {
				j.giveBack(false)
				return nil, &Refusal{Reason: route.ReasonDeadline, RetryAfter: route.RetryAfter, NotRun: !j.lost}
			}
		case route.StepRefuse:
			j.giveBack(false)
			return nil, &Refusal{Reason: step.Reason, RetryAfter: step.RetryAfter, NotRun: !j.lost}
		}
	}
}

func (j *job) ask(ctx context.Context, step route.Step) route.Outcome {
	e := step.Endpoint
	j.permit = j.d.base + j.d.serial.Add(1)
	a := gate.Ask{
		ID:       j.permit,
		Endpoint: e.Name,
		Tokens:   step.Tokens,
		Waited:   step.Waited,
		Lease:    time.Until(j.req.Deadline) + gate.LeaseSlack,
		Suspect:  len(j.suspect().Endpoints),
	}
	return j.d.permit(ctx, e, a)
}

// takes reports whether an endpoint may still be sent the request: between the
// choice and the sending lies a question to its home.
func (j *job) takes(e kernel.Endpoint) bool {
	pool := j.d.config.View().Pools[j.req.Service]
	if pool == nil {
		return true
	}
	now, known := pool.Endpoint(e.Name)
	return !known || now.Takes()
}

func (j *job) run(ctx context.Context, step route.Step) (*Run, route.Outcome) {
	e := step.Endpoint
	if !j.takes(e) {
		j.d.void(j.permit)
		return nil, route.OutcomeGone
	}
	j.move(ctx, step.From, e)
	call := j.call
	call.Attempt = strconv.FormatUint(j.permit, 16)
	permit := j.permit
	answer, err := j.d.config.Endpoints.Do(ctx, e.Addr, call)
	if err == nil {
		j.plan.Learn(time.Now(), route.Usage{Endpoint: e.Name})
		release := func() { j.d.release(permit) }
		return &Run{Answer: answer, Attempt: call.Attempt, Endpoint: e, release: release, job: j}, 0
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		j.d.release(permit)
	} else {
		j.d.void(permit)
	}
	j.failed(ctx, e, err)
	if errors.Is(err, endpoint.ErrNotRun) {
		return nil, route.OutcomeNotRun
	}
	j.lost = true
	return nil, route.OutcomeLost
}

func wait(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
