package bulrushhinge

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/gossip"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// handovers hands requests over to the nodes that other nodes' heartbeats name.
type handovers struct {
	gateway *Gateway
	client  *handover.Client
	chooser *handover.Chooser
}

// Offer implements gateway.Handovers.
func (h *handovers) Offer(ctx context.Context, o *handover.Offer, regions []string) (string, *handover.Exchange, error) {
	p, ok := h.chooser.Choose(time.Now(), h.peers(o.Service, regions))
	if !ok {
		return "", nil, nil
	}
	o.From = h.gateway.config.Node
	x, err := h.client.Offer(ctx, p.Addr, o)
	if err != nil {
		h.chooser.Release(time.Now(), p.Name, err)
	}
	return p.Name, x, err
}

// Done implements gateway.Handovers.
func (h *handovers) Done(peer string, x *handover.Exchange) {
	x.Close()
	h.chooser.Release(time.Now(), peer, nil)
}

// anyTakes reports whether a node may take requests for a service, of those in some
// regions if any are given.
func (h *handovers) anyTakes(service string, regions []string) bool {
	return len(h.peers(service, regions)) > 0
}

// peers returns the nodes that serve callers and reach a service, of those in some
// regions if any are given.
func (h *handovers) peers(service string, regions []string) []handover.Peer {
	var list []handover.Peer
	key := deployment.ServiceKey(service)
	for _, m := range h.gateway.gossip.View().Alive {
		if m.State != gossip.Ready || !m.Reaches(key) {
			continue
		}
		if !h.gateway.inRegions(m.Zone, regions) {
			continue
		}
		list = append(list, handover.Peer{Name: m.Name, Zone: m.Zone, Addr: netip.AddrPortFrom(m.IP, h.gateway.config.HandoverPort)})
	}
	return list
}

// nearest returns the addresses of the nodes that a caller should use.
func (g *Gateway) nearest(c gateway.Caller) []netip.AddrPort {
	var regions []string
	if config := g.state.Snapshot().Config; config != nil {
		regions = config.Regions(c.Host)
	}
	return gateway.Nearest(c, g.callerNodes(), g.config.Regions, regions)
}

// inRegions reports whether an availability zone is in one of some regions, or none are
// given.
func (g *Gateway) inRegions(zone string, regions []string) bool {
	region, known := g.config.Regions[zone]
	return len(regions) == 0 || known && slices.Contains(regions, region)
}

// callerNodes returns the nodes that callers should use: those that reach all services,
// if these are at least half of all. Otherwise a service may be down, and the nodes
// that have not found out yet must not get all callers.
func (g *Gateway) callerNodes() []gateway.Node {
	var reaching, all []gateway.Node
	add := func(n gateway.Node, reaches bool) {
		all = append(all, n)
		if reaches {
			reaching = append(reaching, n)
		}
	}
	if g.Ready() {
		add(gateway.Node{Zone: g.config.Zone, Callers: g.config.Callers}, len(g.reach.Lost()) == 0)
	}
	for _, m := range g.gossip.View().Alive {
		if m.State == gossip.Ready {
			add(gateway.Node{Zone: m.Zone, Callers: m.Callers}, len(m.Lost) == 0)
		}
	}
	if 2*len(reaching) < len(all) {
		return all
	}
	return reaching
}

// serviceChanged reacts to a service that this node no longer reaches, or again.
func (g *Gateway) serviceChanged(service string, _ bool) {
	g.balancer.ForgetFailures(g.state.Snapshot().Endpoints[service])
	g.gossip.Announce()
}

// lostServices returns the services that this node does not reach, by their Keys.
func (g *Gateway) lostServices() []uint32 {
	var list []uint32
	for name := range g.reach.Lost() {
		list = append(list, deployment.ServiceKey(name))
	}
	slices.Sort(list)
	return list
}
