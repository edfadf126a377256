package capacity

import (
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/rates"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	planInterval = time.Second
	// changeDelay is how long a count must differ by more than tolerance endpoints
	// from the ideal before it changes.
	changeDelay = 30 * time.Second
	tolerance   = 0.75
	// minOrderInterval is the least time between two orders to one endpoint, and
	// the time in which the endpoint's report must show the effect of an order.
	minOrderInterval = 30 * time.Second
	// resumePause is how long a node sends no orders after a pause: by then it has
	// reread the configuration and learned the current owners.
	resumePause = 10 * time.Second
	// peerDemandTTL is how long a peer's reported demand counts.
	peerDemandTTL = 30 * time.Second
	// sendThreshold is the relative change of a demand that is sent, and
	// minSendInterval the least time between two messages.
	sendThreshold   = 0.2
	minSendInterval = 5 * time.Second
)

type (
	// Config configures the plug-in.
	Config struct {
		// Meter measures the node's own demand; nil disables the plug-in.
		Meter *Meter
	}

	extension struct{ config Config }

	// servicePlan is the plan for one service in the node's cell.
	servicePlan struct {
		counts Counts
		// wrongSince is when the counts began to differ too much from the ideal.
		wrongSince time.Time
		models     []string
		size       int
		revision   uint64
	}

	// endpointState is an endpoint's last report and order.
	endpointState struct {
		models    []string
		adapters  []string
		fence     uint64
		lastOrder time.Time
		pending   bool
	}

	plugin struct {
		meter       *Meter
		kernel      *kernel.Kernel
		rates       map[string]float64
		peers       rates.Table
		sent        rates.Table
		services    map[string]*servicePlan
		states      map[string]*endpointState
		lastPlan    time.Time
		resumedAt   time.Time
		maxRevision uint64
	}
)

// New returns the extension that registers the plug-in.
func New(c Config) kernel.Extension { return extension{config: c} }

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	if e.config.Meter == nil {
		return
	}
	k.Register(&plugin{
		meter:    e.config.Meter,
		kernel:   k,
		rates:    map[string]float64{},
		peers:    rates.Table{},
		sent:     rates.Table{},
		services: map[string]*servicePlan{},
		states:   map[string]*endpointState{},
	}, kernel.PriorityCapacity)
}

// Handle processes reports and demands, and sends the missing orders.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.LoadReported:
		p.recordReport(ev)
	case kernel.OrderEnded:
		p.orderEnded(ev)
	case kernel.HeartbeatReceived:
		p.receive(now, ev.Heartbeat)
	case kernel.HeartbeatFailed:
		delete(p.sent, ev.Node)
	case kernel.Resumed:
		p.resumedAt = now
	case kernel.Tick:
		if now.Sub(p.lastPlan) >= planInterval {
			p.lastPlan = now
			p.plan(now, out)
		}
	}
}

// Publish adds nothing to the view.
func (p *plugin) Publish(time.Time, *kernel.View) {}

// Beat adds the demand for models that changed, for a peer of the cell.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Heartbeat) {
	if !b.SameCell {
		return
	}
	if b.Intro != nil {
		p.sent.Reset(to)
	}
	sent := p.sent.Row(to)
	for _, model := range sortedKeys(p.rates) {
		rate, last := p.rates[model], sent[model]
		age := now.Sub(last.At)
		if age < minSendInterval || age < peerDemandTTL/2 && math.Abs(last.Rate-rate) <= sendThreshold*last.Rate {
			continue
		}
		sent[model] = rates.Sample{Rate: rate, At: now}
		b.Models = append(b.Models, kernel.ModelDemand{Model: model, Rate: rate})
	}
}

// Dump returns the counts of the plans and the node's demand.
func (p *plugin) Dump(time.Time) (name string, state any) {
	counts := make(map[string]Counts, len(p.services))
	for name, s := range p.services {
		counts[name] = s.counts
	}
	return "capacity", map[string]any{"counts": counts, "demand": p.rates}
}

func (p *plugin) recordReport(ev kernel.LoadReported) {
	s := p.states[ev.Endpoint]
	if s == nil {
		s = &endpointState{}
		p.states[ev.Endpoint] = s
	}
	s.models = slices.Sorted(slices.Values(ev.Models))
	s.adapters = slices.Sorted(slices.Values(ev.Adapters))
	s.fence = max(s.fence, ev.Fence)
}

func (p *plugin) orderEnded(ev kernel.OrderEnded) {
	if s := p.states[ev.Endpoint]; s != nil {
		s.pending = false
		s.fence = max(s.fence, ev.Fence)
	}
}

func (p *plugin) receive(now time.Time, b *kernel.Heartbeat) {
	p.maxRevision = max(p.maxRevision, b.Revision)
	for _, d := range b.Models {
		p.peers.Set(now, b.Node, d.Model, d.Rate)
	}
}

// plan computes what the cell's endpoints should have loaded and sends orders to
// those that the node owns if they differ.
func (p *plugin) plan(now time.Time, out *kernel.Output) {
	v := p.kernel.View()
	p.rates = p.meter.Rates(now)
	if v.Manifest == nil {
		return
	}
	demand := p.demand(now)
	for _, s := range v.Manifest.Services {
		pool := v.Pools[s.Name]
		if pool == nil || len(s.Models) == 0 {
			continue
		}
		p.planService(now, v, s, p.cellEndpoints(v, pool), demand, out)
	}
	p.dropStates(v)
}

// planService plans one service. The models are in the manifest's order.
func (p *plugin) planService(now time.Time, v *kernel.View, s manifest.Service, endpoints []kernel.Endpoint, demand map[string]float64, out *kernel.Output) {
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		names[i] = e.Name
	}
	counts := p.updateCounts(now, v.Manifest.Revision, s, len(names), demand)
	assigned := Assign(s.Models, counts, names)
	for _, e := range endpoints {
		if p.mayOrder(now, v, e) {
			p.order(now, v, e, target(v.Manifest, assigned[e.Name]), out)
		}
	}
}

// updateCounts returns the service's counts. They change at once if the models or
// the number of endpoints change, but after a change of demand only if they have
// been wrong for changeDelay: an engine that loads a model serves no requests
// meanwhile.
func (p *plugin) updateCounts(now time.Time, revision uint64, s manifest.Service, size int, demand map[string]float64) Counts {
	ideal := Ideal(s.Models, demand, size)
	plan := p.services[s.Name]
	if plan == nil || plan.revision != revision && !slices.Equal(plan.models, s.Models) || plan.size != size {
		plan = &servicePlan{counts: Round(s.Models, ideal, size), models: s.Models, size: size}
		p.services[s.Name] = plan
	}
	plan.revision = revision
	if !outdated(plan.counts, ideal) {
		plan.wrongSince = time.Time{}
		return plan.counts
	}
	if plan.wrongSince.IsZero() {
		plan.wrongSince = now
	}
	if now.Sub(plan.wrongSince) >= changeDelay {
		plan.counts = Round(s.Models, ideal, size)
		plan.wrongSince = time.Time{}
	}
	return plan.counts
}

// outdated reports whether any count differs from the ideal by more than tolerance.
// A model without demand keeps its one endpoint.
func outdated(counts Counts, ideal map[string]float64) bool {
	for m, c := range counts {
		if math.Abs(max(ideal[m], 1)-float64(c)) > tolerance {
			return true
		}
	}
	return false
}

// mayOrder reports whether the node may send an order to an endpoint now.
//
// A node that was paused, or that is not certain to be the owner, may undo the
// orders of the actual owner. Fenced endpoints would reject that, but others would
// comply. The node therefore sends no orders while its view is stale, while owners
// settle, or if it has received a newer revision number than its own.
func (p *plugin) mayOrder(now time.Time, v *kernel.View, e kernel.Endpoint) bool {
	s := p.states[e.Name]
	switch {
	case e.Owner != v.Self.Name || e.Settling || e.State != kernel.Live:
		return false
	case !v.Fresh(now) || v.Leaving || p.maxRevision > v.Manifest.Revision:
		return false
	case !p.resumedAt.IsZero() && now.Sub(p.resumedAt) < resumePause:
		return false
	default:
		return s != nil && len(s.models) > 0 && !s.pending && now.Sub(s.lastOrder) >= minOrderInterval
	}
}

func (p *plugin) order(now time.Time, v *kernel.View, e kernel.Endpoint, t Target, out *kernel.Output) {
	s := p.states[e.Name]
	if len(t.Models) == 0 || slices.Equal(s.models, t.Models) && slices.Equal(s.adapters, t.Adapters) {
		return
	}
	fence, ok := NextFence(s.fence, v.Manifest.Revision)
	if !ok {
		return
	}
	s.pending = true
	s.lastOrder = now
	out.Do(kernel.Order{
		Endpoint: e.Name, Addr: e.Addr, Fence: fence, Revision: v.Manifest.Revision,
		Models: t.Models, Adapters: t.Adapters, Role: t.Role,
	})
}

// demand returns the cell's demand for each model.
func (p *plugin) demand(now time.Time) map[string]float64 {
	sums := map[string]float64{}
	for model, rate := range p.rates {
		sums[model] += rate
	}
	p.peers.Sum(now, sums, peerDemandTTL)
	return sums
}

// cellEndpoints returns the pool's endpoints in the node's cell that accept work.
func (p *plugin) cellEndpoints(v *kernel.View, pool *kernel.Pool) []kernel.Endpoint {
	var list []kernel.Endpoint
	for _, e := range pool.Endpoints {
		scope, known := v.Scopes[e.Zone]
		if (!known || scope == v.Cell) && e.State != kernel.Leaving {
			list = append(list, e)
		}
	}
	return list
}

// dropStates removes the state of endpoints that the node does not own.
func (p *plugin) dropStates(v *kernel.View) {
	owned := make(map[string]bool, len(v.Probes))
	for _, e := range v.Probes {
		owned[e.Name] = true
	}
	for name := range p.states {
		if !owned[name] {
			delete(p.states, name)
		}
	}
}

func sortedKeys(m map[string]float64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
