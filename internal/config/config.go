// Package config is the kernel's plug-in for the configuration in force.
package config

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

type (
	extension struct{}

	plugin struct {
		manifest *manifest.Manifest
		leaving  bool
	}
)

// New returns the extension that registers the plug-in.
func New() kernel.Extension { return extension{} }

// Extend registers the plug-in.
func (extension) Extend(k *kernel.Kernel) {
	k.Register(&plugin{}, kernel.PriorityConfig)
}

// Handle puts a higher accepted revision in force.
//
// A stale platform or a late peer may bring an older revision after a newer
// one; operators would notice settings that revert. Only a higher revision
// replaces the one in force, so the order of arrival does not matter.
func (p *plugin) Handle(_ time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Accepted:
		if p.manifest != nil && ev.Manifest.Revision <= p.manifest.Revision {
			return
		}
		p.manifest = ev.Manifest
		out.Changed()
	case kernel.Drain:
		p.leaving = true
		out.Changed()
	}
}

// Publish writes the configuration in force.
func (p *plugin) Publish(_ time.Time, v *kernel.View) {
	v.Manifest = p.manifest
	v.Leaving = p.leaving
}

// Beat tells peers the revision in force and whether the node is leaving.
func (p *plugin) Beat(_ time.Time, _ string, b *kernel.Beat) {
	b.Leaving = p.leaving
	if p.manifest != nil {
		b.Revision = p.manifest.Revision
	}
}

// Dump shows the revision in force.
func (p *plugin) Dump(time.Time) (name string, state any) {
	var revision uint64
	if p.manifest != nil {
		revision = p.manifest.Revision
	}
	return "config", map[string]any{"revision": revision, "leaving": p.leaving}
}
