// Package config is the kernel plug-in that keeps the configuration in force.
package config

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	// DefaultHold is the Hold of a node that has peers.
	DefaultHold = 1500 * time.Millisecond

	// reportedHolds is how many Holds a starting node waits for a revision that a
	// peer reported.
	reportedHolds = 4
	// fetchPause is the time between two fetches, so that a change that many peers
	// report at once is fetched once.
	fetchPause = 300 * time.Millisecond
	// failBackoff is how long a peer that failed to deliver is not asked again.
	failBackoff = 2 * time.Second
)

type (
	// Config is the settings of the plug-in.
	Config struct {
		// Hold is how long a starting node waits for a peer's heartbeat before it
		// puts its first revision in force; 0 for not at all.
		Hold time.Duration
	}

	extension struct{ config Config }

	plugin struct {
		config   Config
		self     string
		manifest *manifest.Manifest
		leaving  bool
		startup  startup
		// offer is the newest revision that a peer reported, and fetched when the
		// last fetch was started.
		offer   kernel.FetchConfig
		fetched time.Time
		failed  map[string]time.Time
		// conflict names a peer that has another manifest of the revision in
		// force.
		conflict string
	}

	// startup is the state of a node that has no revision in force.
	startup struct {
		// held is the newest accepted revision, not yet in force.
		held  *manifest.Manifest
		since time.Time
		// reported is the highest revision that a peer reported.
		reported uint64
		peerSeen bool
		// alone is set if the platform's list names no other node.
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

// Handle puts a higher accepted revision in force and fetches revisions that peers
// have and the node lacks.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Accepted:
		p.accept(now, ev.Manifest, out)
	case kernel.Instances:
		p.startup.alone = !hasOtherNode(ev.List, p.self)
		p.activateHeld(now, out)
	case kernel.HeartbeatReceived:
		p.receive(now, ev.Heartbeat, out)
	case kernel.ConfigFailed:
		p.failed[ev.Node] = now
	case kernel.Tick:
		p.activateHeld(now, out)
		p.fetch(now, out)
	case kernel.Drain:
		p.leaving = true
		out.Changed()
	}
}

// Publish writes the configuration in force to the view.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	v.Manifest = p.manifest
	v.Leaving = p.leaving
	v.Conflict = p.conflict
}

// Beat sends peers the revision in force and whether the node is leaving.
func (p *plugin) Beat(_ time.Time, _ string, b *kernel.Heartbeat) {
	b.Leaving = p.leaving
	b.Revision = p.revision()
	if p.manifest != nil {
		b.Fingerprint = p.manifest.Fingerprint()
	}
}

// Dump shows the revision in force.
func (p *plugin) Dump(time.Time) (name string, state any) {
	var held uint64
	if p.startup.held != nil {
		held = p.startup.held.Revision
	}
	return "config", map[string]any{
		"revision": p.revision(), "leaving": p.leaving, "heard": p.startup.reported, "held": held, "conflict": p.conflict,
	}
}

// accept puts a revision in force, or holds it while the node starts.
//
// A stale platform or a slow peer may deliver an older revision after a newer one;
// operators would see settings revert. Only a higher revision replaces the one in
// force, so the order of arrival does not matter.
func (p *plugin) accept(now time.Time, m *manifest.Manifest, out *kernel.Output) {
	if p.manifest != nil {
		if m.Revision > p.manifest.Revision {
			p.activate(m, out)
		}
		return
	}
	if p.startup.held == nil {
		p.startup.since = now
	}
	if p.startup.held == nil || m.Revision > p.startup.held.Revision {
		p.startup.held = m
	}
	p.activateHeld(now, out)
}

// activateHeld puts the held revision in force once that is safe.
//
// A node that restarts against a stale platform reads an old revision. If it came
// into force, settings would revert on this node until a peer reports the newer
// one. The node therefore waits for a peer's heartbeat, unless it has no peers or
// none answers within Hold. If a peer reports a newer revision, the node waits
// longer, but not forever: the peer may be dead.
func (p *plugin) activateHeld(now time.Time, out *kernel.Output) {
	s := &p.startup
	if p.manifest != nil || s.held == nil {
		return
	}
	hold := p.config.Hold
	if s.reported > s.held.Revision {
		hold *= reportedHolds
	}
	current := s.peerSeen && s.held.Revision >= s.reported
	if current || s.alone || now.Sub(s.since) >= hold {
		p.activate(s.held, out)
	}
}

// activate puts a revision in force and sends a heartbeat to the peers at once: at
// one heartbeat a second, a change that crosses cells and regions would not reach
// every node in time.
func (p *plugin) activate(m *manifest.Manifest, out *kernel.Output) {
	p.manifest = m
	p.startup.held = nil
	p.conflict = ""
	clear(p.failed)
	out.Raise(kernel.HeartbeatNow{})
	out.Changed()
}

func (p *plugin) receive(now time.Time, b *kernel.Heartbeat, out *kernel.Output) {
	p.startup.peerSeen = true
	p.startup.reported = max(p.startup.reported, b.Revision)
	p.activateHeld(now, out)
	p.compare(b, out)
	if b.Revision >= p.offer.Revision && !p.recentlyFailed(now, b.Node) {
		p.offer = kernel.FetchConfig{Node: b.Node, Revision: b.Revision}
	}
	p.fetch(now, out)
}

// compare detects a peer that has another manifest of the same revision.
//
// If operators accept two manifests under one number, each node keeps the one it
// got first, and the fleet would run two configurations unnoticed. Neither is
// newer, so neither replaces the other; the conflict is shown to operators.
func (p *plugin) compare(b *kernel.Heartbeat, out *kernel.Output) {
	if p.manifest == nil || b.Revision != p.manifest.Revision || b.Fingerprint == 0 || p.conflict != "" {
		return
	}
	if own := p.manifest.Fingerprint(); own != 0 && own != b.Fingerprint {
		p.conflict = b.Node
		out.Changed()
	}
}

// fetch requests the revision that a peer offers. If changes follow each other
// closely, the next one is requested at the first tick after the pause: the peer's
// next heartbeat may be a second away.
func (p *plugin) fetch(now time.Time, out *kernel.Output) {
	if p.offer.Revision <= p.highestHeld() || now.Sub(p.fetched) < fetchPause {
		return
	}
	if p.recentlyFailed(now, p.offer.Node) {
		p.offer = kernel.FetchConfig{}
		return
	}
	p.fetched = now
	out.Do(p.offer)
}

// recentlyFailed reports whether a peer failed to deliver within the last
// failBackoff.
func (p *plugin) recentlyFailed(now time.Time, node string) bool {
	failed, ok := p.failed[node]
	return ok && now.Sub(failed) < failBackoff
}

func (p *plugin) revision() uint64 {
	if p.manifest == nil {
		return 0
	}
	return p.manifest.Revision
}

// highestHeld returns the highest revision that the node holds.
func (p *plugin) highestHeld() uint64 {
	if p.startup.held != nil {
		return p.startup.held.Revision
	}
	return p.revision()
}

func hasOtherNode(list []kernel.Instance, self string) bool {
	for _, i := range list {
		if i.Kind == kernel.KindNode && i.Name != self {
			return true
		}
	}
	return false
}
