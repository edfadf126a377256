package replay

import (
	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// ask asks a home for a permit, as the dispatcher of a node does.
func (j *job) ask(step route.Step) {
	s, n := j.sim, j.node
	s.attempts++
	j.permit = s.attempts
	home := step.Endpoint.Home
	a := gate.Ask{
		ID: j.permit, Endpoint: step.Endpoint.Name, Node: n.name, Tokens: step.Tokens, Waited: step.Waited,
		Lease: j.request.Deadline.Sub(s.time()) + leaseSlack,
	}
	batch := gate.Batch{Asks: []gate.Ask{a}, Returns: n.holder.Returns(home), Own: n.gate.Own(s.time(), a.Endpoint)}
	n.send(home, batch, func(r gate.Reply, ok bool) {
		if !ok {
			n.holder.Return(s.time(), home, gate.Return{ID: a.ID})
			j.report(route.OutcomeUnreachable)
			return
		}
		n.gate.Heard(s.time(), home, a.Endpoint, r.Own)
		n.router.Observe(s.time(), r.Loads)
		o := outcome(r.Verdicts[0])
		s.meter.verdicts[r.Verdicts[0]]++
		if o == route.OutcomeGranted {
			n.holder.Take(s.time(), n.view(), home, a)
			if j.done {
				n.release(a.ID)
			}
		}
		j.report(o)
	})
}

// send passes a batch to a home and hands on its reply.
func (n *node) send(home string, b gate.Batch, done func(gate.Reply, bool)) {
	s := n.sim
	if home == n.name {
		done(n.gate.Apply(s.time(), b), true)
		return
	}
	failed := func() {
		n.holder.Return(s.time(), home, b.Returns...)
		done(gate.Reply{}, false)
	}
	if _, known := n.view().Node(home); !known {
		failed()
		return
	}
	wire := peer.EncodePermit(n.name, b)
	n.spent.permits += peer.PermitBytes(wire)
	s.queue.after(s.delay, func() {
		target := s.node(home)
		if target == nil {
			s.queue.after(askTimeout, failed)
			return
		}
		reply := peer.EncodeReply(target.gate.Apply(s.time(), peer.DecodePermit(wire)))
		target.spent.permits += peer.PermitBytes(reply)
		s.queue.after(s.delay, func() { done(peer.DecodeReply(reply), true) })
	})
}

// due tells homes what they have to hear.
func (n *node) due() {
	for _, d := range n.holder.Due(n.sim.time(), n.view()) {
		n.send(d.Home, d.Batch, func(gate.Reply, bool) {})
	}
}

// release gives a permit back.
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
