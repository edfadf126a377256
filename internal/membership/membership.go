// Package membership is the kernel's plug-in that knows the fleet's nodes: it
// merges the platform's lagging list with heartbeats between peers.
package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Defaults of a Config.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultSuspect  = 1500 * time.Millisecond
	DefaultDead     = 5 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Interval is the time between two heartbeats to the same peer.
		Interval time.Duration
		// Suspect is the silence after which a node is suspect.
		Suspect time.Duration
		// Dead is the silence after which a node is dead.
		Dead time.Duration
		// Active returns the callers' requests in progress at the node. It is
		// called for each heartbeat and each view.
		Active func() int
	}

	extension struct{ config Config }

	member struct {
		node   kernel.Node
		listed bool
		heard  time.Time
		sent   time.Time
	}

	plugin struct {
		config  Config
		self    kernel.Node
		members map[string]*member
		leaving bool
		serial  uint64
	}
)

// New returns the extension that registers the plug-in. Zero settings take
// their defaults.
func New(c Config) kernel.Extension {
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Suspect == 0 {
		c.Suspect = DefaultSuspect
	}
	if c.Dead == 0 {
		c.Dead = DefaultDead
	}
	if c.Active == nil {
		c.Active = func() int { return 0 }
	}
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	p := &plugin{config: e.config, self: k.Self(), members: map[string]*member{}}
	k.Register(p, kernel.PriorityMembership)
}

// Handle applies the platform's list, heartbeats and the passing of time.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Instances:
		p.list(now, ev.List, out)
	case kernel.BeatReceived:
		p.receive(now, ev.Beat, out)
	case kernel.Drain:
		p.leaving = true
		p.beatAll(now, out)
	case kernel.Tick:
		p.tick(now, out)
	}
}

// Publish writes the nodes that are not dead.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	self := p.self
	if p.leaving {
		self.State = kernel.Leaving
	}
	self.Active = p.config.Active()
	v.Self = self
	v.Watcher = true
	v.Nodes = append(v.Nodes, self)
	for _, m := range p.members {
		if m.node.State != kernel.Dead {
			v.Nodes = append(v.Nodes, m.node)
		}
	}
	slices.SortFunc(v.Nodes, func(a, b kernel.Node) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Beat numbers the heartbeat.
func (p *plugin) Beat(_ time.Time, _ string, b *kernel.Beat) {
	p.serial++
	b.Serial = p.serial
	b.Active = p.config.Active()
}

// Dump shows every node that was ever heard of.
func (p *plugin) Dump(time.Time) (name string, state any) {
	nodes := make(map[string]kernel.Node, len(p.members))
	for name, m := range p.members {
		nodes[name] = m.node
	}
	return "membership", nodes
}

func (p *plugin) list(now time.Time, list []kernel.Instance, out *kernel.Output) {
	for _, m := range p.members {
		m.listed = false
	}
	for _, i := range list {
		if i.Kind != kernel.KindNode {
			continue
		}
		if i.Name == p.self.Name {
			p.listSelf(i)
			continue
		}
		m := p.members[i.Name]
		if m == nil {
			m = &member{heard: now}
			p.members[i.Name] = m
		}
		m.listed = true
		m.node.Name = i.Name
		m.node.Zone = i.Zone
		m.node.Caller = i.Addr
		m.node.Peer = i.Peer
		if i.Leaving && m.node.State == kernel.Live {
			m.node.State = kernel.Leaving
		}
	}
	out.Changed()
}

// listSelf takes the node's own addresses from the list where it listens on
// every address of its instance and so cannot tell which one others reach.
func (p *plugin) listSelf(i kernel.Instance) {
	if p.self.Caller.Addr().IsUnspecified() {
		p.self.Caller = i.Addr
	}
	if p.self.Peer.Addr().IsUnspecified() {
		p.self.Peer = i.Peer
	}
}

func (p *plugin) receive(now time.Time, b *kernel.Beat, out *kernel.Output) {
	m := p.members[b.Node]
	if m == nil {
		return
	}
	state := kernel.Live
	if b.Leaving {
		state = kernel.Leaving
	}
	m.heard = now
	m.node.Active = b.Active
	if m.node.State != state || m.node.Incarnation != b.Incarnation {
		m.node.State = state
		m.node.Incarnation = b.Incarnation
		out.Changed()
	}
}

func (p *plugin) tick(now time.Time, out *kernel.Output) {
	for _, name := range slices.Sorted(maps.Keys(p.members)) {
		m := p.members[name]
		p.age(now, name, m, out)
		if now.Sub(m.sent) >= p.config.Interval {
			m.sent = now
			out.Do(kernel.SendBeat{To: m.node})
		}
	}
}

func (p *plugin) age(now time.Time, name string, m *member, out *kernel.Output) {
	silent := now.Sub(m.heard)
	switch {
	case silent >= p.config.Dead && !m.listed:
		delete(p.members, name)
		out.Changed()
	case silent >= p.config.Dead && m.node.State != kernel.Dead:
		m.node.State = kernel.Dead
		out.Changed()
	case silent >= p.config.Suspect && m.node.State == kernel.Live:
		m.node.State = kernel.Suspect
		out.Changed()
	}
}

func (p *plugin) beatAll(now time.Time, out *kernel.Output) {
	for _, name := range slices.Sorted(maps.Keys(p.members)) {
		m := p.members[name]
		m.sent = now
		out.Do(kernel.SendBeat{To: m.node})
	}
	out.Changed()
}
