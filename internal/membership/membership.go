// Package membership is the kernel's plug-in that tracks the fleet's nodes: it
// merges the platform's lagging instance list with heartbeats between peers.
//
// All nodes of one cell, which is an availability zone or a whole small region,
// exchange heartbeats with each other. A few relays of each cell exchange
// digests with those of the region's other cells, and a few gateways of each
// region with those of other regions, so that a node's cost does not grow with
// the fleet. Relays, gateways and watchers are the first live nodes of a
// rendezvous order. There is no election: if two nodes disagree, only a redundant
// message is sent.
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
		// small cell. In a large one it grows to 1.2 seconds.
		Interval time.Duration
		// Suspect is the time without a heartbeat after which a node is suspect.
		Suspect time.Duration
		// Dead is the time without a heartbeat after which a node is dead.
		Dead time.Duration
		// Settle is how long a node must be live before it is preferred as an
		// owner of endpoints.
		Settle time.Duration
		// Pause is the gap between two events from which the process is
		// considered to have been paused.
		Pause time.Duration
		// Mesh is the number of nodes up to which a region is one cell.
		Mesh int
		// Active returns the number of callers' requests in progress at the
		// node. It is called for each heartbeat and each view.
		Active func() int
	}

	extension struct{ config Config }

	plugin struct {
		config  Config
		kernel  *kernel.Kernel
		self    kernel.Node
		members map[string]*member
		regions map[string]string
		// revision is the configuration revision that regions comes from.
		revision  uint64
		leaving   bool
		serial    uint64
		started   time.Time
		lastEvent time.Time
		urgent    bool
		settled   bool
		// hasList is set once the node has received an instance list.
		hasList bool
		resync  resync
		topo    *topology
		digests digests
		// nodes is the node list of the last view; nil if it must be rebuilt.
		nodes []kernel.Node
	}

	// resync is the state of the resynchronization with peers after a pause.
	// received holds the peers that have sent a heartbeat since then.
	resync struct {
		active   bool
		since    time.Time
		received map[string]bool
	}
)

// resyncTimeout is how long a node waits for its peers after a pause.
const resyncTimeout = 5 * time.Second

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
		digests: digests{stored: map[string]*storedDigest{}},
	}
	k.Register(p, kernel.PriorityMembership)
}

// Handle applies the platform's list, heartbeats and the passing of time.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	p.detectPause(now, out)
	switch ev := ev.(type) {
	case kernel.Listed:
		p.hasList = true
		p.list(now, ev.List, out)
	case kernel.Accepted:
		p.accept(ev, out)
	case kernel.HeartbeatReceived:
		p.receive(now, ev.Heartbeat, out)
	case kernel.HeartbeatFailed:
		p.fail(now, ev.Node, out)
	case kernel.InstanceLeaving:
		p.mark(now, ev.Notice, out)
	case kernel.HeartbeatNow:
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
	v.Self = p.selfNode(now)
	v.Watcher = p.watcher()
	v.Fleet = p.expectedNodes()
	v.Resyncing = p.resync.active
	v.Cell = p.topology().cell
	v.Scopes = p.topology().scopes
	v.Leaving = v.Leaving || p.leaving
}

// Beat sets the heartbeat's sequence number and the sender's state, and adds the
// digests for the receiver. It adds an Intro if the receiver may not know the
// sender.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Heartbeat) {
	p.serial++
	b.Serial = p.serial
	b.Active = p.config.Active()
	b.Leaving = b.Leaving || p.leaving
	b.NoList = !p.hasList
	m := p.members[to]
	if m == nil {
		b.Intro = p.intro(now)
		return
	}
	b.SameCell = p.inCell(m)
	if m.introduced != m.node.Incarnation || m.node.Incarnation == 0 {
		m.introduced = m.node.Incarnation
		b.Intro = p.intro(now)
	}
	b.Digests = p.digestsFor(m)
	b.NoForward = p.isLeaf(m)
}

// Summarize adds the nodes of the cell that differ from the instance list.
func (p *plugin) Summarize(_ time.Time, d *kernel.Digest) {
	for _, name := range p.names() {
		m := p.members[name]
		if !p.inCell(m) {
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

// Dump exposes every known member and the node's roles.
func (p *plugin) Dump(time.Time) (name string, state any) {
	nodes := make(map[string]kernel.Node, len(p.members))
	for name, m := range p.members {
		nodes[name] = m.node
	}
	t := p.topology()
	return "membership", map[string]any{
		"nodes": nodes, "cell": t.cell, "relays": t.relays[t.cell], "gateways": t.gateways[t.region],
		"watcher": p.watcher(), "doubtful": p.resync.active,
	}
}

// accept applies the regions of the zones, never from an older revision.
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

// alive returns this node and all members that are not dead, sorted by name.
func (p *plugin) alive(now time.Time) []kernel.Node {
	nodes := make([]kernel.Node, 0, len(p.members)+1)
	nodes = append(nodes, p.selfNode(now))
	for _, m := range p.members {
		if m.node.State != kernel.Dead {
			nodes = append(nodes, m.node)
		}
	}
	slices.SortFunc(nodes, func(a, b kernel.Node) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// expectedNodes returns the expected number of nodes, which includes the dead ones.
func (p *plugin) expectedNodes() int {
	count := 1
	for _, m := range p.members {
		if m.node.State != kernel.Leaving {
			count++
		}
	}
	return count
}

// selfNode returns this node as its peers should see it.
func (p *plugin) selfNode(now time.Time) kernel.Node {
	self := p.self
	self.Settled = now.Sub(p.started) >= p.config.Settle
	switch {
	case p.leaving:
		self.State = kernel.Leaving
	case p.resync.active, !p.hasList:
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

// names returns the names of all members, sorted so that nothing depends on map
// order.
func (p *plugin) names() []string {
	names := make([]string, 0, len(p.members))
	for name := range p.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// changed invalidates what is cached of the members, and requests a new view.
func (p *plugin) changed(out *kernel.Output) {
	p.nodes = nil
	p.topo = nil
	out.Changed()
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
