// Package roster is the kernel's plug-in that keeps the platform's instance
// list. It drops old versions, and passes changes on to peers that do not watch
// the platform.
package roster

import (
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// newsRetention is how long a change is passed on.
	newsRetention = 10 * time.Second
	// versionMemory is how long a version is held against older ones.
	versionMemory = 30 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct{}

	extension struct{}

	plugin struct {
		list    map[string]kernel.Instance
		version uint64
		// newest is the highest version heard of; confirmed is when version was
		// last read from the platform.
		newest    uint64
		confirmed time.Time
		news      *kernel.News
		newsAt    time.Time
		// told is the version each peer was last told.
		told map[string]uint64
	}
)

// New returns the extension that registers the plug-in.
func New(Config) kernel.Extension { return extension{} }

// Extend registers the plug-in.
func (extension) Extend(k *kernel.Kernel) {
	p := &plugin{list: map[string]kernel.Instance{}, told: map[string]uint64{}}
	k.Register(p, kernel.PriorityRoster)
}

// Handle applies readings of the platform and news from peers.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Instances:
		p.read(now, ev, out)
	case kernel.BeatReceived:
		p.hear(now, ev.Beat, out)
	case kernel.BeatFailed:
		delete(p.told, ev.Node)
	}
}

// Publish writes which version is applied and which was heard of.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	v.Listed = p.version
	v.ListVersion = p.newest
}

// Beat tells a peer of the node's cell the newest change once.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Beat) {
	b.ListVersion = p.newest
	if !b.Near || p.news == nil || now.Sub(p.newsAt) > newsRetention || p.told[to] >= p.news.Version {
		return
	}
	p.told[to] = p.news.Version
	b.News = p.news
}

// Summarize adds the newest version heard of.
func (p *plugin) Summarize(_ time.Time, d *kernel.Digest) { d.ListVersion = p.newest }

// Dump shows the versions.
func (p *plugin) Dump(time.Time) (name string, state any) {
	return "roster", map[string]any{"version": p.version, "newest": p.newest, "instances": len(p.list)}
}

// read applies a reading of the platform.
//
// A platform that answers old and new by turns would bring back instances that
// are gone, and make nodes rehome endpoints at each turn. An older version is
// therefore ignored while a newer one was confirmed of late; after that the
// platform's numbering is taken to have started anew.
func (p *plugin) read(now time.Time, ev kernel.Instances, out *kernel.Output) {
	if ev.Version < p.version && now.Sub(p.confirmed) < versionMemory {
		return
	}
	next := make(map[string]kernel.Instance, len(ev.List))
	for _, i := range ev.List {
		next[i.Name] = i
	}
	if ev.Version < p.version {
		p.newest = ev.Version
	}
	p.confirmed = now
	p.keep(now, p.diff(next, ev.Version))
	p.list = next
	p.apply(ev.Version, out)
}

func (p *plugin) hear(now time.Time, b *kernel.Beat, out *kernel.Output) {
	newest := b.ListVersion
	for _, d := range b.Digests {
		newest = max(newest, d.ListVersion)
	}
	if newest > p.newest {
		p.newest = newest
		out.Changed()
	}
	n := b.News
	if n == nil || p.version == 0 || n.Base != p.version || n.Version <= p.version {
		return
	}
	for _, i := range n.Changed {
		p.list[i.Name] = i
	}
	for _, name := range n.Removed {
		delete(p.list, name)
	}
	p.keep(now, n)
	p.told[b.Node] = n.Version
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

// keep holds a change to pass on. The first list is no change: it is as large
// as the fleet, and a peer without one reads it from the platform.
func (p *plugin) keep(now time.Time, n *kernel.News) {
	if n == nil || n.Base == 0 {
		return
	}
	p.news = n
	p.newsAt = now
}

func (p *plugin) diff(next map[string]kernel.Instance, version uint64) *kernel.News {
	if version <= p.version {
		return nil
	}
	n := &kernel.News{Base: p.version, Version: version}
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
