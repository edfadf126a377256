package pool

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// failuresDead is the number of consecutive failures, over at least
	// deadAfter, from which an endpoint is dead.
	failuresDead = 3
	deadAfter    = 2 * time.Second
	// markHold is how long a leave notice overrides a report of the owner that
	// the endpoint takes work. After that, the report is about a new incarnation.
	// It is also how long a node that is not the owner considers an endpoint dead
	// after the last failure.
	markHold = 10 * time.Second
	// massRemoval is the number of endpoints that a list must lack at once to be
	// distrusted, and removalHold how long it is.
	massRemoval = 3
	removalHold = time.Minute
)

// member is an endpoint.
type member struct {
	endpoint    kernel.Endpoint
	listed      bool
	listLeaving bool
	leaving     bool
	leftAt      time.Time
	// droppedAt is when a list with a mass removal first lacked the endpoint.
	droppedAt   time.Time
	incarnation uint64
	// observed is the state by this node's own requests, without leave notices and
	// flap damping.
	observed     kernel.State
	failures     int
	firstFailure time.Time
	lastFailure  time.Time
	damper       kernel.Damper
	// ownerChanged is when the owner last changed, ownerGeneration the generation
	// of owners in which it was assigned.
	ownerChanged    time.Time
	ownerGeneration uint64
	// load is the last known load, loadAt when it was reported or counted, and
	// sentBase what the node itself had dispatched when the owner reported it.
	load     kernel.Load
	loadAt   time.Time
	sentBase kernel.Load
	// reported is the load in the endpoint's own report.
	reported kernel.Load
	// ownCount is set if load is the count of the node's own gate.
	ownCount bool
	// reportedState is the state last reported by the owner or a digest.
	reportedState kernel.State
}

// currentLoad returns an estimate of the current load.
//
// A load reported by the owner is up to one heartbeat old. A node that sends many
// requests in the meantime would consider the endpoint idle and send it more, so
// the change of its own dispatches since the report is added.
func (m *member) currentLoad(sent kernel.Load, owned bool) kernel.Load {
	if owned && m.ownCount {
		return m.load
	}
	return kernel.Load{
		Requests: max(m.load.Requests+sent.Requests-m.sentBase.Requests, 0),
		Tokens:   max(m.load.Tokens+sent.Tokens-m.sentBase.Tokens, 0),
	}
}

func (m *member) state(now time.Time) kernel.State {
	state := max(m.observed, m.reportedState)
	switch {
	case state == kernel.Dead:
		return kernel.Dead
	case m.leaving || state == kernel.Leaving:
		return kernel.Leaving
	case m.damper.HeldDown(now):
		return kernel.Suspect
	default:
		return state
	}
}

// leave marks an endpoint's incarnation as leaving, and propagates that.
func (p *plugin) leave(now time.Time, m *member, incarnation uint64, out *kernel.Output) {
	if m.leaving {
		return
	}
	m.leaving = true
	m.leftAt = now
	out.Raise(kernel.InstanceLeaving{Notice: kernel.LeaveNotice{
		Name: m.endpoint.Name, Kind: kernel.KindEndpoint, Incarnation: incarnation,
	}})
	out.Changed()
}

// mark applies a leave notice from another node.
func (p *plugin) mark(now time.Time, mark kernel.LeaveNotice, out *kernel.Output) {
	m := p.members[mark.Name]
	if mark.Kind != kernel.KindEndpoint || m == nil || m.leaving {
		return
	}
	if mark.Incarnation != m.incarnation && mark.Incarnation != 0 && m.incarnation != 0 {
		return
	}
	m.leaving = true
	m.leftAt = now
	out.Changed()
}

// report applies an endpoint's own load report, which the owner reads.
func (p *plugin) report(now time.Time, ev kernel.LoadReported, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil {
		return
	}
	if ev.Incarnation != m.incarnation && ev.Incarnation != 0 {
		if n := p.notices[ev.Endpoint]; m.incarnation != 0 || n != nil && n.restarted(ev.Incarnation) {
			delete(p.notices, ev.Endpoint)
			m.leaving = false
		}
		m.incarnation = ev.Incarnation
	}
	m.recordSuccess(now)
	m.endpoint.Models = ev.Models
	m.reported = ev.Load
	if !m.ownCount {
		m.load, m.loadAt, m.sentBase = ev.Load, now, kernel.Load{}
	}
	if ev.Leaving {
		p.leave(now, m, m.incarnation, out)
	}
}

// recordSuccess records that an endpoint answered. It counts as a flap after more than
// one failure.
func (m *member) recordSuccess(now time.Time) {
	if m.observed == kernel.Dead || m.failures > 1 {
		m.damper.Flap(now)
	}
	m.observed = kernel.Live
	m.failures = 0
}

// fail records that an endpoint did not answer an attempt or a load request.
//
// One failure may be caused by the request, so it makes the endpoint suspect only
// for a short time. An endpoint that answers neither requests nor its owner's load
// requests for seconds is dead, even if a stale list contains it.
func (p *plugin) fail(now time.Time, name string, out *kernel.Output) {
	m := p.members[name]
	if m == nil {
		return
	}
	if m.failures == 0 {
		m.firstFailure = now
	}
	m.failures++
	m.lastFailure = now
	m.observed = max(m.observed, kernel.Suspect)
	if m.failures >= failuresDead && now.Sub(m.firstFailure) >= deadAfter {
		m.observed = kernel.Dead
	}
	out.Changed()
}

// age makes suspect endpoints live again after Config.Quiet, and dead ones of other
// owners after markHold.
func (p *plugin) age(now time.Time) {
	for _, m := range p.members {
		if m.observed == kernel.Suspect && now.Sub(m.lastFailure) >= p.config.Quiet {
			m.observed = kernel.Live
			m.failures = 0
		}
		if m.observed == kernel.Dead && m.endpoint.Owner != p.self.Name && now.Sub(m.lastFailure) >= markHold {
			m.observed = kernel.Live
			m.failures = 0
		}
	}
}

// resume resets failures after a pause of the process, because the pause itself made
// its requests time out.
func (p *plugin) resume(now time.Time) {
	for _, m := range p.members {
		m.failures = 0
		if m.observed == kernel.Suspect {
			m.observed = kernel.Live
		}
		m.ownerChanged = now
	}
	p.owners.invalidate()
}
