// Package roster is the kernel's plug-in that maintains the platform's instance
// list. It ignores old versions, and passes deltas on to peers that do not watch
// the platform.
package roster

import (
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// deltaRetention is how long a delta is passed on.
	deltaRetention = 10 * time.Second
	// versionHold is how long a confirmed version takes precedence over older ones.
	versionHold = 30 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct{}

	extension struct{}

	plugin struct {
		list    map[string]kernel.Instance
		version uint64
		// newest is the highest version known to exist; confirmedAt is when version
		// was last read from the platform.
		newest      uint64
		confirmedAt time.Time
		delta       *kernel.ListDelta
		deltaAt     time.Time
		// peerVersion is the newest version each peer was sent or has reported.
		peerVersion map[string]uint64
	}
)

// New returns the extension that registers the plug-in.
func New(Config) kernel.Extension { return extension{} }

// Extend registers the plug-in.
func (extension) Extend(k *kernel.Kernel) {
	p := &plugin{list: map[string]kernel.Instance{}, peerVersion: map[string]uint64{}}
	k.Register(p, kernel.PriorityRoster)
}

// Handle applies reads of the platform and deltas from peers.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Instances:
		p.applyReading(now, ev, out)
	case kernel.HeartbeatReceived:
		p.receive(now, ev.Heartbeat, out)
	case kernel.HeartbeatFailed:
		delete(p.peerVersion, ev.Node)
	}
}

// Publish sets the applied version and the newest known one in the view.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	v.Listed = p.version
	v.ListVersion = p.newest
}

// Beat adds the newest known version to a heartbeat and, once for each peer of
// the node's cell, the newest delta.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Heartbeat) {
	b.ListVersion = p.newest
	if !b.SameCell || p.delta == nil || now.Sub(p.deltaAt) > deltaRetention || p.peerVersion[to] >= p.delta.Version {
		return
	}
	p.peerVersion[to] = p.delta.Version
	b.ListDelta = p.delta
}

// Summarize adds the newest known version to a digest.
func (p *plugin) Summarize(_ time.Time, d *kernel.Digest) { d.ListVersion = p.newest }

// Dump returns the versions and the size of the list.
func (p *plugin) Dump(time.Time) (name string, state any) {
	return "roster", map[string]any{"version": p.version, "newest": p.newest, "instances": len(p.list)}
}

// applyReading applies a read of the platform.
//
// A platform that alternates between old and new answers would bring back removed
// instances, and make endpoints change owners each time. An older version is
// therefore ignored while a newer one was confirmed recently; after that the
// platform's numbering is assumed to have restarted.
func (p *plugin) applyReading(now time.Time, ev kernel.Instances, out *kernel.Output) {
	if ev.Version < p.version && now.Sub(p.confirmedAt) < versionHold {
		return
	}
	next := make(map[string]kernel.Instance, len(ev.List))
	for _, i := range ev.List {
		next[i.Name] = i
	}
	if ev.Version < p.version {
		p.newest = ev.Version
	}
	p.confirmedAt = now
	p.keepDelta(now, p.diff(next, ev.Version))
	p.list = next
	p.apply(ev.Version, out)
}

func (p *plugin) receive(now time.Time, b *kernel.Heartbeat, out *kernel.Output) {
	newest := b.ListVersion
	for _, d := range b.Digests {
		newest = max(newest, d.ListVersion)
	}
	if newest > p.newest {
		p.newest = newest
		out.Changed()
	}
	n := b.ListDelta
	if n == nil || p.version == 0 || n.Base != p.version || n.Version <= p.version {
		return
	}
	for _, i := range n.Changed {
		p.list[i.Name] = i
	}
	for _, name := range n.Removed {
		delete(p.list, name)
	}
	p.keepDelta(now, n)
	p.peerVersion[b.Node] = n.Version
	p.apply(n.Version, out)
}

func (p *plugin) apply(version uint64, out *kernel.Output) {
	p.version = version
	p.newest = max(p.newest, version)
	list := make([]kernel.Instance, 0, len(p.list))
	for _, i := range p.list {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b kernel.Instance) int { return strings.Compare(a.Name, b.Name) })
	out.Raise(kernel.Listed{Version: version, List: list})
	out.Changed()
}

// keepDelta keeps a delta to pass on. The first list is no delta: it is as large
// as the fleet, and a peer without one reads it from the platform.
func (p *plugin) keepDelta(now time.Time, n *kernel.ListDelta) {
	if n == nil || n.Base == 0 {
		return
	}
	p.delta = n
	p.deltaAt = now
}

func (p *plugin) diff(next map[string]kernel.Instance, version uint64) *kernel.ListDelta {
	if version <= p.version {
		return nil
	}
	n := &kernel.ListDelta{Base: p.version, Version: version}
	for name, i := range next {
		if old, known := p.list[name]; !known || old != i {
			n.Changed = append(n.Changed, i)
		}
	}
	for name := range p.list {
		if _, kept := next[name]; !kept {
			n.Removed = append(n.Removed, name)
		}
	}
	slices.SortFunc(n.Changed, func(a, b kernel.Instance) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(n.Removed)
	return n
}
