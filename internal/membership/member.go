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
	// listless is set while the node says that it has no instance list.
	//
	// A node that starts while the platform is down beats as any other, but
	// knows no endpoints. Taken for live, it would become the home of some, and
	// every ask for them would be answered that they are gone: requests wait
	// for their deadlines though the endpoints are idle.
	listless bool
	// left is when the leave mark was learned; listLeaving is what the list
	// says.
	left        time.Time
	listLeaving bool
	// raw is the state without regard to flaps.
	raw kernel.State
	// started is when the incarnation started, by its own account.
	started time.Time
	// heard is the last heartbeat; known is when the node was first told of.
	heard time.Time
	known time.Time
	// since is when the node became live.
	since    time.Time
	failures int
	damper   kernel.Damper
	// absent is the state that the newest digest of its cell tells.
	absent kernel.State
	// extra is when a digest last told of the node, which is not on the list.
	extra time.Time
	// introduced is the incarnation that was sent an Intro.
	introduced uint64
	// next is when the next heartbeat is due; pause grows while it is dead.
	next  time.Time
	pause time.Duration
	// told is the newest digest the node was sent, by scope.
	told map[string]version
}

const (
	// failuresSuspect is the heartbeats in a row that fail before a node that
	// answered before is suspect.
	failuresSuspect = 2
	// failurePause is the time until a failed heartbeat is sent again.
	failurePause = 250 * time.Millisecond
)

func (m *member) intro() kernel.Intro {
	return kernel.Intro{Instance: kernel.Instance{
		Name: m.node.Name, Kind: kernel.KindNode, Zone: m.node.Zone,
		Addr: m.node.Caller, Peer: m.node.Peer, Leaving: m.leaving,
	}}
}

// describe takes over what an instance entry says of the node.
func (m *member) describe(i kernel.Instance, region string) {
	m.node.Name = i.Name
	m.node.Zone = i.Zone
	m.node.Region = region
	m.node.Caller = i.Addr
	m.node.Peer = i.Peer
}

// leave notes that the incarnation is leaving.
func (m *member) leave(now time.Time) {
	if !m.leaving {
		m.leaving = true
		m.left = now
	}
}

// renew forgets what belongs to an earlier incarnation.
func (m *member) renew(incarnation uint64, started time.Time) {
	m.node.Incarnation = incarnation
	m.started = started
	m.leaving = false
	m.introduced = 0
	m.told = map[string]version{}
}

// list applies the platform's list.
//
// The list lags: it names nodes that are dead and lacks nodes that beat. A node
// that is not listed stays as long as it beats, and a listed one that is silent
// is dead all the same.
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
		// The list may go on about an incarnation that has ended, so only its
		// turn to leaving counts.
		turned := i.Leaving && !m.listLeaving
		m.listLeaving = i.Leaving
		if turned {
			m.leave(now)
			out.Raise(kernel.Marked{Mark: kernel.Mark{
				Name: i.Name, Kind: kernel.KindNode, Incarnation: m.node.Incarnation,
			}})
		}
	}
	p.age(now, out)
	p.changed(out)
}

// listSelf takes the node's own addresses from the list where it listens on
// every address of its instance and so cannot tell which one others reach.
func (p *plugin) listSelf(i kernel.Instance, out *kernel.Output) {
	if p.self.Caller.Addr().IsUnspecified() {
		p.self.Caller = i.Addr
	}
	if p.self.Peer.Addr().IsUnspecified() {
		p.self.Peer = i.Peer
	}
	if i.Leaving && !p.leaving {
		out.Raise(kernel.Marked{Mark: kernel.Mark{
			Name: p.self.Name, Kind: kernel.KindNode, Incarnation: p.self.Incarnation,
		}})
	}
}

func (p *plugin) member(now time.Time, name string) *member {
	m := p.members[name]
	if m == nil {
		m = &member{known: now, since: now, next: now, told: map[string]version{}}
		p.members[name] = m
	}
	return m
}

// receive applies a heartbeat.
func (p *plugin) receive(now time.Time, b *kernel.Beat, out *kernel.Output) {
	if b.Node == "" || b.Node == p.self.Name {
		return
	}
	m := p.sender(now, b, out)
	if m == nil {
		return
	}
	m.heard = now
	m.failures = 0
	m.pause = 0
	m.listless = b.Listless
	if m.node.Active != b.Active {
		m.node.Active = b.Active
		p.nodes = nil
	}
	m.next = p.due(now, m)
	if b.Leaving {
		m.leave(now)
	}
	if p.doubt.active {
		p.doubt.heard[b.Node] = true
		p.reassure(now, out)
	}
	p.takeDigests(now, m, b.Digests, out)
	p.update(now, m, out)
}

// sender returns the member that sent a heartbeat, nil where the heartbeat is
// of an incarnation that has ended or of a node that nobody knows.
//
// A heartbeat of an earlier incarnation may be under way when the node restarts
// under its name. Taken for news, it would bring back the old incarnation, and
// with it leave marks and addresses. The incarnation that started last wins.
func (p *plugin) sender(now time.Time, b *kernel.Beat, out *kernel.Output) *member {
	m := p.members[b.Node]
	if m == nil && b.Intro == nil {
		return nil
	}
	if m == nil {
		m = p.member(now, b.Node)
	}
	if m.node.Incarnation != b.Incarnation {
		if !p.succeed(now, m, b) {
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

// succeed takes over a new incarnation, and reports whether it did.
func (p *plugin) succeed(now time.Time, m *member, b *kernel.Beat) bool {
	started := now
	if b.Intro != nil {
		started = now.Add(-b.Intro.Age)
	}
	first := m.node.Incarnation == 0
	silent := now.Sub(m.heard) >= p.config.Suspect
	later := b.Intro != nil && started.After(m.started)
	if !first && !later && !silent {
		return false
	}
	if first && m.leaving {
		m.node.Incarnation, m.started = b.Incarnation, started
		return true
	}
	m.renew(b.Incarnation, started)
	return true
}

// fail applies a heartbeat that got no answer.
func (p *plugin) fail(now time.Time, name string, out *kernel.Output) {
	m := p.members[name]
	if m == nil {
		return
	}
	m.failures++
	m.introduced = 0
	m.told = map[string]version{}
	if m.node.State != kernel.Dead {
		m.next = now.Add(failurePause)
	}
	p.update(now, m, out)
}

// mark applies a leave mark. A mark without an incarnation is of the one that
// the platform lists.
func (p *plugin) mark(now time.Time, mark kernel.Mark, out *kernel.Output) {
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

// age updates the states of all members and drops those that are gone.
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

// update works out a member's state.
func (p *plugin) update(now time.Time, m *member, out *kernel.Output) {
	raw := p.evidence(now, m)
	if raw == kernel.Live && m.raw != kernel.Live {
		m.damper.Flap(now)
	}
	m.raw = raw
	state := m.state(now)
	if state == kernel.Live && m.node.State != kernel.Live {
		m.since = now
	}
	settled := state == kernel.Live && now.Sub(m.since) >= p.config.Settle
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
	case m.raw == kernel.Dead:
		return kernel.Dead
	case m.leaving || m.raw == kernel.Leaving:
		return kernel.Leaving
	case m.raw == kernel.Live && (m.listless || m.damper.Quiet(now)):
		return kernel.Suspect
	default:
		return m.raw
	}
}

// evidence returns the state by heartbeats for the nodes that the node beats to,
// and by digests for all others.
func (p *plugin) evidence(now time.Time, m *member) kernel.State {
	heard := m.heard
	if heard.Before(m.known) {
		heard = m.known
	}
	silent := now.Sub(heard)
	if !p.linked(m) {
		return p.told(now, m, silent)
	}
	suspect := m.failures >= failuresSuspect || m.failures > 0 && m.heard.IsZero()
	switch {
	case silent >= p.config.Dead:
		return kernel.Dead
	case silent >= p.config.Suspect || suspect:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}

func (p *plugin) told(now time.Time, m *member, silent time.Duration) kernel.State {
	switch {
	case !m.listed && silent >= p.config.Dead && now.Sub(m.extra) >= regionStale:
		return kernel.Dead
	case m.absent != kernel.Live:
		return m.absent
	case p.digests.stale(now, p.scope(m)) && silent >= digestStale:
		return kernel.Suspect
	default:
		return kernel.Live
	}
}
