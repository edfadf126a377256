package dispatch

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

const (
	// suspectPause is the time between two asks for the lease of a request.
	suspectPause = 100 * time.Millisecond
	// leaseTimeout bounds the message that gives a lease back.
	leaseTimeout = time.Second
	// leaseTries is how often a lease is given back at most, with pauses between
	// that grow from suspectPause. One that is not lasts until its request's
	// deadline, and keeps all others of the same content from running.
	leaseTries = 6
)

type (
	// Leases grants the right to run suspected requests whose holder the node
	// is.
	Leases interface {
		Acquire(now time.Time, l poison.Lease) bool
		Release(now time.Time, l poison.Lease, died bool)
	}

	// PeerLeases asks other nodes for that right.
	PeerLeases interface {
		Acquire(ctx context.Context, to netip.AddrPort, l poison.Lease) (bool, error)
		GiveBack(ctx context.Context, to netip.AddrPort, l poison.Lease, died bool) error
	}

	// suspicion is what a job knows of its own request.
	suspicion struct {
		// endpoints is those that died running it here. The control state
		// hears of them too, but only after the job has gone on.
		endpoints []string
		lease     poison.Lease
		holder    kernel.Node
		held      bool
	}
)

// suspect returns what the node knows of the job's request.
func (j *job) suspect() kernel.Suspicion {
	s := j.d.config.View().Suspects[j.req.Print]
	s, _ = s.Merge(j.suspicion.endpoints)
	return s
}

// clear waits until a suspected request may run. It returns a refusal where the
// request is isolated or its deadline passes.
func (j *job) clear(ctx context.Context) *Refusal {
	for j.req.Print != 0 {
		s := j.suspect()
		switch {
		case s.Isolated():
			return &Refusal{Reason: route.ReasonIsolated, NotRun: !j.lost}
		case len(s.Endpoints) == 0, j.suspicion.held, j.acquire(ctx):
			return nil
		}
		until := time.Now().Add(suspectPause)
		if until.After(j.req.Deadline) || wait(ctx, until) != nil {
			return &Refusal{Reason: route.ReasonDeadline, RetryAfter: poison.DefaultCooldown, NotRun: !j.lost}
		}
	}
	return nil
}

// acquire asks for the lease of the request at the node that grants it.
func (j *job) acquire(ctx context.Context) bool {
	v := j.d.config.View()
	holder, ok := poison.Holder(j.req.Print, v.Nodes)
	if !ok {
		return false
	}
	// The same lease is asked for again where the holder did not answer: it may
	// have granted it, and would keep a second one out until the deadline.
	s := &j.suspicion
	if s.holder.Name != holder.Name {
		// The earlier holder may have granted it too.
		j.giveBack(false)
	}
	if s.lease.ID == 0 {
		s.lease = poison.Lease{Print: j.req.Print, ID: j.d.base + j.d.serial.Add(1)}
	}
	s.holder = holder
	s.lease.Duration = time.Until(j.req.Deadline) + leaseTimeout
	if holder.Name == v.Self.Name {
		s.held = j.d.config.Leases.Acquire(time.Now(), s.lease)
		return s.held
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.held, _ = j.d.config.PeerLeases.Acquire(ctx, holder.Peer, s.lease)
	return s.held
}

// giveBack ends the lease, if one is held or may be.
func (j *job) giveBack(died bool) {
	s := &j.suspicion
	if s.lease.ID == 0 {
		return
	}
	defer func() { s.lease, s.held = poison.Lease{}, false }()
	if s.holder.Name == j.d.config.View().Self.Name {
		j.d.config.Leases.Release(time.Now(), s.lease, died)
		return
	}
	to, lease := s.holder.Peer, s.lease
	go func() {
		for try := 1; !j.d.returned(to, lease, died) && try < leaseTries; try++ {
			time.Sleep(suspectPause << (try - 1))
		}
	}()
}

// returned gives a lease back, and reports whether its holder has heard of that.
func (d *Dispatcher) returned(to netip.AddrPort, l poison.Lease, died bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	return d.config.PeerLeases.GiveBack(ctx, to, l, died) == nil
}

// failed tells the control state of an attempt that broke.
func (j *job) failed(ctx context.Context, e kernel.Endpoint, err error) {
	died := errors.Is(err, endpoint.ErrDied)
	if ctx.Err() == nil {
		j.d.config.Sink.Offer(kernel.EndpointFailed{Endpoint: e.Name})
	}
	if died && j.req.Print != 0 {
		j.suspicion.endpoints = append(j.suspicion.endpoints, e.Name)
		j.d.config.Sink.Offer(poison.Died{Print: j.req.Print, Endpoint: e.Name})
	}
	j.giveBack(died)
}
