package membership

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// member is another node of the fleet.
type member struct {
	node    kernel.Node
	listed  bool
	leaving bool
	// listless is set while the node reports that it has no instance list.
	//
	// A node that starts while the platform is down sends heartbeats like any
	// other, but knows no endpoints. Considered live, it would own some, and
	// would answer every permit request for them that they are gone: requests
	// would wait until their deadlines although the endpoints are idle.
	listless bool
	// leftAt is when the leave notice was received; listLeaving is what the
	// instance list says.
	leftAt      time.Time
	listLeaving bool
	// observed is the state by heartbeats or digests, without leave notices and
	// flap damping.
	observed kernel.State
	// started is when the incarnation started, as reported by itself.
	started time.Time
	// lastBeat is when the last heartbeat was received. knownSince is when the
	// node became known, or the end of this process's last pause.
	lastBeat   time.Time
	knownSince time.Time
	// liveSince is when the node became live.
	liveSince time.Time
	failures  int
	damper    kernel.Damper
	// digestState is the state in the newest digest of its cell or region.
	digestState kernel.State
	// extraAt is when a digest last reported the node as live but not listed.
	extraAt time.Time
	// introduced is the incarnation to which an Intro was last sent.
	introduced uint64
	// nextBeat is when the next heartbeat is due. retryPause is the interval
	// while the node is dead, which grows.
	nextBeat   time.Time
	retryPause time.Duration
	// digestVersions is the newest digest of each scope that was sent to the
	// node or received from it.
	digestVersions map[string]version
}

const (
	// failuresSuspect is the number of consecutive failed heartbeats from which
	// a node is suspect. If it has never sent a heartbeat, one is enough.
	failuresSuspect = 2
	// failurePause is the delay before a failed heartbeat is retried.
	failurePause = 250 * time.Millisecond
)

func (m *member) intro() kernel.Intro {
	return kernel.Intro{Instance: kernel.Instance{
		Name: m.node.Name, Kind: kernel.KindNode, Zone: m.node.Zone,
		Addr: m.node.Caller, Peer: m.node.Peer, Leaving: m.leaving,
	}}
}

// describe copies the fields of an instance entry.
func (m *member) describe(i kernel.Instance, region string) {
	m.node.Name = i.Name
	m.node.Zone = i.Zone
	m.node.Region = region
	m.node.Caller = i.Addr
	m.node.Peer = i.Peer
}

// leave marks the incarnation as leaving.
func (m *member) leave(now time.Time) {
	if !m.leaving {
		m.leaving = true
		m.leftAt = now
	}
}

// reset starts a new incarnation and discards the state of the previous one.
func (m *member) reset(incarnation uint64, started time.Time) {
	m.node.Incarnation = incarnation
	m.started = started
	m.leaving = false
	m.introduced = 0
	m.digestVersions = map[string]version{}
}

// list applies the platform's instance list.
//
// The list lags: it contains nodes that are dead and lacks nodes that send
// heartbeats. An unlisted node is kept as long as it sends heartbeats, and a
// listed one that is unreachable is dead all the same.
func (p *plugin) list(now time.Time, list []kernel.Instance, out *kernel.Output) {
	for _, m := range p.members {
		m.listed = false
	}
	for _, i := range list {
		if i.Kind != kernel.KindNode {
			continue
		}
		if i.Name == p.self.Name {
			p.listSelf(i, out)
			continue
		}
		m := p.member(now, i.Name)
		m.listed = true
		m.describe(i, p.regions[i.Zone])
		// The entry may still be that of an incarnation that has ended, so only
		// its change to leaving counts.
		becameLeaving := i.Leaving && !m.listLeaving
		m.listLeaving = i.Leaving
		if becameLeaving {
			m.leave(now)
			out.Raise(kernel.InstanceLeaving{Notice: kernel.LeaveNotice{
				Name: i.Name, Kind: kernel.KindNode, Incarnation: m.node.Incarnation,
			}})
		}
	}
	p.age(now, out)
	p.changed(out)
}

// listSelf applies the node's own list entry. It takes the addresses from there
// if the node listens on all addresses of its instance, because it cannot tell
// which of them others reach.
func (p *plugin) listSelf(i kernel.Instance, out *kernel.Output) {
	if p.self.Caller.Addr().IsUnspecified() {
		p.self.Caller = i.Addr
	}
	if p.self.Peer.Addr().IsUnspecified() {
		p.self.Peer = i.Peer
	}
	if i.Leaving && !p.leaving {
		out.Raise(kernel.InstanceLeaving{Notice: kernel.LeaveNotice{
			Name: p.self.Name, Kind: kernel.KindNode, Incarnation: p.self.Incarnation,
		}})
	}
}

func (p *plugin) member(now time.Time, name string) *member {
	m := p.members[name]
	if m == nil {
		m = &member{knownSince: now, liveSince: now, nextBeat: now, digestVersions: map[string]version{}}
		p.members[name] = m
	}
	return m
}

// receive applies a heartbeat.
func (p *plugin) receive(now time.Time, b *kernel.Heartbeat, out *kernel.Output) {
	if b.Node == "" || b.Node == p.self.Name {
		return
	}
	m := p.sender(now, b, out)
	if m == nil {
		return
	}
	m.lastBeat = now
	m.failures = 0
	m.retryPause = 0
	m.listless = b.NoList
	if m.node.Active != b.Active {
		m.node.Active = b.Active
		p.nodes = nil
	}
	m.nextBeat = p.due(now, m)
	if b.Leaving {
		m.leave(now)
	}
	if p.resync.active {
		p.resync.received[b.Node] = true
		p.checkResync(now, out)
	}
	p.receiveDigests(now, m, b.Digests, out)
	p.update(now, m, out)
}

// sender returns the member that sent a heartbeat. It returns nil if the heartbeat
// is of an incarnation that has ended, or of an unknown node without an Intro.
//
// A heartbeat of the previous incarnation may be in flight when a node restarts
// under the same name. Applied as the newest state, it would restore the old
// incarnation with its leave notices and addresses. The incarnation that started
// last wins.
func (p *plugin) sender(now time.Time, b *kernel.Heartbeat, out *kernel.Output) *member {
	m := p.members[b.Node]
	if m == nil && b.Intro == nil {
		return nil
	}
	if m == nil {
		m = p.member(now, b.Node)
	}
	if m.node.Incarnation != b.Incarnation {
		if !p.acceptIncarnation(now, m, b) {
			return nil
		}
		p.changed(out)
	}
	if b.Intro != nil {
		m.describe(b.Intro.Instance, p.regions[b.Intro.Instance.Zone])
		m.node.Name = b.Node
		p.changed(out)
	}
	return m
}

// acceptIncarnation switches a member to the incarnation of a heartbeat, and
// reports whether it did: if none was known, the known one is unreachable, or the
// Intro says that the new one started later.
func (p *plugin) acceptIncarnation(now time.Time, m *member, b *kernel.Heartbeat) bool {
	started := now
	if b.Intro != nil {
		started = now.Add(-b.Intro.Age)
	}
	first := m.node.Incarnation == 0
	unreachable := now.Sub(m.lastBeat) >= p.config.Suspect
	later := b.Intro != nil && started.After(m.started)
	if !first && !later && !unreachable {
		return false
	}
	if first && m.leaving {
		m.node.Incarnation, m.started = b.Incarnation, started
		return true
	}
	m.reset(b.Incarnation, started)
	return true
}

// fail applies a failed heartbeat.
func (p *plugin) fail(now time.Time, name string, out *kernel.Output) {
	m := p.members[name]
	if m == nil {
		return
	}
	m.failures++
	m.introduced = 0
	m.digestVersions = map[string]version{}
	if m.node.State != kernel.Dead {
		m.nextBeat = now.Add(failurePause)
	}
	p.update(now, m, out)
}

// mark applies a leave notice. A notice without an incarnation is for the one that
// the platform lists.
func (p *plugin) mark(now time.Time, mark kernel.LeaveNotice, out *kernel.Output) {
	if mark.Kind != kernel.KindNode {
		return
	}
	if mark.Name == p.self.Name {
		if mark.Incarnation == p.self.Incarnation && !p.leaving {
			p.leaving = true
			p.changed(out)
		}
		return
	}
	m := p.members[mark.Name]
	if m == nil || mark.Incarnation != 0 && m.node.Incarnation != 0 && mark.Incarnation != m.node.Incarnation {
		return
	}
	m.leave(now)
	if m.node.State == kernel.Live || m.node.State == kernel.Suspect {
		m.node.State = kernel.Leaving
		p.changed(out)
	}
}

// age updates the states of all members, and removes those that are dead and not
// listed.
func (p *plugin) age(now time.Time, out *kernel.Output) {
	for name, m := range p.members {
		p.update(now, m, out)
		if m.listed || m.node.State != kernel.Dead {
			continue
		}
		delete(p.members, name)
		p.changed(out)
	}
}

// update derives a member's state.
func (p *plugin) update(now time.Time, m *member, out *kernel.Output) {
	observed := p.observe(now, m)
	if observed == kernel.Live && m.observed != kernel.Live {
		m.damper.Flap(now)
	}
	m.observed = observed
	state := m.state(now)
	if state == kernel.Live && m.node.State != kernel.Live {
		m.liveSince = now
	}
	settled := state == kernel.Live && now.Sub(m.liveSince) >= p.config.Settle
	if state == m.node.State && settled == m.node.Settled {
		return
	}
	if state != m.node.State {
		p.topo = nil
	}
	m.node.State = state
	m.node.Settled = settled
	p.nodes = nil
	out.Changed()
}

func (m *member) state(now time.Time) kernel.State {
	switch {
	case m.observed == kernel.Dead:
		return kernel.Dead
	case m.leaving || m.observed == kernel.Leaving:
		return kernel.Leaving
	case m.observed == kernel.Live && (m.listless || m.damper.HeldDown(now)):
		return kernel.Suspect
	default:
		return m.observed
	}
}

// observe returns a member's state by heartbeats if the node exchanges heartbeats
// with it, and by digests otherwise.
func (p *plugin) observe(now time.Time, m *member) kernel.State {
	lastBeat := m.lastBeat
	if lastBeat.Before(m.knownSince) {
		lastBeat = m.knownSince
	}
	sinceBeat := now.Sub(lastBeat)
	if !p.linked(m) {
		return p.observeByDigest(now, m, sinceBeat)
	}
	suspect := m.failures >= failuresSuspect || m.failures > 0 && m.lastBeat.IsZero()
	switch {
	case sinceBeat >= p.config.Dead:
		return kernel.Dead
	case sinceBeat >= p.config.Suspect || suspect:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}

func (p *plugin) observeByDigest(now time.Time, m *member, sinceBeat time.Duration) kernel.State {
	switch {
	case !m.listed && sinceBeat >= p.config.Dead && now.Sub(m.extraAt) >= regionStale:
		return kernel.Dead
	case m.digestState != kernel.Live:
		return m.digestState
	case p.digests.stale(now, p.scopeOf(m)) && sinceBeat >= digestStale:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}
