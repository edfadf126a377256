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

// DefaultQuiet is how long an endpoint that failed gets work only where no
// other can take it.
const DefaultQuiet = 2 * time.Second

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Quiet is how long a failed endpoint stays suspect.
		Quiet time.Duration
		// Own returns the loads that the node admitted as a home. It is called
		// for each heartbeat and each view.
		Own func() []kernel.EndpointLoad
	}

	extension struct{ config Config }

	member struct {
		endpoint kernel.Endpoint
		listed   bool
		leaving  bool
		failed   time.Time
	}

	plugin struct {
		config  Config
		self    string
		members map[string]*member
	}
)

// New returns the extension that registers the plug-in. Zero settings take
// their defaults.
func New(c Config) kernel.Extension {
	if c.Quiet == 0 {
		c.Quiet = DefaultQuiet
	}
	if c.Own == nil {
		c.Own = func() []kernel.EndpointLoad { return nil }
	}
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	p := &plugin{config: e.config, self: k.Self().Name, members: map[string]*member{}}
	k.Register(p, kernel.PriorityPool)
}

// Handle applies the platform's list, load reports, failures and heartbeats.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Instances:
		p.list(ev.List)
		out.Changed()
	case kernel.LoadReported:
		p.report(ev, out)
	case kernel.EndpointFailed:
		p.fail(now, ev.Endpoint, out)
	case kernel.BeatReceived:
		p.receive(ev.Beat)
		out.Changed()
	case kernel.Tick:
		out.Changed()
	}
}

// Publish writes the pools of all services in force.
func (p *plugin) Publish(now time.Time, v *kernel.View) {
	if v.Manifest == nil {
		return
	}
	for _, s := range v.Manifest.Services {
		pool := &kernel.Pool{Service: s}
		if d, ok := v.Manifest.Deployment(s.Deployment); ok {
			pool.Bound = d.Bound
		}
		v.Pools[s.Name] = pool
	}
	for _, own := range p.config.Own() {
		if m := p.members[own.Endpoint]; m != nil {
			m.endpoint.Load = own.Load
		}
	}
	for _, m := range p.members {
		p.place(now, m, v)
	}
	for _, pool := range v.Pools {
		slices.SortFunc(pool.Endpoints, func(a, b kernel.Endpoint) int {
			return strings.Compare(a.Name, b.Name)
		})
	}
}

// Beat tells peers the loads of the endpoints whose home the node is, and the
// endpoints known to be leaving.
func (p *plugin) Beat(_ time.Time, _ string, b *kernel.Beat) {
	b.Loads = append(b.Loads, p.config.Own()...)
	for name, m := range p.members {
		if m.leaving {
			b.Leaves = append(b.Leaves, name)
		}
	}
	slices.Sort(b.Leaves)
}

// Dump shows every endpoint known.
func (p *plugin) Dump(time.Time) (name string, state any) {
	endpoints := make(map[string]kernel.Endpoint, len(p.members))
	for name, m := range p.members {
		endpoints[name] = m.endpoint
	}
	return "pool", endpoints
}

func (p *plugin) list(list []kernel.Instance) {
	for _, m := range p.members {
		m.listed = false
	}
	for _, i := range list {
		if i.Kind != kernel.KindEndpoint {
			continue
		}
		m := p.members[i.Name]
		if m == nil {
			m = &member{}
			p.members[i.Name] = m
		}
		m.listed = true
		m.leaving = m.leaving || i.Leaving
		m.endpoint.Name = i.Name
		m.endpoint.Zone = i.Zone
		m.endpoint.Service = i.Service
		m.endpoint.Addr = i.Addr
	}
	for name, m := range p.members {
		if !m.listed {
			delete(p.members, name)
		}
	}
}

func (p *plugin) report(ev kernel.LoadReported, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil {
		return
	}
	m.endpoint.Load = ev.Load
	m.endpoint.Models = ev.Models
	m.failed = time.Time{}
	if ev.Leaving && !m.leaving {
		m.leaving = true
		out.Changed()
	}
}

func (p *plugin) fail(now time.Time, name string, out *kernel.Output) {
	if m := p.members[name]; m != nil {
		m.failed = now
		out.Changed()
	}
}

func (p *plugin) receive(b *kernel.Beat) {
	for _, l := range b.Loads {
		if m := p.members[l.Endpoint]; m != nil {
			m.endpoint.Load = l.Load
		}
	}
	for _, name := range b.Leaves {
		if m := p.members[name]; m != nil {
			m.leaving = true
		}
	}
}

func (p *plugin) place(now time.Time, m *member, v *kernel.View) {
	pool := v.Pools[m.endpoint.Service]
	if pool == nil {
		return
	}
	e := m.endpoint
	e.State = p.state(now, m)
	e.Home = Home(e, v.Nodes)
	pool.Endpoints = append(pool.Endpoints, e)
	pool.Total = pool.Total.Add(e.Load)
	if e.State == kernel.Live {
		pool.Live++
	}
}

func (p *plugin) state(now time.Time, m *member) kernel.State {
	switch {
	case m.leaving:
		return kernel.Leaving
	case !m.failed.IsZero() && now.Sub(m.failed) < p.config.Quiet:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}

// Home returns the node that admits work to an endpoint: the first in the
// endpoint's rendezvous order among the live nodes of its availability zone, or
// of the whole fleet where the zone has none.
func Home(e kernel.Endpoint, nodes []kernel.Node) string {
	if home := first(e.Name, nodes, e.Zone); home != "" {
		return home
	}
	return first(e.Name, nodes, "")
}

func first(key string, nodes []kernel.Node, zone string) string {
	var best string
	var high uint64
	for _, n := range nodes {
		if n.State != kernel.Live || zone != "" && n.Zone != zone {
			continue
		}
		if s := kernel.Score(key, n.Name); best == "" || s > high {
			best, high = n.Name, s
		}
	}
	return best
}
