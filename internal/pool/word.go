package pool

import (
	"cmp"
	"maps"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// wordFor is how long an endpoint's own word is kept after the endpoint was last
// listed.
const wordFor = 10 * time.Minute

// word is what an endpoint has told this node of itself, apart from what the list
// and its home say.
type word struct {
	addr netip.AddrPort
	// leaving says that it leaves, and incarnation which start of it has said so; 0
	// where it does not say.
	leaving     bool
	incarnation uint64
	// rest is until when it wants no requests from this node.
	rest time.Time
	// listed is when it was last listed.
	listed time.Time
}

// kept returns what an endpoint has told this node, nil if it has told nothing.
func (p *plugin) kept(m *member) *word {
	if w := p.words[m.endpoint.Name]; w != nil && w.addr == m.endpoint.Addr {
		return w
	}
	return nil
}

// word returns what is kept of an endpoint, to be written to.
func (p *plugin) word(m *member, now time.Time) *word {
	w := p.kept(m)
	if w == nil {
		w = &word{addr: m.endpoint.Addr}
		p.words[m.endpoint.Name] = w
	}
	w.listed = now
	return w
}

// said reports whether an endpoint has told this node that it leaves.
func (p *plugin) said(m *member) bool {
	w := p.kept(m)
	return w != nil && w.leaving
}

// outdated reports whether a word is of another start than that which the node, as
// the endpoint's home, knows from its reports.
func (p *plugin) outdated(m *member, incarnation uint64) bool {
	known := m.endpoint.Home == p.self.Name && m.incarnation != 0 && incarnation != 0
	return known && incarnation != m.incarnation
}

// spoke applies an endpoint's own word on whether it leaves. Only another start of
// it takes that back.
func (p *plugin) spoke(now time.Time, ev kernel.EndpointSpoke, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil || p.outdated(m, ev.Incarnation) {
		return
	}
	w := p.word(m, now)
	if ev.Leaving {
		w.leaving, w.incarnation = true, cmp.Or(ev.Incarnation, m.incarnation)
		p.leave(now, m, w.incarnation, out)
		return
	}
	if w.leaving && w.startedAgain(ev.Incarnation) {
		w.leaving, m.leaving = false, false
		out.Changed()
	}
}

// startedAgain reports whether another start than the one that leaves has answered.
func (w *word) startedAgain(incarnation uint64) bool {
	return w.incarnation != 0 && incarnation != 0 && incarnation != w.incarnation
}

// rests applies an endpoint's wish to get no requests from this node; a shorter one
// does not end a longer one.
func (p *plugin) rests(now time.Time, ev kernel.EndpointRests, out *kernel.Output) {
	m := p.members[ev.Endpoint]
	if m == nil {
		return
	}
	if w := p.word(m, now); ev.Until.After(w.rest) {
		w.rest = ev.Until
		out.Changed()
	}
}

// heed writes what an endpoint has told this node, and keeps it in mind while the
// endpoint is listed.
func (p *plugin) heed(now time.Time, m *member, v *kernel.View) {
	m.endpoint.Rest = time.Time{}
	w := p.kept(m)
	if w == nil {
		return
	}
	w.listed = now
	if now.Before(w.rest) {
		m.endpoint.Rest = w.rest
	}
	m.leaving = m.leaving || w.leaving
	if w.leaving && m.endpoint.Home != p.self.Name {
		v.Leavers = append(v.Leavers, m.endpoint)
	}
}

// forgetWords drops the words of endpoints that have not been listed for long.
func (p *plugin) forgetWords(now time.Time) {
	maps.DeleteFunc(p.words, func(_ string, w *word) bool { return now.Sub(w.listed) >= wordFor })
}
