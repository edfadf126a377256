package dispatch

import (
	"context"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// flushInterval is how often queued messages to owners are checked.
const flushInterval = 5 * time.Millisecond

// outcomes maps the verdict of an owner to the outcome of a step.
var outcomes = map[permit.Verdict]route.Outcome{
	permit.Granted:  route.OutcomeGranted,
	permit.Full:     route.OutcomeDenied,
	permit.Gone:     route.OutcomeUnavailable,
	permit.NotOwner: route.OutcomeUnreachable,
	permit.TooLate:  route.OutcomeDeadline,
}

// requestPermit requests a permit from the owner of an endpoint and adds it to
// the holder.
func (d *Dispatcher) requestPermit(ctx context.Context, e kernel.Endpoint, req permit.Request) route.Outcome {
	v := d.config.View()
	req.Node = v.Self.Name
	start := time.Now()
	reply, err := d.send(ctx, v, e.Owner, permit.Batch{
		Requests: []permit.Request{req}, Releases: d.holder.TakeReleases(e.Owner), OwnedLoad: d.config.Gate.OwnedLoad(time.Now(), e.Name),
	})
	if err != nil {
		// The owner may have granted the permit, which is not going to be used.
		d.holder.QueueReleases(time.Now(), e.Owner, permit.Release{ID: req.ID})
		return route.OutcomeUnreachable
	}
	d.config.Gate.SetOwnerTotal(time.Now(), e.Owner, e.Name, reply.OwnedLoad)
	d.config.Router.Observe(time.Now(), reply.Loads)
	outcome, ok := outcomes[reply.Verdicts[0]]
	if !ok {
		return route.OutcomeUnreachable
	}
	if outcome != route.OutcomeGranted {
		return outcome
	}
	d.holder.Add(time.Now(), v, e.Owner, req)
	// If the process was paused during the request, the permit is seconds old
	// and its endpoint may be leaving by now. The plan requests another one.
	if time.Since(start) >= kernel.MaxViewAge {
		d.releaseFailed(req.ID)
		return route.OutcomeUnreachable
	}
	return outcome
}

// release queues the release of a permit. If it does not reach the owner, the
// permit expires with its lease.
func (d *Dispatcher) release(id uint64) { d.applyLocal(d.holder.Release(time.Now(), id)) }

// releaseFailed is release for an attempt that failed early. Its duration is not
// reported, as it says nothing about the endpoint's speed.
func (d *Dispatcher) releaseFailed(id uint64) { d.applyLocal(d.holder.ReleaseFailed(time.Now(), id)) }

// applyLocal applies the queued releases at once if this node is the owner.
func (d *Dispatcher) applyLocal(owner string) {
	if v := d.config.View(); owner == v.Self.Name {
		d.config.Gate.Apply(time.Now(), permit.Batch{Releases: d.holder.TakeReleases(owner)})
	}
}

// send delivers a batch to an owner, which may be this node. Releases that could
// not be delivered are queued for the next message.
func (d *Dispatcher) send(ctx context.Context, v *kernel.View, owner string, b permit.Batch) (permit.Reply, error) {
	if owner == v.Self.Name {
		return d.config.Gate.Apply(time.Now(), b), nil
	}
	n, ok := v.Node(owner)
	if !ok {
		return permit.Reply{}, errNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := d.config.Peers.Permit(ctx, n.Peer, b)
	if err != nil {
		d.holder.QueueReleases(time.Now(), owner, b.Releases...)
	}
	return reply, err
}

// flush sends the queued messages to owners.
func (d *Dispatcher) flush(ctx context.Context) {
	v := d.config.View()
	for _, s := range d.holder.Due(time.Now(), v) {
		d.running.Go(func() {
			_, _ = d.send(ctx, v, s.Owner, s.Batch)
		})
	}
}
