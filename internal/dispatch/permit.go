package dispatch

import (
	"context"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// dueInterval is the time between two looks at what homes have to be told.
const dueInterval = 5 * time.Millisecond

// outcomes turns the verdict of a home into the outcome of a step.
var outcomes = map[gate.Verdict]route.Outcome{
	gate.Granted: route.OutcomeGranted,
	gate.Full:    route.OutcomeFull,
	gate.Gone:    route.OutcomeGone,
	gate.NotHome: route.OutcomeUnreachable,
	gate.Late:    route.OutcomeLate,
}

// permit asks the home of an endpoint for a permit and keeps it.
func (d *Dispatcher) permit(ctx context.Context, e kernel.Endpoint, a gate.Ask) route.Outcome {
	v := d.config.View()
	a.Node = v.Self.Name
	asked := time.Now()
	reply, err := d.send(ctx, v, e.Home, gate.Batch{
		Asks: []gate.Ask{a}, Returns: d.holder.Returns(e.Home), Own: d.config.Gate.Own(time.Now(), e.Name),
	})
	if err != nil {
		// The home may have granted what nobody will use.
		d.holder.Return(time.Now(), e.Home, gate.Return{ID: a.ID})
		return route.OutcomeUnreachable
	}
	d.config.Gate.Heard(time.Now(), e.Home, e.Name, reply.Own)
	d.config.Router.Observe(time.Now(), reply.Loads)
	outcome, ok := outcomes[reply.Verdicts[0]]
	if !ok {
		return route.OutcomeUnreachable
	}
	if outcome != route.OutcomeGranted {
		return outcome
	}
	d.holder.Take(time.Now(), v, e.Home, a)
	// A process that was paused since it asked holds a permit of seconds ago;
	// its endpoint may be leaving by now. It asks again.
	if time.Since(asked) >= kernel.MaxAge {
		d.void(a.ID)
		return route.OutcomeUnreachable
	}
	return outcome
}

// release gives a permit back. Where the home does not hear of it, the lease
// ends by itself.
func (d *Dispatcher) release(id uint64) { d.tell(d.holder.Drop(time.Now(), id)) }

// void gives the permit of an attempt back that failed before its time.
func (d *Dispatcher) void(id uint64) { d.tell(d.holder.Void(time.Now(), id)) }

func (d *Dispatcher) tell(home string) {
	if v := d.config.View(); home == v.Self.Name {
		d.config.Gate.Apply(time.Now(), gate.Batch{Returns: d.holder.Returns(home)})
	}
}

// send passes a batch to a home, which may be the node itself. Returns that did
// not get there are kept for the next message.
func (d *Dispatcher) send(ctx context.Context, v *kernel.View, home string, b gate.Batch) (gate.Reply, error) {
	if home == v.Self.Name {
		return d.config.Gate.Apply(time.Now(), b), nil
	}
	n, ok := v.Node(home)
	if !ok {
		return gate.Reply{}, errNoHome
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := d.config.Peers.Permit(ctx, n.Peer, b)
	if err != nil {
		d.holder.Return(time.Now(), home, b.Returns...)
	}
	return reply, err
}

// due tells homes what they have to hear.
func (d *Dispatcher) due(ctx context.Context) {
	v := d.config.View()
	for _, s := range d.holder.Due(time.Now(), v) {
		d.running.Go(func() {
			_, _ = d.send(ctx, v, s.Home, s.Batch)
		})
	}
}
