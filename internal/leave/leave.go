// Package leave is the kernel's plug-in that propagates leave notices: a leaving
// instance gets no new work from any node within seconds, although only one of
// them may have received its notice.
package leave

import (
	"cmp"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// retention is how long a notice is passed on, also to nodes that join. By
	// then the platform's list shows the instance as leaving or not at all.
	retention = 10 * time.Minute
	// maxNotices bounds the notices kept; the oldest are dropped.
	maxNotices = 1024
)

type (
	// Config is the settings of the plug-in.
	Config struct{}

	extension struct{}

	notice struct {
		mark      kernel.LeaveNotice
		learnedAt time.Time
		// knownBy holds the peers that have the notice.
		knownBy map[string]bool
	}

	plugin struct {
		self    kernel.Node
		notices []*notice
	}
)

// New returns the extension that registers the plug-in.
func New(Config) kernel.Extension { return extension{} }

// Extend registers the plug-in.
func (extension) Extend(k *kernel.Kernel) {
	k.Register(&plugin{self: k.Self()}, kernel.PriorityMark)
}

// Handle processes notices from peers and from the node's other plug-ins.
func (p *plugin) Handle(now time.Time, ev kernel.Event, out *kernel.Output) {
	switch ev := ev.(type) {
	case kernel.InstanceLeaving:
		if p.find(ev.Notice) == nil {
			p.add(now, ev.Notice)
			out.Raise(kernel.HeartbeatNow{})
		}
	case kernel.HeartbeatReceived:
		p.receive(now, ev.Heartbeat, out)
	case kernel.HeartbeatFailed:
		for _, n := range p.notices {
			delete(n.knownBy, ev.Node)
		}
	case kernel.Drain:
		out.Raise(kernel.InstanceLeaving{Notice: kernel.LeaveNotice{
			Name: p.self.Name, Kind: kernel.KindNode, Incarnation: p.self.Incarnation,
		}})
	case kernel.Tick:
		p.expire(now)
	}
}

// Publish writes nothing.
func (p *plugin) Publish(time.Time, *kernel.View) {}

// Beat adds the notices that a peer may lack to a heartbeat.
func (p *plugin) Beat(_ time.Time, to string, b *kernel.Heartbeat) {
	for _, n := range p.notices {
		if !n.knownBy[to] {
			n.knownBy[to] = true
			b.LeaveNotices = append(b.LeaveNotices, n.mark)
		}
	}
}

// Dump returns the notices that are passed on.
func (p *plugin) Dump(time.Time) (name string, state any) {
	marks := make([]kernel.LeaveNotice, len(p.notices))
	for i, n := range p.notices {
		marks[i] = n.mark
	}
	return "mark", marks
}

func (p *plugin) receive(now time.Time, b *kernel.Heartbeat, out *kernel.Output) {
	for _, m := range b.LeaveNotices {
		n := p.find(m)
		if n == nil {
			n = p.add(now, m)
			out.Raise(kernel.InstanceLeaving{Notice: m})
			out.Raise(kernel.HeartbeatNow{})
		}
		n.knownBy[b.Node] = true
	}
}

func (p *plugin) find(m kernel.LeaveNotice) *notice {
	for _, n := range p.notices {
		if n.mark == m {
			return n
		}
	}
	return nil
}

func (p *plugin) add(now time.Time, m kernel.LeaveNotice) *notice {
	n := &notice{mark: m, learnedAt: now, knownBy: map[string]bool{}}
	p.notices = append(p.notices, n)
	if len(p.notices) > maxNotices {
		p.notices = p.notices[1:]
	}
	return n
}

func (p *plugin) expire(now time.Time) {
	keep, _ := slices.BinarySearchFunc(p.notices, now.Add(-retention), func(n *notice, t time.Time) int {
		return cmp.Compare(n.learnedAt.UnixNano(), t.UnixNano())
	})
	p.notices = slices.Delete(p.notices, 0, keep)
}
