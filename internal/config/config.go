// Package config is the kernel's plug-in for the configuration in force.
package config

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	// DefaultHold is the Hold of a node that has peers.
	DefaultHold = 1500 * time.Millisecond

	// heardHolds is how many Holds a starting node waits for a revision that a
	// peer told of.
	heardHolds = 4
	// fetchPause is the time between two fetches, so that a change of which
	// many peers tell at once is fetched once.
	fetchPause = 300 * time.Millisecond
	// failPause is how long a peer that did not deliver is not asked again.
	failPause = 2 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Hold is how long a starting node waits to hear from a peer before it
		// puts its first revision in force; 0 is not at all.
		Hold time.Duration
	}

	extension struct{ config Config }

	plugin struct {
		config   Config
		self     string
		manifest *manifest.Manifest
		leaving  bool
		start    start
		// offer is the newest revision that a peer told of, fetched when one
		// was last fetched.
		offer   kernel.FetchConfig
		fetched time.Time
		failed  map[string]time.Time
		// conflict names a peer that has another manifest of the revision in
		// force.
		conflict string
	}

	// start is the state of a node that has no revision in force.
	start struct {
		// held is the newest accepted revision, not yet in force.
		held  *manifest.Manifest
		since time.Time
		// heard is the highest revision that a peer told of.
		heard   uint64
		answers bool
		// alone is set where the platform's list names no other node.
		alone bool
	}
)

// New returns the extension that registers the plug-in.
func New(c Config) kernel.Extension { return extension{config: c} }

// Extend registers the plug-in.
func (e extension) Extend(k *kernel.Kernel) {
	k.Register(&plugin{
		config: e.config, self: k.Self().Name, failed: map[string]time.Time{},
	}, kernel.PriorityConfig)
}

// Handle puts a higher accepted revision in force and asks peers for revisions
// that they have and the node has not.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Accepted:
		p.accept(now, ev.Manifest, out)
	case kernel.Instances:
		p.start.alone = !namesOther(ev.List, p.self)
		p.release(now, out)
	case kernel.BeatReceived:
		p.hear(now, ev.Beat, out)
	case kernel.ConfigFailed:
		p.failed[ev.Node] = now
	case kernel.Tick:
		p.release(now, out)
		p.fetch(now, out)
	case kernel.Drain:
		p.leaving = true
		out.Changed()
	}
}

// Publish writes the configuration in force.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	v.Manifest = p.manifest
	v.Leaving = p.leaving
	v.Conflict = p.conflict
}

// Beat tells peers the revision in force and whether the node is leaving.
func (p *plugin) Beat(_ time.Time, _ string, b *kernel.Beat) {
	b.Leaving = p.leaving
	b.Revision = p.revision()
	if p.manifest != nil {
		b.Print = p.manifest.Fingerprint()
	}
}

// Dump shows the revision in force.
func (p *plugin) Dump(time.Time) (name string, state any) {
	var held uint64
	if p.start.held != nil {
		held = p.start.held.Revision
	}
	return "config", map[string]any{
		"revision": p.revision(), "leaving": p.leaving, "heard": p.start.heard, "held": held, "conflict": p.conflict,
	}
}

// accept puts a revision in force, or holds it while the node starts.
//
// A stale platform or a late peer may bring an older revision after a newer
// one; operators would notice settings that revert. Only a higher revision
// replaces the one in force, so the order of arrival does not matter.
func (p *plugin) accept(now time.Time, m *manifest.Manifest, out *kernel.Output) {
	if p.manifest != nil {
		if m.Revision > p.manifest.Revision {
			p.force(m, out)
		}
		return
	}
	if p.start.held == nil {
		p.start.since = now
	}
	if p.start.held == nil || m.Revision > p.start.held.Revision {
		p.start.held = m
	}
	p.release(now, out)
}

// release puts the held revision in force once the node may.
//
// A node that restarts against a stale platform reads an old revision. If it
// came into force, settings would revert on this node until a peer tells of the
// newer one. The node therefore first hears from a peer, unless it has none or
// none answers within Hold. One that heard of a newer revision waits longer, but
// not for ever: the peer may be gone.
func (p *plugin) release(now time.Time, out *kernel.Output) {
	s := &p.start
	if p.manifest != nil || s.held == nil {
		return
	}
	hold := p.config.Hold
	if s.heard > s.held.Revision {
		hold *= heardHolds
	}
	current := s.answers && s.held.Revision >= s.heard
	if current || s.alone || now.Sub(s.since) >= hold {
		p.force(s.held, out)
	}
}

// force puts a revision in force and lets the peers hear of it at once: at one
// heartbeat a second, a change that crosses cells and regions would not be
// everywhere in time.
func (p *plugin) force(m *manifest.Manifest, out *kernel.Output) {
	p.manifest = m
	p.start.held = nil
	p.conflict = ""
	clear(p.failed)
	out.Raise(kernel.Urgent{})
	out.Changed()
}

func (p *plugin) hear(now time.Time, b *kernel.Beat, out *kernel.Output) {
	p.start.answers = true
	p.start.heard = max(p.start.heard, b.Revision)
	p.release(now, out)
	p.compare(b, out)
	if b.Revision >= p.offer.Revision && !p.failing(now, b.Node) {
		p.offer = kernel.FetchConfig{Node: b.Node, Revision: b.Revision}
	}
	p.fetch(now, out)
}

// compare notices a peer that has another manifest of the same revision.
//
// Where operators accept two manifests under one number, each node keeps the
// one it met first, and the fleet would go on with two configurations without a
// word. Neither is above the other, so neither gives way; operators are told.
func (p *plugin) compare(b *kernel.Beat, out *kernel.Output) {
	if p.manifest == nil || b.Revision != p.manifest.Revision || b.Print == 0 || p.conflict != "" {
		return
	}
	if own := p.manifest.Fingerprint(); own != 0 && own != b.Print {
		p.conflict = b.Node
		out.Changed()
	}
}

// fetch asks for the revision that a peer offers. Where changes follow each
// other closely, it comes with the first tick after the pause: the peer's next
// heartbeat may be a second away.
func (p *plugin) fetch(now time.Time, out *kernel.Output) {
	if p.offer.Revision <= p.known() || now.Sub(p.fetched) < fetchPause {
		return
	}
	if p.failing(now, p.offer.Node) {
		p.offer = kernel.FetchConfig{}
		return
	}
	p.fetched = now
	out.Do(p.offer)
}

// failing reports whether a peer did not deliver of late.
func (p *plugin) failing(now time.Time, node string) bool {
	failed, ok := p.failed[node]
	return ok && now.Sub(failed) < failPause
}

func (p *plugin) revision() uint64 {
	if p.manifest == nil {
		return 0
	}
	return p.manifest.Revision
}

// known returns the highest revision that the node holds.
func (p *plugin) known() uint64 {
	if p.start.held != nil {
		return p.start.held.Revision
	}
	return p.revision()
}

func namesOther(list []kernel.Instance, self string) bool {
	for _, i := range list {
		if i.Kind == kernel.KindNode && i.Name != self {
			return true
		}
	}
	return false
}
