package pool

import (
	"cmp"
	"maps"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// noticeRetention is how long a notice is kept after the endpoint was last listed.
const noticeRetention = 10 * time.Minute

// notice is what an endpoint has reported of itself directly to this node,
// regardless of the instance list and the endpoint's owner.
type notice struct {
	addr netip.AddrPort
	// leaving is set if the endpoint is leaving, and incarnation is the one that
	// reported so; 0 if unknown.
	leaving     bool
	incarnation uint64
	// backoffUntil is the end of the backoff that the endpoint requested from
	// this node.
	backoffUntil time.Time
	// lastListed is when the endpoint was last listed.
	lastListed time.Time
}

// findNotice returns the notice of an endpoint, nil if there is none from its
// current address.
func (p *plugin) findNotice(m *member) *notice {
	if w := p.notices[m.endpoint.Name]; w != nil && w.addr == m.endpoint.Addr {
		return w
	}
	return nil
}

// notice returns the notice of an endpoint, and creates it if there is none.
func (p *plugin) notice(m *member, now time.Time) *notice {
	n := p.findNotice(m)
	if n == nil {
		n = &notice{addr: m.endpoint.Addr}
		p.notices[m.endpoint.Name] = n
	}
	n.lastListed = now
	return n
}

// notifiedLeaving reports whether an endpoint has notified this node that it is
// leaving.
func (p *plugin) notifiedLeaving(m *member) bool {
	n := p.findNotice(m)
	return n != nil && n.leaving
}

// otherIncarnation reports whether a notice is of another incarnation than the one
// that the node, as the endpoint's owner, knows from its load reports.
func (p *plugin) otherIncarnation(m *member, incarnation uint64) bool {
	known := m.endpoint.Owner == p.self.Name && m.incarnation != 0 && incarnation != 0
	return known && incarnation != m.incarnation
}

// receiveNotice applies an endpoint's notice of whether it is leaving. Once it is
// leaving, only another incarnation can revoke that.
func (p *plugin) receiveNotice(now time.Time, ev kernel.EndpointNotice, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil || p.otherIncarnation(m, ev.Incarnation) {
		return
	}
	n := p.notice(m, now)
	if ev.Leaving {
		n.leaving, n.incarnation = true, cmp.Or(ev.Incarnation, m.incarnation)
		p.leave(now, m, n.incarnation, out)
		return
	}
	if n.leaving && n.restarted(ev.Incarnation) {
		n.leaving, m.leaving = false, false
		out.Changed()
	}
}

// restarted reports whether an incarnation is another than the leaving one.
func (n *notice) restarted(incarnation uint64) bool {
	return n.incarnation != 0 && incarnation != 0 && incarnation != n.incarnation
}

// receiveBackoff applies an endpoint's request for backoff. A shorter backoff does
// not end a longer one.
func (p *plugin) receiveBackoff(now time.Time, ev kernel.EndpointBackoff, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil {
		return
	}
	if n := p.notice(m, now); ev.Until.After(n.backoffUntil) {
		n.backoffUntil = ev.Until
		out.Changed()
	}
}

// applyNotice applies the notice of a listed endpoint, and keeps the notice from
// expiring.
func (p *plugin) applyNotice(now time.Time, m *member, v *kernel.View) {
	m.endpoint.BackoffUntil = time.Time{}
	n := p.findNotice(m)
	if n == nil {
		return
	}
	n.lastListed = now
	if now.Before(n.backoffUntil) {
		m.endpoint.BackoffUntil = n.backoffUntil
	}
	m.leaving = m.leaving || n.leaving
	if n.leaving && m.endpoint.Owner != p.self.Name {
		v.Leavers = append(v.Leavers, m.endpoint)
	}
}

// expireNotices removes the notices of endpoints that have not been listed for
// noticeRetention.
func (p *plugin) expireNotices(now time.Time) {
	maps.DeleteFunc(p.notices, func(_ string, n *notice) bool { return now.Sub(n.lastListed) >= noticeRetention })
}
