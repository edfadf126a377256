// Package membership is the kernel's plug-in that knows the fleet's nodes: it
// merges the platform's lagging list with heartbeats between peers.
//
// Nodes of one cell, which is an availability zone or a whole small region,
// exchange heartbeats with each other. A few relays of each cell exchange
// digests with those of the region's other cells, and a few gateways of each
// region with those of other regions, so that a node's cost does not grow with
// the fleet. Relays, gateways and watchers are the first in a rendezvous order
// over live nodes: nobody elects them, and two nodes that disagree only send a
// message too many.
package membership

import (
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Defaults of a Config.
const (
	DefaultInterval = 750 * time.Millisecond
	DefaultSuspect  = 2500 * time.Millisecond
	DefaultDead     = 5 * time.Second
	DefaultSettle   = 3 * time.Second
	DefaultPause    = 1500 * time.Millisecond
	DefaultMesh     = 24
)

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Interval is the time between two heartbeats to the same peer in a
		// small cell; in a large one it is up to a second.
		Interval time.Duration
		// Suspect is the silence after which a node is suspect.
		Suspect time.Duration
		// Dead is the silence after which a node is dead.
		Dead time.Duration
		// Settle is how long a node is live before it becomes a home.
		Settle time.Duration
		// Pause is the time between two events from which the process is taken
		// to have been paused.
		Pause time.Duration
		// Mesh is the number of nodes up to which a region is one cell.
		Mesh int
		// Active returns the callers' requests in progress at the node. It is
		// called for each heartbeat and each view.
		Active func() int
	}

	extension struct{ config Config }

	plugin struct {
		config  Config
		kernel  *kernel.Kernel
		self    kernel.Node
		members map[string]*member
		regions map[string]string
		// revision is that of the regions.
		revision uint64
		leaving  bool
		serial   uint64
		started  time.Time
		last     time.Time
		urgent   bool
		settled  bool
		// hasList is set once the node had an instance list.
		hasList bool
		doubt   doubt
		topo    *topology
		digests digests
		// nodes is what the last view showed; nil where it must be made anew.
		nodes []kernel.Node
	}

	// doubt is the state of a node that was paused.
	doubt struct {
		active bool
		since  time.Time
		heard  map[string]bool
	}
)

// doubtLast is how long a node that was paused waits for its peers.
const doubtLast = 5 * time.Second

// New returns the extension that registers the plug-in. Zero settings take
// their defaults.
func New(c Config) kernel.Extension {
	setDefault(&c.Interval, DefaultInterval)
	setDefault(&c.Suspect, DefaultSuspect)
	setDefault(&c.Dead, DefaultDead)
	setDefault(&c.Settle, DefaultSettle)
	setDefault(&c.Pause, DefaultPause)
	setDefault(&c.Mesh, DefaultMesh)
	if c.Active == nil {
		c.Active = func() int { return 0 }
	}
	return extension{config: c}
}

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	p := &plugin{
		config:  e.config,
		kernel:  k,
		self:    k.Self(),
		members: map[string]*member{},
		regions: map[string]string{},
		digests: digests{stored: map[string]*stored{}},
	}
	k.Register(p, kernel.PriorityMembership)
}

// Handle applies the platform's list, heartbeats and the passing of time.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	p.clock(now, out)
	switch ev := ev.(type) {
	case kernel.Listed:
		p.hasList = true
		p.list(now, ev.List, out)
	case kernel.Accepted:
		p.accept(ev, out)
	case kernel.BeatReceived:
		p.receive(now, ev.Beat, out)
	case kernel.BeatFailed:
		p.fail(now, ev.Node, out)
	case kernel.Marked:
		p.mark(now, ev.Mark, out)
	case kernel.Urgent:
		p.urgent = true
	case kernel.Tick:
		p.tick(now, out)
	}
}

// Publish writes the nodes that are not dead.
func (p *plugin) Publish(now time.Time, v *kernel.View) {
	if active := p.config.Active(); p.nodes == nil || active != p.self.Active {
		p.self.Active = active
		p.nodes = p.alive(now)
	}
	v.Nodes = p.nodes
	v.Self = p.own(now)
	v.Watcher = p.watcher()
	v.Fleet = p.fleet()
	v.Doubtful = p.doubt.active
	v.Cell = p.topology().cell
	v.Scopes = p.topology().scopes
	v.Leaving = v.Leaving || p.leaving
}

// Beat numbers the heartbeat and adds what a peer needs to know the sender.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Beat) {
	p.serial++
	b.Serial = p.serial
	b.Active = p.config.Active()
	b.Leaving = b.Leaving || p.leaving
	b.Listless = !p.hasList
	m := p.members[to]
	if m == nil {
		b.Intro = p.intro(now)
		return
	}
	b.Near = p.near(m)
	if m.introduced != m.node.Incarnation || m.node.Incarnation == 0 {
		m.introduced = m.node.Incarnation
		b.Intro = p.intro(now)
	}
	b.Digests = p.digestsFor(m)
	b.Ends = p.ends(m)
}

// Summarize adds the nodes of the cell that the list does not tell right.
func (p *plugin) Summarize(_ time.Time, d *kernel.Digest) {
	for _, name := range p.names() {
		m := p.members[name]
		if !p.near(m) {
			continue
		}
		switch {
		case m.listed && m.node.State != kernel.Live:
			d.Absent = append(d.Absent, kernel.Absence{Instance: name, State: m.node.State})
		case !m.listed && m.node.State == kernel.Live:
			d.Extra = append(d.Extra, m.intro())
		}
	}
}

// Dump shows every node that was ever heard of, and the node's roles.
func (p *plugin) Dump(time.Time) (name string, state any) {
	nodes := make(map[string]kernel.Node, len(p.members))
	for name, m := range p.members {
		nodes[name] = m.node
	}
	t := p.topology()
	return "membership", map[string]any{
		"nodes": nodes, "cell": t.cell, "relays": t.relays[t.cell], "gateways": t.gateways[t.region],
		"watcher": p.watcher(), "doubtful": p.doubt.active,
	}
}

// accept takes over the regions of the zones, never from an older revision.
func (p *plugin) accept(ev kernel.Accepted, out *kernel.Output) {
	if ev.Manifest.Revision < p.revision {
		return
	}
	p.revision = ev.Manifest.Revision
	clear(p.regions)
	for _, z := range ev.Manifest.Zones {
		p.regions[z.Name] = z.Region
	}
	p.self.Region = p.regions[p.self.Zone]
	for _, m := range p.members {
		m.node.Region = p.regions[m.node.Zone]
	}
	p.changed(out)
}

// alive returns the node itself and every other not dead, sorted by name.
func (p *plugin) alive(now time.Time) []kernel.Node {
	nodes := make([]kernel.Node, 0, len(p.members)+1)
	nodes = append(nodes, p.own(now))
	for _, m := range p.members {
		if m.node.State != kernel.Dead {
			nodes = append(nodes, m.node)
		}
	}
	slices.SortFunc(nodes, func(a, b kernel.Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// fleet counts the nodes that should be there, the dead ones included.
func (p *plugin) fleet() int {
	count := 1
	for _, m := range p.members {
		if m.node.State != kernel.Leaving {
			count++
		}
	}
	return count
}

// own returns the node itself as its peers should see it.
func (p *plugin) own(now time.Time) kernel.Node {
	self := p.self
	self.Settled = now.Sub(p.started) >= p.config.Settle
	switch {
	case p.leaving:
		self.State = kernel.Leaving
	case p.doubt.active, !p.hasList:
		self.State = kernel.Suspect
	}
	return self
}

func (p *plugin) intro(now time.Time) *kernel.Intro {
	return &kernel.Intro{
		Instance: kernel.Instance{
			Name: p.self.Name, Kind: kernel.KindNode, Zone: p.self.Zone,
			Addr: p.self.Caller, Peer: p.self.Peer, Leaving: p.leaving,
		},
		Age: now.Sub(p.started),
	}
}

// names returns the names of all members, sorted, so that nothing depends on
// the order of a map.
func (p *plugin) names() []string {
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// changed notes that nodes came, went or changed their state.
func (p *plugin) changed(out *kernel.Output) {
	p.nodes = nil
	p.topo = nil
	out.Changed()
}

func setDefault[T comparable](v *T, standard T) {
	var zero T
	if *v == zero {
		*v = standard
	}
}
