package membership

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// maxBeats bounds the heartbeats of one tick, so that a node that comes
	// back into a large fleet does not send all at once.
	maxBeats = 32
	// fewPeers is the number of peers up to which the time between heartbeats
	// is the shortest.
	fewPeers = 8
	// slowInterval is the time between heartbeats in a large cell.
	slowInterval = 1200 * time.Millisecond
	// pauseLast is the longest time between two heartbeats to a dead node.
	pauseLast = 8 * time.Second
	// jitterPart is the part by which the time between heartbeats varies.
	jitterPart = 0.2
)

// tick lets time pass.
func (p *plugin) tick(now time.Time, out *kernel.Output) {
	p.age(now, out)
	p.reassure(now, out)
	if settled := p.own(now).Settled; settled != p.settled {
		p.settled = settled
		p.changed(out)
	}
	p.summarize(now)
	sent := 0
	for _, name := range p.names() {
		m := p.members[name]
		if !p.linked(m) || !p.isDue(now, m) {
			continue
		}
		if sent++; sent > maxBeats {
			return
		}
		m.next = p.due(now, m)
		out.Do(kernel.SendBeat{To: m.node})
	}
	p.urgent = false
}

func (p *plugin) isDue(now time.Time, m *member) bool {
	return !now.Before(m.next) || p.urgent && m.node.State != kernel.Dead
}

// due returns when the next heartbeat to a member is sent.
//
// When a partition heals, nodes that were dead to each other answer again all
// at once. The growing and varied pauses spread their first heartbeats, which
// carry the most, over several seconds.
func (p *plugin) due(now time.Time, m *member) time.Time {
	interval := p.interval()
	if m.node.State == kernel.Dead {
		m.pause = min(max(2*m.pause, interval), pauseLast)
		interval = m.pause
	}
	spread := kernel.Score(p.self.Name+"/"+m.node.Name, now.String())
	part := float64(spread%1000)/1000 - 0.5
	return now.Add(interval + time.Duration(part*jitterPart*float64(interval)))
}

// interval returns the time between two heartbeats to the same peer. It grows
// with the number of peers, so that loads are fresh in a small fleet and cheap
// in a large one.
func (p *plugin) interval() time.Duration {
	peers := len(p.topology().links)
	grown := p.config.Interval * time.Duration(peers) / fewPeers
	return max(min(grown, slowInterval), p.config.Interval)
}

// clock notices that the process was paused.
//
// A process that wakes after a pause has heard from nobody for its length. It
// would take all its peers for dead, become the home of every endpoint and
// order them about, while the others have long replaced it. The gap between two
// events shows the pause: the silence was the node's own, so peers get their
// time anew, and the node claims no authority until peers or the platform have
// told it what it missed.
func (p *plugin) clock(now time.Time, out *kernel.Output) {
	if p.last.IsZero() {
		p.started = now
	}
	gap := now.Sub(p.last)
	if !p.last.IsZero() && gap >= p.config.Pause {
		p.wake(now, gap, out)
	}
	if now.After(p.last) {
		p.last = now
	}
}

func (p *plugin) wake(now time.Time, gap time.Duration, out *kernel.Output) {
	for _, m := range p.members {
		m.known = now
		m.next = now
	}
	for _, s := range p.digests.stored {
		s.at = s.at.Add(gap)
	}
	p.doubt = doubt{active: true, since: now, heard: map[string]bool{}}
	p.urgent = true
	out.Raise(kernel.Woken{Gap: gap})
	out.Do(kernel.Reread{})
	p.changed(out)
}

// reassure ends the doubt after a pause once half of the cell has answered. A
// node that nobody answers is in a partition of its own or alone; it goes on
// after a while.
func (p *plugin) reassure(now time.Time, out *kernel.Output) {
	if !p.doubt.active {
		return
	}
	peers, heard := 0, 0
	for name, m := range p.members {
		if m.node.State == kernel.Dead || !p.near(m) {
			continue
		}
		peers++
		if p.doubt.heard[name] {
			heard++
		}
	}
	if 2*heard < peers && now.Sub(p.doubt.since) < doubtLast {
		return
	}
	p.doubt = doubt{}
	p.started = now
	p.changed(out)
}
