// Package pool is the kernel's plug-in that tracks the endpoints of every service:
// which take work, their loads and their owners.
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
		// Quiet is how long an endpoint stays suspect after a failure.
		Quiet time.Duration
		// Settle is how long nodes may disagree on the owner after it changed.
		Settle time.Duration
		// Admitted returns the loads that the node has admitted as an owner. It is
		// called for each heartbeat and each view.
		Admitted func() []kernel.EndpointLoad
		// Dispatched returns the loads that the node has dispatched itself and that
		// are still in progress.
		Dispatched func() []kernel.EndpointLoad
	}

	extension struct{ config Config }

	plugin struct {
		config  Config
		self    kernel.Node
		members map[string]*member
		// sorted holds the members by name, owned those that the node owns.
		sorted    []*member
		owned     []*member
		sums      map[string]scopeSums
		owners    owners
		sentLoads map[string]*peerLoads
		// counts is the number of endpoints in each pool of the newest view.
		counts map[string]int
		// cell and scopes are those of the newest view.
		cell   string
		scopes map[string]string
		// notices holds the notices of endpoints to this node, by name.
		notices map[string]*notice
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
	if c.Admitted == nil {
		c.Admitted = none
	}
	if c.Dispatched == nil {
		c.Dispatched = none
	}
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	p := &plugin{
		config:    e.config,
		self:      k.Self(),
		members:   map[string]*member{},
		sums:      map[string]scopeSums{},
		sentLoads: map[string]*peerLoads{},
		counts:    map[string]int{},
		notices:   map[string]*notice{},
	}
	k.Register(p, kernel.PriorityPool)
}

// Handle applies the instance list, load reports, notices, failures and heartbeats.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Listed:
		p.list(now, ev.List, out)
		out.Changed()
	case kernel.LoadReported:
		p.report(now, ev, out)
	case kernel.EndpointNotice:
		p.receiveNotice(now, ev, out)
	case kernel.EndpointBackoff:
		p.receiveBackoff(now, ev, out)
	case kernel.EndpointFailed:
		p.fail(now, ev.Endpoint, out)
	case kernel.InstanceLeaving:
		p.mark(now, ev.Notice, out)
	case kernel.HeartbeatReceived:
		p.receive(now, ev.Heartbeat)
	case kernel.HeartbeatFailed:
		delete(p.sentLoads, ev.Node)
	case kernel.DigestReceived:
		p.receiveDigest(now, ev.Digest)
	case kernel.Resumed:
		p.resume(now)
	case kernel.Tick:
		p.age(now)
		p.expireNotices(now)
		out.Changed()
	}
}

// Publish writes the pools of all configured services.
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
	p.owners.update(v)
	p.applyOwnCounts(now)
	sent := loadsByName(p.config.Dispatched())
	p.owned = p.owned[:0]
	for _, m := range p.sorted {
		p.addToPool(now, m, sent[m.endpoint.Name], v)
	}
	for name, pool := range v.Pools {
		p.counts[name] = len(pool.Endpoints)
	}
	p.addSums(now, v)
}

// Dump exposes every known endpoint.
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
			p.applyEntry(now, i, out)
		}
	}
	p.removeUnlisted(now)
	p.sorted = p.sorted[:0]
	for _, m := range p.members {
		p.sorted = append(p.sorted, m)
	}
	slices.SortFunc(p.sorted, func(a, b *member) int {
		return strings.Compare(a.endpoint.Name, b.endpoint.Name)
	})
	p.owners.invalidate()
}

func (p *plugin) applyEntry(now time.Time, i kernel.Instance, out *kernel.Output) {
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
	// The entry may still be that of an incarnation that has ended, so only its
	// change to leaving counts.
	becameLeaving := i.Leaving && !m.listLeaving
	m.listLeaving = i.Leaving
	if becameLeaving {
		p.leave(now, m, m.incarnation, out)
	}
}

// removeUnlisted removes the endpoints that are no longer listed.
//
// A platform that answers with a partial list would remove most endpoints at once
// although they are live. If a list lacks at least massRemoval endpoints and more
// than half of them all, the live ones are kept for removalHold.
func (p *plugin) removeUnlisted(now time.Time) {
	var unlisted []string
	for name, m := range p.members {
		if !m.listed {
			unlisted = append(unlisted, name)
		}
	}
	mass := len(unlisted) >= massRemoval && 2*len(unlisted) > len(p.members)
	for _, name := range unlisted {
		m := p.members[name]
		if mass && m.droppedAt.IsZero() {
			m.droppedAt = now
		}
		if mass && now.Sub(m.droppedAt) < removalHold && m.observed == kernel.Live {
			continue
		}
		delete(p.members, name)
	}
}

// addToPool sets an endpoint's owner and state, and adds it to its pool unless it is
// dead.
func (p *plugin) addToPool(now time.Time, m *member, sent kernel.Load, v *kernel.View) {
	p.owners.assign(now, m, p.config.Settle)
	p.applyNotice(now, m, v)
	m.endpoint.State = m.state(now)
	if m.endpoint.Owner == p.self.Name {
		p.owned = append(p.owned, m)
		v.Probes = append(v.Probes, m.endpoint)
	}
	pool := v.Pools[m.endpoint.Service]
	if pool == nil || m.endpoint.State == kernel.Dead {
		return
	}
	e := m.endpoint
	e.Load = m.currentLoad(sent, e.Owner == p.self.Name)
	e.Reported = m.loadAt
	near := p.inCell(e.Zone)
	if !near {
		e.Load, e.Reported = p.meanLoad(now, e), time.Time{}
	}
	pool.Endpoints = append(pool.Endpoints, e)
	if near && e.State == kernel.Live {
		pool.Total = pool.Total.Add(e.Load)
		pool.Live++
	}
}

// inCell reports whether a zone is in the node's cell, so that the owners report the
// load of each endpoint to the node.
func (p *plugin) inCell(zone string) bool {
	scope, known := p.scopes[zone]
	return !known || scope == p.cell
}
