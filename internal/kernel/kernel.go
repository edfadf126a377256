// Package kernel holds the control state of one node: a deterministic state
// machine that takes events with an explicit time and returns actions. It does
// no I/O and starts no goroutine, so tests and replays drive it directly.
//
// All decisions are made by plug-ins, which register themselves with a priority.
package kernel

import (
	"slices"
	"sync/atomic"
	"time"
)

// Priorities of the built-in plug-ins; lower runs first. A plug-in may read what
// earlier ones wrote into the View.
const (
	PriorityConfig     = 100
	PriorityMembership = 200
	PriorityRoster     = 220
	PriorityMark       = 240
	PriorityPool       = 300
	PriorityLimit      = 400
	PriorityPoison     = 500
	PriorityCapacity   = 600
)

type (
	// Event is an input to the kernel: one of the types in event.go or one
	// that a plug-in declares.
	Event any

	// Action is something that the caller of Step must do: one of the types in
	// event.go or one that a plug-in declares.
	Action any

	// Plugin holds a part of the control state.
	Plugin interface {
		// Handle applies an event.
		Handle(now time.Time, ev Event, out *Output)
		// Publish writes the plug-in's part of a new View.
		Publish(now time.Time, v *View)
	}

	// Beater is a Plugin that contributes to every heartbeat that the node sends.
	Beater interface {
		Beat(now time.Time, to string, b *Heartbeat)
	}

	// Summarizer is a Plugin that contributes to the digest of the node's cell.
	Summarizer interface {
		Summarize(now time.Time, d *Digest)
	}

	// Dumper is a Plugin that exposes its state to operators. The state is
	// encoded as JSON.
	Dumper interface {
		Dump(now time.Time) (name string, state any)
	}

	// Extension registers plug-ins with a kernel.
	Extension interface {
		Extend(k *Kernel)
	}

	// Config is the settings of a Kernel.
	Config struct {
		// Self is the node as the platform lists it.
		Self Node
		// Extensions register the plug-ins.
		Extensions []Extension
	}

	// Kernel is the control state of one node. Only View is safe for concurrent
	// use.
	Kernel struct {
		self    Node
		plugins []prioritized
		view    atomic.Pointer[View]
	}

	// Output collects the results of handling one event.
	Output struct {
		actions []Action
		raised  []Event
		changed bool
	}

	prioritized struct {
		plugin   Plugin
		priority int
	}
)

// New returns a Kernel with the plug-ins of the extensions.
func New(c Config) *Kernel {
	k := &Kernel{self: c.Self}
	for _, e := range c.Extensions {
		e.Extend(k)
	}
	k.view.Store(&View{Self: c.Self, Pools: map[string]*Pool{}})
	return k
}

// Register adds a plug-in. Plug-ins run in the order of their priorities, those
// of equal priority in the order of registration.
func (k *Kernel) Register(p Plugin, priority int) {
	k.plugins = append(k.plugins, prioritized{plugin: p, priority: priority})
	slices.SortStableFunc(k.plugins, func(a, b prioritized) int {
		return a.priority - b.priority
	})
}

// Self returns the node the kernel controls.
func (k *Kernel) Self() Node { return k.self }

// Step applies an event and returns the resulting actions. If a plug-in called
// Changed, a new View is published before Step returns.
func (k *Kernel) Step(now time.Time, ev Event) []Action {
	out := &Output{}
	k.handle(now, ev, out)
	for len(out.raised) > 0 {
		next := out.raised[0]
		out.raised = out.raised[1:]
		k.handle(now, next, out)
	}
	if out.changed {
		k.publish(now)
	}
	return out.actions
}

// Beat returns the heartbeat to send to a peer.
func (k *Kernel) Beat(now time.Time, to string) *Heartbeat {
	b := &Heartbeat{Node: k.self.Name, Incarnation: k.self.Incarnation}
	for _, p := range k.plugins {
		if beater, ok := p.plugin.(Beater); ok {
			beater.Beat(now, to, b)
		}
	}
	return b
}

// Digest returns the summary of the node's cell.
func (k *Kernel) Digest(now time.Time, scope string) Digest {
	d := Digest{Scope: scope, Origin: k.self.Incarnation}
	for _, p := range k.plugins {
		if s, ok := p.plugin.(Summarizer); ok {
			s.Summarize(now, &d)
		}
	}
	return d
}

// View returns the newest published view. It is safe for concurrent use, and
// the view never changes once published.
func (k *Kernel) View() *View { return k.view.Load() }

// Dump returns the state of every Dumper, by name.
func (k *Kernel) Dump(now time.Time) map[string]any {
	state := make(map[string]any)
	for _, p := range k.plugins {
		if d, ok := p.plugin.(Dumper); ok {
			name, s := d.Dump(now)
			state[name] = s
		}
	}
	return state
}

func (k *Kernel) handle(now time.Time, ev Event, out *Output) {
	for _, p := range k.plugins {
		p.plugin.Handle(now, ev, out)
	}
}

func (k *Kernel) publish(now time.Time) {
	v := &View{At: now, Self: k.self, Pools: make(map[string]*Pool)}
	for _, p := range k.plugins {
		p.plugin.Publish(now, v)
	}
	k.view.Store(v)
}

// Do adds an action.
func (o *Output) Do(a Action) { o.actions = append(o.actions, a) }

// Raise queues an event for all plug-ins, to be handled after the current one.
func (o *Output) Raise(ev Event) { o.raised = append(o.raised, ev) }

// Changed requests a new View.
func (o *Output) Changed() { o.changed = true }
