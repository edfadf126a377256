package pool

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// sumsStale is the age from which the sums of another cell are left out of
	// the region's total, meanStale that from which their mean is not used as
	// the load of an endpoint.
	sumsStale = 10 * time.Second
	meanStale = 25 * time.Second
	// fullInterval is how often unchanged loads are sent to a peer again.
	fullInterval = 10 * time.Second
	// handover is how long a new owner also considers the endpoint's own load
	// report.
	handover = 10 * time.Second
)

type (
	// scopeSums is the load of each service in a cell or region.
	scopeSums struct {
		at   time.Time
		sums map[string]kernel.Sum
	}

	// peerLoads is the loads that were last sent to a peer. fullAt is when all of
	// them were sent.
	peerLoads struct {
		fullAt time.Time
		loads  map[string]kernel.EndpointLoad
	}
)

// Beat adds the loads of the endpoints that the node owns to a heartbeat to a peer
// in its cell. It leaves out those that have not changed since the last heartbeat
// to that peer.
func (p *plugin) Beat(now time.Time, to string, b *kernel.Heartbeat) {
	if !b.SameCell {
		return
	}
	last := p.sentLoads[to]
	if last == nil || b.Intro != nil || now.Sub(last.fullAt) >= fullInterval {
		last = &peerLoads{fullAt: now, loads: map[string]kernel.EndpointLoad{}}
		p.sentLoads[to] = last
	}
	for _, l := range p.ownedLoads(now) {
		if old, known := last.loads[l.Endpoint]; known && old == l {
			continue
		}
		last.loads[l.Endpoint] = l
		b.Loads = append(b.Loads, l)
	}
}

// Summarize adds the load of each service in the cell, and the cell's endpoints
// that are not live.
func (p *plugin) Summarize(now time.Time, d *kernel.Digest) {
	sums := map[string]kernel.Sum{}
	p.applyOwnCounts(now)
	for _, m := range p.sorted {
		if !p.inCell(m.endpoint.Zone) {
			continue
		}
		if state := m.state(now); state != kernel.Live {
			d.Absent = append(d.Absent, kernel.Absence{Instance: m.endpoint.Name, State: state})
			continue
		}
		s := sums[m.endpoint.Service]
		s.Service = m.endpoint.Service
		s.Live++
		s.Load = s.Load.Add(m.load)
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

// receive applies the loads that an owner reports.
func (p *plugin) receive(now time.Time, b *kernel.Heartbeat) {
	if len(b.Loads) == 0 {
		return
	}
	sent := loadsByName(p.config.Dispatched())
	for _, l := range b.Loads {
		m := p.members[l.Endpoint]
		if m == nil || m.endpoint.Owner == p.self.Name {
			continue
		}
		m.load, m.loadAt, m.sentBase, m.ownCount = l.Load, now, sent[l.Endpoint], false
		p.applyReportedState(now, m, l.State)
	}
}

// applyReportedState applies an endpoint's state from its owner or a digest.
func (p *plugin) applyReportedState(now time.Time, m *member, state kernel.State) {
	if state == kernel.Leaving {
		if !m.leaving {
			m.leaving, m.leftAt = true, now
		}
		return
	}
	if m.leaving && now.Sub(m.leftAt) >= markHold && !p.notifiedLeaving(m) {
		m.leaving = false
	}
	m.reportedState = state
}

// receiveDigest applies the summary of another cell or region.
func (p *plugin) receiveDigest(now time.Time, d kernel.Digest) {
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
			p.applyReportedState(now, m, absent[name])
		}
	}
}

// ownedLoads returns the loads of the endpoints that the node owns.
func (p *plugin) ownedLoads(now time.Time) []kernel.EndpointLoad {
	p.applyOwnCounts(now)
	loads := make([]kernel.EndpointLoad, 0, len(p.owned))
	for _, m := range p.owned {
		loads = append(loads, kernel.EndpointLoad{Endpoint: m.endpoint.Name, Load: m.load, State: m.state(now)})
	}
	return loads
}

// applyOwnCounts applies the loads that the node's own gate counts. A new owner has
// not counted what the previous one admitted, so at first it uses the endpoint's own
// report if that is higher.
func (p *plugin) applyOwnCounts(now time.Time) {
	for _, own := range p.config.Admitted() {
		m := p.members[own.Endpoint]
		if m == nil || m.endpoint.Owner != p.self.Name {
			continue
		}
		m.load, m.loadAt, m.ownCount = own.Load, now, true
		if now.Sub(m.ownerChanged) < handover {
			m.load.Requests = max(m.load.Requests, m.reported.Requests)
			m.load.Tokens = max(m.load.Tokens, m.reported.Tokens)
		}
	}
}

// meanLoad returns the mean load of the endpoints of the same service in an
// endpoint's cell or region; zero if it is not known.
func (p *plugin) meanLoad(now time.Time, e kernel.Endpoint) kernel.Load {
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
