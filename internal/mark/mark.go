// Package mark is the kernel's plug-in that spreads leave marks: an instance
// that is leaving gets no new work from any node within seconds, although only
// one of them may have heard of it.
package mark

import (
	"cmp"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// retention is how long a mark is passed on, also to nodes that join. By
	// then the platform's list names the instance as leaving or not at all.
	retention = 10 * time.Minute
	// capacity bounds the marks kept; the oldest make room.
	capacity = 1024
)

type (
	// Config is the settings of the plug-in.
	Config struct{}

	extension struct{}

	entry struct {
		mark    kernel.Mark
		learned time.Time
		// told holds the peers that know the mark.
		told map[string]bool
	}

	plugin struct {
		self    kernel.Node
		entries []*entry
	}
)

// New returns the extension that registers the plug-in.
func New(Config) kernel.Extension { return extension{} }

// Extend registers the plug-in.
func (extension) Extend(k *kernel.Kernel) {
	k.Register(&plugin{self: k.Self()}, kernel.PriorityMark)
}

// Handle takes marks from peers and from the node's other plug-ins.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.Marked:
		if p.find(ev.Mark) == nil {
			p.add(now, ev.Mark)
			out.Raise(kernel.Urgent{})
		}
	case kernel.BeatReceived:
		p.hear(now, ev.Beat, out)
	case kernel.BeatFailed:
		for _, e := range p.entries {
			delete(e.told, ev.Node)
		}
	case kernel.Drain:
		out.Raise(kernel.Marked{Mark: kernel.Mark{
			Name: p.self.Name, Kind: kernel.KindNode, Incarnation: p.self.Incarnation,
		}})
	case kernel.Tick:
		p.expire(now)
	}
}

// Publish writes nothing.
func (p *plugin) Publish(time.Time, *kernel.View) {}

// Beat tells a peer the marks that it may not know.
func (p *plugin) Beat(_ time.Time, to string, b *kernel.Beat) {
	for _, e := range p.entries {
		if !e.told[to] {
			e.told[to] = true
			b.Marks = append(b.Marks, e.mark)
		}
	}
}

// Dump shows the marks that are passed on.
func (p *plugin) Dump(time.Time) (name string, state any) {
	marks := make([]kernel.Mark, len(p.entries))
	for i, e := range p.entries {
		marks[i] = e.mark
	}
	return "mark", marks
}

func (p *plugin) hear(now time.Time, b *kernel.Beat, out *kernel.Output) {
	for _, m := range b.Marks {
		e := p.find(m)
		if e == nil {
			e = p.add(now, m)
			out.Raise(kernel.Marked{Mark: m})
			out.Raise(kernel.Urgent{})
		}
		e.told[b.Node] = true
	}
}

func (p *plugin) find(m kernel.Mark) *entry {
	for _, e := range p.entries {
		if e.mark == m {
			return e
		}
	}
	return nil
}

func (p *plugin) add(now time.Time, m kernel.Mark) *entry {
	e := &entry{mark: m, learned: now, told: map[string]bool{}}
	p.entries = append(p.entries, e)
	if len(p.entries) > capacity {
		p.entries = p.entries[1:]
	}
	return e
}

func (p *plugin) expire(now time.Time) {
	keep, _ := slices.BinarySearchFunc(p.entries, now.Add(-retention), func(e *entry, t time.Time) int {
		return cmp.Compare(e.learned.UnixNano(), t.UnixNano())
	})
	p.entries = slices.Delete(p.entries, 0, keep)
}
