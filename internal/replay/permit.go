package replay

import (
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// requestPermit requests a permit from the endpoint's owner, as the dispatcher of
// a node does.
func (j *job) requestPermit(step route.Step) {
	s, n := j.sim, j.node
	s.attempts++
	j.permit = s.attempts
	owner := step.Endpoint.Owner
	request := permit.Request{
		ID: j.permit, Endpoint: step.Endpoint.Name, Node: n.name, Tokens: step.Tokens, Retry: step.Retry,
		Lease: j.request.Deadline.Sub(s.time()) + leaseSlack,
	}
	batch := permit.Batch{Requests: []permit.Request{request}, Releases: n.holder.TakeReleases(owner), OwnedLoad: n.gate.OwnedLoad(s.time(), request.Endpoint)}
	n.send(owner, batch, func(r permit.Reply, ok bool) {
		if !ok {
			n.holder.QueueReleases(s.time(), owner, permit.Release{ID: request.ID})
			j.report(route.OutcomeUnreachable)
			return
		}
		n.gate.SetOwnerTotal(s.time(), owner, request.Endpoint, r.OwnedLoad)
		n.router.Observe(s.time(), r.Loads)
		o := outcome(r.Verdicts[0])
		s.meter.verdicts[r.Verdicts[0]]++
		if o == route.OutcomeGranted {
			n.holder.Add(s.time(), n.view(), owner, request)
			if j.done {
				n.release(request.ID)
			}
		}
		j.report(o)
	})
}

// send sends a batch to an owner and passes its reply to done.
func (n *node) send(owner string, b permit.Batch, done func(permit.Reply, bool)) {
	s := n.sim
	if owner == n.name {
		done(n.gate.Apply(s.time(), b), true)
		return
	}
	failed := func() {
		n.holder.QueueReleases(s.time(), owner, b.Releases...)
		done(permit.Reply{}, false)
	}
	if _, known := n.view().Node(owner); !known {
		failed()
		return
	}
	wire := peer.EncodePermit(n.name, b)
	n.traffic.permits += peer.PermitBytes(wire)
	s.queue.after(s.delay, func() {
		target := s.node(owner)
		if target == nil {
			s.queue.after(permitTimeout, failed)
			return
		}
		reply := peer.EncodeReply(target.gate.Apply(s.time(), peer.DecodePermit(wire)))
		target.traffic.permits += peer.PermitBytes(reply)
		s.queue.after(s.delay, func() { done(peer.DecodeReply(reply), true) })
	})
}

// flush sends owners the releases and declarations that are due.
func (n *node) flush() {
	for _, d := range n.holder.Due(n.sim.time(), n.view()) {
		n.send(d.Owner, d.Batch, func(permit.Reply, bool) {})
	}
}

// release releases a permit.
func (n *node) release(id uint64) {
	now := n.sim.time()
	if n.holder.Release(now, id) == n.name {
		n.gate.Apply(now, permit.Batch{Releases: n.holder.TakeReleases(n.name)})
	}
}

func outcome(v permit.Verdict) route.Outcome {
	switch v {
	case permit.Granted:
		return route.OutcomeGranted
	case permit.Full:
		return route.OutcomeDenied
	case permit.Gone:
		return route.OutcomeUnavailable
	case permit.TooLate:
		return route.OutcomeDeadline
	default:
		return route.OutcomeUnreachable
	}
}
