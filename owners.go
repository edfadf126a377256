package bulrushhinge

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/gossip"
	"bulrushhinge.example/bulrushhinge/internal/handover"
	"bulrushhinge.example/bulrushhinge/internal/owner"
	"bulrushhinge.example/bulrushhinge/internal/periodic"
)

// ownersInterval is how often the owners of services without requests are determined, for
// logs and metrics.
const ownersInterval = time.Second

// owners determines the owners of services and hands requests over to them.
type owners struct {
	gateway  *Gateway
	tracker  *owner.Tracker
	contacts *owner.Contacts
	metrics  *owner.Metrics
}

func newOwners(g *Gateway) *owners {
	o := &owners{gateway: g, contacts: owner.NewContacts(), metrics: owner.NewMetrics()}
	o.tracker = owner.NewTracker(owner.Config{Ratio: g.config.Owners, Changed: o.changed})
	return o
}

// startOwners starts to determine owners if any service may have one, and adds them to
// the settings of the handler.
func (g *Gateway) startOwners(ctx context.Context, c *gateway.Config) {
	if g.config.Owners == 0 {
		return
	}
	g.owners = newOwners(g)
	c.Owners, c.Owned = g.owners, g.owners.Owned
	g.running.Go(func() { periodic.Run(ctx, ownersInterval, func(time.Time) { g.owners.refresh() }) })
}

// Owned reports whether this node is the owner of a service.
func (o *owners) Owned(service string) bool {
	return o.decide(service).Owner == o.gateway.config.Node
}

// Offer implements gateway.Owners.
func (o *owners) Offer(ctx context.Context, offer *handover.Offer, regions []string) (string, *handover.Exchange, error) {
	m, ok := o.other(offer.Service)
	if !ok || !o.gateway.inRegions(m.Zone, regions) {
		return "", nil, nil
	}
	if !o.contacts.Begin(time.Now(), m.Name) {
		o.metrics.Avoided()
		return "", nil, nil
	}
	offer.From = o.gateway.config.Node
	x, err := o.gateway.handovers.client.Offer(ctx, netip.AddrPortFrom(m.IP, o.gateway.config.HandoverPort), offer)
	out := outcome(ctx, err)
	o.contacts.Offered(time.Now(), m.Name, out)
	o.metrics.Offered(out)
	return m.Name, x, err
}

// Done implements gateway.Owners.
func (o *owners) Done(peer string, x *handover.Exchange) {
	x.Close()
	o.contacts.Done(peer)
}

// Lost implements gateway.Owners.
func (o *owners) Lost(peer string) bool {
	_, alive := o.alive(peer)
	return !alive || o.contacts.Lost(peer)
}

// outcome returns how an offer ended, by its error.
func outcome(ctx context.Context, err error) owner.Outcome {
	switch {
	case err == nil:
		return owner.Taken
	case errors.Is(err, handover.ErrDeclined):
		return owner.Declined
	case ctx.Err() != nil:
		return owner.Ended
	}
	return owner.Silent
}

// other returns the owner of a service if that is another node that is alive.
func (o *owners) other(service string) (gossip.Member, bool) {
	name := o.decide(service).Owner
	if name == "" || name == o.gateway.config.Node {
		return gossip.Member{}, false
	}
	return o.alive(name)
}

// alive returns a node that is alive.
func (o *owners) alive(name string) (gossip.Member, bool) {
	alive := o.gateway.gossip.View().Alive
	i, ok := slices.BinarySearchFunc(alive, name, func(m gossip.Member, name string) int { return cmp.Compare(m.Name, name) })
	if !ok {
		return gossip.Member{}, false
	}
	return alive[i], true
}

// ExplainOwner returns the owner of a service by this node's present view, and whether a
// request would be offered to it now. It changes and counts nothing.
func (o *owners) ExplainOwner(now time.Time, service string, regions []string) (x gateway.ExplainedOwner) {
	x.Name = o.decideBy(service, o.tracker.Peek).Owner
	x.Self = x.Name != "" && x.Name == o.gateway.config.Node
	if x.Name == "" || x.Self {
		return x
	}
	m, ok := o.alive(x.Name)
	x.Asked = ok && o.gateway.inRegions(m.Zone, regions) && o.contacts.MayAsk(now, x.Name)
	return x
}

// decide returns whether a service has an owner, and which.
func (o *owners) decide(service string) owner.Decision { return o.decideBy(service, o.tracker.Decide) }

// decideBy decides by a method of the tracker.
func (o *owners) decideBy(service string, by func(string, owner.Key, func() owner.Input) owner.Decision) owner.Decision {
	g := o.gateway
	view, snapshot := g.gossip.View(), g.state.Snapshot()
	if snapshot.Config == nil {
		return owner.Decision{}
	}
	s, ok := snapshot.Config.Services[service]
	if !ok || s.Model {
		return owner.Decision{}
	}
	k := owner.Key{Members: view, Endpoints: snapshot, Ready: g.Ready(), Reaches: g.reach.Reaches(service)}
	return by(service, k, func() owner.Input {
		return owner.Input{Service: service, Slots: slotsOf(s, snapshot.Endpoints[service]), Nodes: view.Known, Members: o.members(service, k, view)}
	})
}

// members returns the nodes that are alive, including this one.
func (o *owners) members(service string, k owner.Key, view *gossip.View) []owner.Member {
	c, key := o.gateway.config, deployment.ServiceKey(service)
	list := make([]owner.Member, 0, len(view.Alive)+1)
	list = append(list, owner.Member{Name: c.Node, Zone: c.Zone, Power: int(power(c.Power)), Ready: k.Ready, Reaches: k.Reaches})
	for i := range view.Alive {
		m := &view.Alive[i]
		list = append(list, owner.Member{Name: m.Name, Zone: m.Zone, Power: int(m.Power), Ready: m.State == gossip.Ready, Reaches: m.Reaches(key)})
	}
	return list
}

// slotsOf returns how many requests the endpoints of a service run at once.
func slotsOf(s deployment.Service, list []*deployment.Endpoint) int {
	total := 0
	for _, e := range list {
		total += max(cmp.Or(e.Slots, s.Slots), 1)
	}
	return total
}

// refresh determines the owners of all services, and forgets those that are gone.
func (o *owners) refresh() {
	config := o.gateway.state.Snapshot().Config
	if config == nil {
		return
	}
	for name := range config.Services {
		o.decide(name)
	}
	o.tracker.Forget(func(name string) bool {
		s, ok := config.Services[name]
		return ok && !s.Model
	})
}

// changed logs and counts that the owner of a service has changed.
func (o *owners) changed(service string, old, now owner.Decision) {
	self := o.gateway.config.Node
	o.metrics.Changed(service, old.Owner == self, now.Owner == self)
	o.gateway.log.Event("owner.changed", decision.Fields{
		"service": service, "old": old.Owner, "owner": now.Owner, "slots": now.Slots, "nodes": now.Nodes,
		"threshold": now.Threshold, "candidates": now.Candidates,
	})
}

// writeMetrics writes all metrics in the Prometheus text format.
func (o *owners) writeMetrics(w io.Writer) {
	if o != nil {
		o.metrics.Write(w)
	}
}

// dump returns the owners of services for operators.
func (o *owners) dump() map[string]any {
	if o == nil {
		return nil
	}
	o.refresh()
	return map[string]any{"services": o.tracker.Decisions(), "handed_over": o.contacts.Active()}
}
