package pool

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// sumsStale is the age from which the sums of another cell do not count in
	// the region's mean, meanStale that from which they say nothing of an
	// endpoint.
	sumsStale = 10 * time.Second
	meanStale = 25 * time.Second
	// fullInterval is how often a peer is told loads that have not changed.
	fullInterval = 10 * time.Second
	// handover is how long an endpoint's own report counts beside its new
	// home's gate.
	handover = 10 * time.Second
)

type (
	// scopeSums is the load of the services in a cell or region.
	scopeSums struct {
		at   time.Time
		sums map[string]kernel.Sum
	}

	// peerLoads is what a peer was told.
	peerLoads struct {
		full  time.Time
		loads map[string]kernel.EndpointLoad
	}
)

// Beat tells a peer of the cell the loads of the endpoints whose home the node
// is, as far as they changed since the last heartbeat to that peer.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Beat) {
	if !b.Near {
		return
	}
	t := p.told[to]
	if t == nil || b.Intro != nil || now.Sub(t.full) >= fullInterval {
		t = &peerLoads{full: now, loads: map[string]kernel.EndpointLoad{}}
		p.told[to] = t
	}
	for _, l := range p.ownLoads(now) {
		if old, known := t.loads[l.Endpoint]; known && old == l {
			continue
		}
		t.loads[l.Endpoint] = l
		b.Loads = append(b.Loads, l)
	}
}

// Summarize adds the sums of the cell's services, and the cell's endpoints that
// are not live.
func (p *plugin) Summarize(now time.Time, d *kernel.Digest) {
	sums := map[string]kernel.Sum{}
	p.takeOwn(now)
	for _, m := range p.sorted {
		if !p.near(m.endpoint.Zone) {
			continue
		}
		if state := m.state(now); state != kernel.Live {
			d.Absent = append(d.Absent, kernel.Absence{Instance: m.endpoint.Name, State: state})
			continue
		}
		s := sums[m.endpoint.Service]
		s.Service = m.endpoint.Service
		s.Live++
		s.Load = s.Load.Add(m.told)
		sums[s.Service] = s
	}
	for _, s := range sums {
		d.Sums = append(d.Sums, s)
	}
	slices.SortFunc(d.Sums, func(a, b kernel.Sum) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
}

// receive applies the loads that a home tells.
func (p *plugin) receive(now time.Time, b *kernel.Beat) {
	if len(b.Loads) == 0 {
		return
	}
	sent := loadsByName(p.config.Sent())
	for _, l := range b.Loads {
		m := p.members[l.Endpoint]
		if m == nil || m.endpoint.Home == p.self.Name {
			continue
		}
		m.told, m.toldAt, m.base, m.own = l.Load, now, sent[l.Endpoint], false
		p.opinion(now, m, l.State)
	}
}

// opinion takes over a home's opinion of an endpoint.
func (p *plugin) opinion(now time.Time, m *member, state kernel.State) {
	if state == kernel.Leaving {
		if !m.leaving {
			m.leaving, m.left = true, now
		}
		return
	}
	if m.leaving && now.Sub(m.left) >= markHold && !p.said(m) {
		m.leaving = false
	}
	m.absent = state
}

// digest applies the summary of another cell or region.
func (p *plugin) digest(now time.Time, d kernel.Digest) {
	s := scopeSums{at: now, sums: make(map[string]kernel.Sum, len(d.Sums))}
	for _, sum := range d.Sums {
		s.sums[sum.Service] = sum
	}
	p.sums[d.Scope] = s
	absent := make(map[string]kernel.State, len(d.Absent))
	for _, a := range d.Absent {
		absent[a.Instance] = a.State
	}
	for name, m := range p.members {
		if p.scopes[m.endpoint.Zone] == d.Scope {
			p.opinion(now, m, absent[name])
		}
	}
}

// ownLoads returns the loads of the endpoints whose home the node is.
func (p *plugin) ownLoads(now time.Time) []kernel.EndpointLoad {
	p.takeOwn(now)
	loads := make([]kernel.EndpointLoad, 0, len(p.mine))
	for _, m := range p.mine {
		loads = append(loads, kernel.EndpointLoad{Endpoint: m.endpoint.Name, Load: m.told, State: m.state(now)})
	}
	return loads
}

// takeOwn takes over what the node's own gate counts. A new home has not
// counted what the one before it admitted, so at first the endpoint's own report
// counts too.
func (p *plugin) takeOwn(now time.Time) {
	for _, own := range p.config.Own() {
		m := p.members[own.Endpoint]
		if m == nil || m.endpoint.Home != p.self.Name {
			continue
		}
		m.told, m.toldAt, m.own = own.Load, now, true
		if now.Sub(m.homeChanged) < handover {
			m.told.Requests = max(m.told.Requests, m.reported.Requests)
			m.told.Tokens = max(m.told.Tokens, m.reported.Tokens)
		}
	}
}

// mean returns the mean load of the endpoints of a service in the cell or
// region of an endpoint.
func (p *plugin) mean(now time.Time, e kernel.Endpoint) kernel.Load {
	s := p.sums[p.scopes[e.Zone]]
	sum := s.sums[e.Service]
	if sum.Live == 0 || now.Sub(s.at) >= meanStale {
		return kernel.Load{}
	}
	return kernel.Load{Requests: sum.Load.Requests / sum.Live, Tokens: sum.Load.Tokens / sum.Live}
}

// addSums adds the load of the region's other cells to the pools.
func (p *plugin) addSums(now time.Time, v *kernel.View) {
	region := make(map[string]bool)
	for _, z := range v.Manifest.Zones {
		if z.Region == v.Self.Region && p.scopes[z.Name] != p.cell {
			region[p.scopes[z.Name]] = true
		}
	}
	for scope := range region {
		s := p.sums[scope]
		if now.Sub(s.at) >= sumsStale {
			continue
		}
		for service, sum := range s.sums {
			if pool := v.Pools[service]; pool != nil {
				pool.Total = pool.Total.Add(sum.Load)
				pool.Live += sum.Live
			}
		}
	}
}

func loadsByName(list []kernel.EndpointLoad) map[string]kernel.Load {
	loads := make(map[string]kernel.Load, len(list))
	for _, l := range list {
		loads[l.Endpoint] = l.Load
	}
	return loads
}
