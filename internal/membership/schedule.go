package membership

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// maxBeats is the most heartbeats in one tick, so that a node that rejoins a
	// large fleet does not send all at once.
	maxBeats = 32
	// fewPeers is the number of peers up to which the heartbeat interval is the
	// shortest.
	fewPeers = 8
	// maxInterval is the heartbeat interval in a large cell.
	maxInterval = 1200 * time.Millisecond
	// maxRetryPause is the longest heartbeat interval to a dead node.
	maxRetryPause = 8 * time.Second
	// jitterRange is the range of the jitter as a fraction of the heartbeat
	// interval: 0.2 is plus or minus 10 %.
	jitterRange = 0.2
)

// tick updates all states that depend on time, and sends the heartbeats that are
// due.
func (p *plugin) tick(now time.Time, out *kernel.Output) {
	p.age(now, out)
	p.checkResync(now, out)
	if settled := p.selfNode(now).Settled; settled != p.settled {
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
		m.nextBeat = p.due(now, m)
		out.Do(kernel.SendHeartbeat{To: m.node})
	}
	p.urgent = false
}

func (p *plugin) isDue(now time.Time, m *member) bool {
	return !now.Before(m.nextBeat) || p.urgent && m.node.State != kernel.Dead
}

// due returns when the next heartbeat to a member is sent.
//
// When a partition heals, nodes that considered each other dead all respond again
// at once. The growing interval and the jitter spread their first heartbeats, which
// are the largest, over several seconds.
func (p *plugin) due(now time.Time, m *member) time.Time {
	interval := p.interval()
	if m.node.State == kernel.Dead {
		m.retryPause = min(max(2*m.retryPause, interval), maxRetryPause)
		interval = m.retryPause
	}
	hash := kernel.Score(p.self.Name+"/"+m.node.Name, now.String())
	fraction := float64(hash%1000)/1000 - 0.5
	return now.Add(interval + time.Duration(fraction*jitterRange*float64(interval)))
}

// interval returns the time between two heartbeats to the same peer. It grows with
// the number of peers: loads are up to date in a small cell, and cheap to exchange
// in a large one.
func (p *plugin) interval() time.Duration {
	peers := len(p.topology().links)
	scaled := p.config.Interval * time.Duration(peers) / fewPeers
	return max(min(scaled, maxInterval), p.config.Interval)
}

// detectPause detects that the process was paused.
//
// During a pause the process receives no heartbeats. On resuming it would consider
// all its peers dead, take over every endpoint and send orders to them, although
// the other nodes have long replaced it. The gap between two events reveals the
// pause. Because the peers did not cause the missing heartbeats, their timeouts
// start anew, and the node claims no authority until it has resynchronized with its
// peers or a timeout ends.
func (p *plugin) detectPause(now time.Time, out *kernel.Output) {
	if p.lastEvent.IsZero() {
		p.started = now
	}
	gap := now.Sub(p.lastEvent)
	if !p.lastEvent.IsZero() && gap >= p.config.Pause {
		p.startResync(now, gap, out)
	}
	if now.After(p.lastEvent) {
		p.lastEvent = now
	}
}

func (p *plugin) startResync(now time.Time, gap time.Duration, out *kernel.Output) {
	for _, m := range p.members {
		m.knownSince = now
		m.nextBeat = now
	}
	for _, s := range p.digests.stored {
		s.at = s.at.Add(gap)
	}
	p.resync = resync{active: true, since: now, received: map[string]bool{}}
	p.urgent = true
	out.Raise(kernel.Resumed{Gap: gap})
	out.Do(kernel.Reread{})
	p.changed(out)
}

// checkResync ends the resynchronization after a pause once half of the cell has sent
// heartbeats. A node that receives none is alone or partitioned from all others; it
// resumes after resyncTimeout.
func (p *plugin) checkResync(now time.Time, out *kernel.Output) {
	if !p.resync.active {
		return
	}
	peers, received := 0, 0
	for name, m := range p.members {
		if m.node.State == kernel.Dead || !p.inCell(m) {
			continue
		}
		peers++
		if p.resync.received[name] {
			received++
		}
	}
	if 2*received < peers && now.Sub(p.resync.since) < resyncTimeout {
		return
	}
	p.resync = resync{}
	p.started = now
	p.changed(out)
}
