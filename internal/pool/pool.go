// Package pool is the kernel's plug-in that knows the endpoints of every
// service: which take work, what load they carry and which node is the home of
// each.
package pool

import (
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Defaults of a Config.
const (
	DefaultQuiet  = 2 * time.Second
	DefaultSettle = 3 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Quiet is how long an endpoint that failed gets work only where no
		// other can take it.
		Quiet time.Duration
		// Settle is how long nodes may disagree on a home that has changed.
		Settle time.Duration
		// Own returns the loads that the node admitted as a home. It is called
		// for each heartbeat and each view.
		Own func() []kernel.EndpointLoad
		// Sent returns the loads that the node has dispatched itself and that
		// are not done.
		Sent func() []kernel.EndpointLoad
	}

	extension struct{ config Config }

	plugin struct {
		config  Config
		self    kernel.Node
		members map[string]*member
		// sorted holds the members by name, mine those whose home the node is.
		sorted []*member
		mine   []*member
		sums   map[string]scopeSums
		homes  homes
		told   map[string]*peerLoads
		// counts is how many endpoints each pool of the newest view has.
		counts map[string]int
		// cell and scopes are those of the newest view.
		cell   string
		scopes map[string]string
		// words are what endpoints have told this node of themselves.
		words map[string]*word
	}
)

// New returns the extension that registers the plug-in. Zero settings take
// their defaults.
func New(c Config) kernel.Extension {
	if c.Quiet == 0 {
		c.Quiet = DefaultQuiet
	}
	if c.Settle == 0 {
		c.Settle = DefaultSettle
	}
	none := func() []kernel.EndpointLoad { return nil }
	if c.Own == nil {
		c.Own = none
	}
	if c.Sent == nil {
		c.Sent = none
	}
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	p := &plugin{
		config:  e.config,
		self:    k.Self(),
		members: map[string]*member{},
		sums:    map[string]scopeSums{},
		told:    map[string]*peerLoads{},
		counts:  map[string]int{},
		words:   map[string]*word{},
	}
	k.Register(p, kernel.PriorityPool)
}

// Handle applies the platform's list, load reports, failures and heartbeats.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Listed:
		p.list(now, ev.List, out)
		out.Changed()
	case kernel.LoadReported:
		p.report(now, ev, out)
	case kernel.EndpointSpoke:
		p.spoke(now, ev, out)
	case kernel.EndpointRests:
		p.rests(now, ev, out)
	case kernel.EndpointFailed:
		p.fail(now, ev.Endpoint, out)
	case kernel.Marked:
		p.mark(now, ev.Mark, out)
	case kernel.BeatReceived:
		p.receive(now, ev.Beat)
	case kernel.BeatFailed:
		delete(p.told, ev.Node)
	case kernel.Digested:
		p.digest(now, ev.Digest)
	case kernel.Woken:
		p.wake(now)
	case kernel.Tick:
		p.age(now)
		p.forgetWords(now)
		out.Changed()
	}
}

// Publish writes the pools of all services in force.
func (p *plugin) Publish(now time.Time, v *kernel.View) {
	p.cell, p.scopes = v.Cell, v.Scopes
	if v.Manifest == nil {
		return
	}
	for _, s := range v.Manifest.Services {
		pool := &kernel.Pool{Service: s, Endpoints: make([]kernel.Endpoint, 0, p.counts[s.Name])}
		if d, ok := v.Manifest.Deployment(s.Deployment); ok {
			pool.Bound = d.Bound
		}
		v.Pools[s.Name] = pool
	}
	p.homes.update(v)
	p.takeOwn(now)
	sent := loadsByName(p.config.Sent())
	p.mine = p.mine[:0]
	for _, m := range p.sorted {
		p.place(now, m, sent[m.endpoint.Name], v)
	}
	for name, pool := range v.Pools {
		p.counts[name] = len(pool.Endpoints)
	}
	p.addSums(now, v)
}

// Dump shows every endpoint known.
func (p *plugin) Dump(time.Time) (name string, state any) {
	endpoints := make(map[string]kernel.Endpoint, len(p.members))
	for name, m := range p.members {
		endpoints[name] = m.endpoint
	}
	return "pool", endpoints
}

func (p *plugin) list(now time.Time, list []kernel.Instance, out *kernel.Output) {
	for _, m := range p.members {
		m.listed = false
	}
	for _, i := range list {
		if i.Kind == kernel.KindEndpoint {
			p.listOne(now, i, out)
		}
	}
	p.unlist(now)
	p.sorted = p.sorted[:0]
	for _, m := range p.members {
		p.sorted = append(p.sorted, m)
	}
	slices.SortFunc(p.sorted, func(a, b *member) int {
		return strings.Compare(a.endpoint.Name, b.endpoint.Name)
	})
	p.homes.forget()
}

func (p *plugin) listOne(now time.Time, i kernel.Instance, out *kernel.Output) {
	m := p.members[i.Name]
	if m == nil || m.endpoint.Addr != i.Addr {
		m = &member{}
		p.members[i.Name] = m
	}
	m.listed = true
	m.endpoint.Name = i.Name
	m.endpoint.Zone = i.Zone
	m.endpoint.Service = i.Service
	m.endpoint.Addr = i.Addr
	// The list may go on about an incarnation that has ended, so only its turn
	// to leaving counts.
	turned := i.Leaving && !m.listLeaving
	m.listLeaving = i.Leaving
	if turned {
		p.leave(now, m, m.incarnation, out)
	}
}

// unlist drops the endpoints that the list does not name any more.
//
// A platform that answers with half a list would take away most endpoints at
// once, while all of them answer. Where a list drops more than half, those that
// answered their home of late are kept for a while.
func (p *plugin) unlist(now time.Time) {
	var gone []string
	for name, m := range p.members {
		if !m.listed {
			gone = append(gone, name)
		}
	}
	mass := len(gone) >= massDrop && 2*len(gone) > len(p.members)
	for _, name := range gone {
		m := p.members[name]
		if mass && m.dropped.IsZero() {
			m.dropped = now
		}
		if mass && now.Sub(m.dropped) < dropHold && m.raw == kernel.Live {
			continue
		}
		delete(p.members, name)
	}
}

// place adds an endpoint to its pool.
func (p *plugin) place(now time.Time, m *member, sent kernel.Load, v *kernel.View) {
	p.homes.assign(now, m, p.config.Settle)
	p.heed(now, m, v)
	m.endpoint.State = m.state(now)
	if m.endpoint.Home == p.self.Name {
		p.mine = append(p.mine, m)
		v.Probes = append(v.Probes, m.endpoint)
	}
	pool := v.Pools[m.endpoint.Service]
	if pool == nil || m.endpoint.State == kernel.Dead {
		return
	}
	e := m.endpoint
	e.Load = m.current(sent, e.Home == p.self.Name)
	e.Reported = m.toldAt
	near := p.near(e.Zone)
	if !near {
		e.Load, e.Reported = p.mean(now, e), time.Time{}
	}
	pool.Endpoints = append(pool.Endpoints, e)
	if near && e.State == kernel.Live {
		pool.Total = pool.Total.Add(e.Load)
		pool.Live++
	}
}

// near reports whether the homes of a zone's endpoints tell the node each
// endpoint's load.
func (p *plugin) near(zone string) bool {
	scope, known := p.scopes[zone]
	return !known || scope == p.cell
}
