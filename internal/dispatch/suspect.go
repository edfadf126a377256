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
	// leaseRetryDelay is the time between two requests for the same lease.
	leaseRetryDelay = 100 * time.Millisecond
	// leaseTimeout bounds the message that releases a lease.
	leaseTimeout = time.Second
	// maxLeaseReleases is the maximum number of attempts to release a lease, with
	// exponential delays that start at leaseRetryDelay. An unreleased lease lasts
	// until the deadline of its request and blocks all other requests with the
	// same content.
	maxLeaseReleases = 6
)

type (
	// Leases grants leases for the suspected requests that this node is
	// responsible for.
	Leases interface {
		Acquire(now time.Time, l poison.Lease) bool
		Release(now time.Time, l poison.Lease, died bool)
	}

	// PeerLeases requests leases from other nodes and releases them there.
	PeerLeases interface {
		Acquire(ctx context.Context, to netip.AddrPort, l poison.Lease) (bool, error)
		ReleaseLease(ctx context.Context, to netip.AddrPort, l poison.Lease, died bool) error
	}

	// suspicion is what a job has learned about its own request.
	suspicion struct {
		// endpoints died while they ran the request for this job. The control
		// state is informed too, but applies it only after the job has continued.
		endpoints []string
		lease     poison.Lease
		leaseNode kernel.Node
		held      bool
	}
)

// suspect returns the suspicion against the request: that of the current view,
// merged with the job's own.
func (j *job) suspect() kernel.Suspicion {
	s := j.d.config.View().Suspects[j.req.Fingerprint]
	s, _ = s.Merge(j.suspicion.endpoints)
	return s
}

// clear waits for the lease if the request is suspected. It returns a refusal if
// the request is isolated or its deadline passes.
func (j *job) clear(ctx context.Context) *Refusal {
	for j.req.Fingerprint != 0 {
		s := j.suspect()
		switch {
		case s.Isolated():
			return &Refusal{Reason: route.ReasonIsolated, NotRun: !j.mayHaveRun}
		case len(s.Endpoints) == 0, j.suspicion.held, j.acquire(ctx):
			return nil
		}
		until := time.Now().Add(leaseRetryDelay)
		if until.After(j.req.Deadline) || sleepUntil(ctx, until) != nil {
			return &Refusal{Reason: endReason(ctx), RetryAfter: poison.DefaultCooldown, NotRun: !j.mayHaveRun}
		}
	}
	return nil
}

// acquire requests the lease from the node that grants it.
func (j *job) acquire(ctx context.Context) bool {
	v := j.d.config.View()
	node, ok := poison.LeaseNode(j.req.Fingerprint, v.Nodes)
	if !ok {
		return false
	}
	// Retries use the same lease ID. A node that did not answer may have granted
	// the lease, and would then reject a second one until the deadline.
	s := &j.suspicion
	if s.leaseNode.Name != node.Name {
		// The previous node may have granted the lease.
		j.releaseLease(false)
	}
	if s.lease.ID == 0 {
		s.lease = poison.Lease{Fingerprint: j.req.Fingerprint, ID: j.d.base + j.d.serial.Add(1)}
	}
	s.leaseNode = node
	s.lease.Duration = time.Until(j.req.Deadline) + leaseTimeout
	if node.Name == v.Self.Name {
		s.held = j.d.config.Leases.Acquire(time.Now(), s.lease)
		return s.held
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.held, _ = j.d.config.PeerLeases.Acquire(ctx, node.Peer, s.lease)
	return s.held
}

// releaseLease releases the lease, if one was granted or may have been.
func (j *job) releaseLease(died bool) {
	s := &j.suspicion
	if s.lease.ID == 0 {
		return
	}
	defer func() { s.lease, s.held = poison.Lease{}, false }()
	if s.leaseNode.Name == j.d.config.View().Self.Name {
		j.d.config.Leases.Release(time.Now(), s.lease, died)
		return
	}
	to, lease := s.leaseNode.Peer, s.lease
	go func() {
		for try := 1; !j.d.sendLeaseRelease(to, lease, died) && try < maxLeaseReleases; try++ {
			time.Sleep(leaseRetryDelay << (try - 1))
		}
	}()
}

// sendLeaseRelease sends the release of a lease and reports whether it was acknowledged.
func (d *Dispatcher) sendLeaseRelease(to netip.AddrPort, l poison.Lease, died bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	return d.config.PeerLeases.ReleaseLease(ctx, to, l, died) == nil
}

// reportFailure reports a failed attempt to the control state.
func (j *job) reportFailure(ctx context.Context, e kernel.Endpoint, err error) {
	died := errors.Is(err, endpoint.ErrDied)
	if ctx.Err() == nil {
		j.d.config.Sink.Offer(kernel.EndpointFailed{Endpoint: e.Name})
	}
	if died && j.req.Fingerprint != 0 {
		j.suspicion.endpoints = append(j.suspicion.endpoints, e.Name)
		j.d.config.Sink.Offer(poison.EndpointDied{Fingerprint: j.req.Fingerprint, Endpoint: e.Name})
	}
	j.releaseLease(died)
}
