package replay

import (
	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// requestPermit requests a permit from the endpoint's owner, as the dispatcher of
// a node does.
func (j *job) requestPermit(step route.Step) {
	s, n := j.sim, j.node
	s.attempts++
	j.permit = s.attempts
	owner := step.Endpoint.Owner
	request := gate.Ask{
		ID: j.permit, Endpoint: step.Endpoint.Name, Node: n.name, Tokens: step.Tokens, Waited: step.Waited,
		Lease: j.request.Deadline.Sub(s.time()) + leaseSlack,
	}
	batch := gate.Batch{Asks: []gate.Ask{request}, Returns: n.holder.Returns(owner), Own: n.gate.Own(s.time(), request.Endpoint)}
	n.send(owner, batch, func(r gate.Reply, ok bool) {
		if !ok {
			n.holder.Return(s.time(), owner, gate.Return{ID: request.ID})
			j.report(route.OutcomeUnreachable)
			return
		}
		n.gate.Heard(s.time(), owner, request.Endpoint, r.Own)
		n.router.Observe(s.time(), r.Loads)
		o := outcome(r.Verdicts[0])
		s.meter.verdicts[r.Verdicts[0]]++
		if o == route.OutcomeGranted {
			n.holder.Take(s.time(), n.view(), owner, request)
			if j.done {
				n.release(request.ID)
			}
		}
		j.report(o)
	})
}

// send sends a batch to an owner and passes its reply to done.
func (n *node) send(owner string, b gate.Batch, done func(gate.Reply, bool)) {
	s := n.sim
	if owner == n.name {
		done(n.gate.Apply(s.time(), b), true)
		return
	}
	failed := func() {
		n.holder.Return(s.time(), owner, b.Returns...)
		done(gate.Reply{}, false)
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
		n.send(d.Home, d.Batch, func(gate.Reply, bool) {})
	}
}

// release releases a permit.
func (n *node) release(id uint64) {
	now := n.sim.time()
	if n.holder.Drop(now, id) == n.name {
		n.gate.Apply(now, gate.Batch{Returns: n.holder.Returns(n.name)})
	}
}

func outcome(v gate.Verdict) route.Outcome {
	switch v {
	case gate.Granted:
		return route.OutcomeGranted
	case gate.Full:
		return route.OutcomeFull
	case gate.Gone:
		return route.OutcomeGone
	case gate.Late:
		return route.OutcomeLate
	default:
		return route.OutcomeUnreachable
	}
}
