package pool

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// failuresDead is the failures in a row, over at least deadAfter, from
	// which an endpoint is dead.
	failuresDead = 3
	deadAfter    = 2 * time.Second
	// markHold is how long a leave mark outweighs the home's word that the
	// endpoint takes work; later the home speaks of a new incarnation.
	markHold = 10 * time.Second
	// massDrop is the endpoints a list must drop at once to be doubted, and
	// dropHold how long it is.
	massDrop = 3
	dropHold = time.Minute
)

// member is an endpoint.
type member struct {
	endpoint    kernel.Endpoint
	listed      bool
	listLeaving bool
	leaving     bool
	left        time.Time
	dropped     time.Time
	incarnation uint64
	// raw is the state without regard to leave marks and flaps.
	raw          kernel.State
	failures     int
	firstFailure time.Time
	failed       time.Time
	damper       kernel.Damper
	// homeChanged is when the home last changed, homeSerial the nodes it was
	// worked out for.
	homeChanged time.Time
	homeSerial  uint64
	// told is the load that the home told last, toldAt when, and base what the
	// node itself had dispatched then.
	told   kernel.Load
	toldAt time.Time
	base   kernel.Load
	// reported is the endpoint's own report.
	reported kernel.Load
	// own is set where told is what the node's own gate counts.
	own bool
	// absent is the state that the newest digest of the endpoint's cell tells.
	absent kernel.State
}

// current returns the load as far as it is known now.
//
// A load that a home told is old by up to a heartbeat. A node that sends many
// requests in between would see the endpoint idle and send it more; the node's
// own dispatches since then are therefore added.
func (m *member) current(sent kernel.Load, home bool) kernel.Load {
	if home && m.own {
		return m.told
	}
	return kernel.Load{
		Requests: max(m.told.Requests+sent.Requests-m.base.Requests, 0),
		Tokens:   max(m.told.Tokens+sent.Tokens-m.base.Tokens, 0),
	}
}

func (m *member) state(now time.Time) kernel.State {
	state := max(m.raw, m.absent)
	switch {
	case state == kernel.Dead:
		return kernel.Dead
	case m.leaving || state == kernel.Leaving:
		return kernel.Leaving
	case m.damper.Quiet(now):
		return kernel.Suspect
	default:
		return state
	}
}

// leave notes that an endpoint's incarnation is leaving, and spreads it.
func (p *plugin) leave(now time.Time, m *member, incarnation uint64, out *kernel.Output) {
	if m.leaving {
		return
	}
	m.leaving = true
	m.left = now
	out.Raise(kernel.Marked{Mark: kernel.Mark{
		Name: m.endpoint.Name, Kind: kernel.KindEndpoint, Incarnation: incarnation,
	}})
	out.Changed()
}

// mark applies a leave mark that another node found out.
func (p *plugin) mark(now time.Time, mark kernel.Mark, out *kernel.Output) {
	m := p.members[mark.Name]
	if mark.Kind != kernel.KindEndpoint || m == nil || m.leaving {
		return
	}
	if mark.Incarnation != m.incarnation && mark.Incarnation != 0 && m.incarnation != 0 {
		return
	}
	m.leaving = true
	m.left = now
	out.Changed()
}

// report applies an endpoint's own report, which the home reads.
func (p *plugin) report(now time.Time, ev kernel.LoadReported, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil {
		return
	}
	if ev.Incarnation != m.incarnation && ev.Incarnation != 0 {
		if w := p.words[ev.Endpoint]; m.incarnation != 0 || w != nil && w.startedAgain(ev.Incarnation) {
			delete(p.words, ev.Endpoint)
			m.leaving = false
		}
		m.incarnation = ev.Incarnation
	}
	m.answered(now)
	m.endpoint.Models = ev.Models
	m.reported = ev.Load
	if !m.own {
		m.told, m.toldAt, m.base = ev.Load, now, kernel.Load{}
	}
	if ev.Leaving {
		p.leave(now, m, m.incarnation, out)
	}
}

// answered notes that an endpoint answered. Coming back from more than one
// failure is a flap.
func (m *member) answered(now time.Time) {
	if m.raw == kernel.Dead || m.failures > 1 {
		m.damper.Flap(now)
	}
	m.raw = kernel.Live
	m.failures = 0
}

// fail notes an attempt or a load request that an endpoint did not answer.
//
// One failure may be the request's fault, so it makes the endpoint suspect for
// a short time only. An endpoint that answers neither requests nor its home's
// load requests for seconds is dead, whatever a stale list says.
func (p *plugin) fail(now time.Time, name string, out *kernel.Output) {
	m := p.members[name]
	if m == nil {
		return
	}
	if m.failures == 0 {
		m.firstFailure = now
	}
	m.failures++
	m.failed = now
	m.raw = max(m.raw, kernel.Suspect)
	if m.failures >= failuresDead && now.Sub(m.firstFailure) >= deadAfter {
		m.raw = kernel.Dead
	}
	out.Changed()
}

// age ends the suspicion of endpoints that nobody reports on.
func (p *plugin) age(now time.Time) {
	for _, m := range p.members {
		if m.raw == kernel.Suspect && now.Sub(m.failed) >= p.config.Quiet {
			m.raw = kernel.Live
			m.failures = 0
		}
		if m.raw == kernel.Dead && m.endpoint.Home != p.self.Name && now.Sub(m.failed) >= markHold {
			m.raw = kernel.Live
			m.failures = 0
		}
	}
}

// wake forgets failures: a process that was paused timed out its own requests.
func (p *plugin) wake(now time.Time) {
	for _, m := range p.members {
		m.failures = 0
		if m.raw == kernel.Suspect {
			m.raw = kernel.Live
		}
		m.homeChanged = now
	}
	p.homes.forget()
}
