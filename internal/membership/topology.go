package membership

import (
	"slices"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// relaysPerCell, gatewaysPerRegion and watchersPerZone are the numbers of
	// nodes that share a role, so that the role outlives the loss of one.
	relaysPerCell     = 2
	gatewaysPerRegion = 2
	watchersPerZone   = 2
	// meshHysteresis is added to Config.Mesh for a region that is one cell, so
	// that it is not split and merged again while nodes join and leave.
	meshHysteresis = 4

	prefixCell   = "cell/"
	prefixRegion = "region/"
)

// topology is the node's view of the roles and of which nodes exchange heartbeats.
type topology struct {
	region string
	cell   string
	// meshed holds the regions that are one cell.
	meshed map[string]bool
	// relays holds the relays of each cell in the node's region, gateways those
	// of each region, by descending score.
	relays   map[string][]string
	gateways map[string][]string
	watchers []string
	// links holds the members that the node sends heartbeats to.
	links map[string]bool
	// scopes is the scope of the digests that cover a zone, by zone.
	scopes map[string]string
}

// topology returns the current topology, which is cached until members change.
func (p *plugin) topology() *topology {
	if p.topo != nil {
		return p.topo
	}
	t := &topology{
		region:   prefixRegion + p.self.Region,
		meshed:   p.meshedRegions(),
		relays:   map[string][]string{},
		gateways: map[string][]string{},
		links:    map[string]bool{},
	}
	p.topo = t
	t.cell = t.cellOf(p.self)
	cells, regions, zone := p.group(t)
	for cell, nodes := range cells {
		t.relays[cell] = topByScore("relay/"+cell, nodes, relaysPerCell)
	}
	for region, nodes := range regions {
		t.gateways[region] = topByScore("gateway/"+region, nodes, gatewaysPerRegion)
	}
	t.watchers = topByScore("watcher/"+p.self.Zone, zone, watchersPerZone)
	p.link(t)
	t.scopes = map[string]string{p.self.Zone: t.cell}
	for zone, region := range p.regions {
		t.scopes[zone] = prefixRegion + region
		if region == p.self.Region {
			t.scopes[zone] = t.cellOf(kernel.Node{Zone: zone, Region: region})
		}
	}
	return t
}

// group returns the names of the nodes that can have a role: by cell in the node's
// region, by region, and in the node's zone.
func (p *plugin) group(t *topology) (cells, regions map[string][]string, zone []string) {
	cells, regions = map[string][]string{}, map[string][]string{}
	add := func(n kernel.Node) {
		region := prefixRegion + n.Region
		regions[region] = append(regions[region], n.Name)
		if region == t.region {
			cell := t.cellOf(n)
			cells[cell] = append(cells[cell], n.Name)
		}
		if n.Zone == p.self.Zone {
			zone = append(zone, n.Name)
		}
	}
	if !p.leaving && !p.resync.active {
		add(p.self)
	}
	for _, m := range p.members {
		if m.node.State == kernel.Live {
			add(m.node)
		}
	}
	return cells, regions, zone
}

// link sets the members that the node sends heartbeats to.
func (p *plugin) link(t *topology) {
	for name, m := range p.members {
		if t.cellOf(m.node) == t.cell {
			t.links[name] = true
		}
	}
	t.linkByRank(t.relays, t.cell, p.self.Name)
	t.linkByRank(t.gateways, t.region, p.self.Name)
}

// linkByRank links a node that has a role in its own group with the node of the
// same rank in every other group. All ranks send the same digests, so that the loss
// of one node stops none of them.
func (t *topology) linkByRank(groups map[string][]string, own, self string) {
	rank := slices.Index(groups[own], self)
	if rank < 0 {
		return
	}
	for scope, names := range groups {
		if scope != own && len(names) > 0 {
			t.links[names[rank%len(names)]] = true
		}
	}
}

// meshedRegions returns the regions that are small enough to be one cell.
func (p *plugin) meshedRegions() map[string]bool {
	count := map[string]int{p.self.Region: 1}
	for _, m := range p.members {
		count[m.node.Region]++
	}
	meshed := map[string]bool{}
	for region, n := range count {
		limit := p.config.Mesh
		if p.digests.meshed[region] {
			limit += meshHysteresis
		}
		meshed[region] = n <= limit
	}
	p.digests.meshed = meshed
	return meshed
}

func (t *topology) cellOf(n kernel.Node) string {
	if t.meshed[n.Region] {
		return prefixCell + prefixRegion + n.Region
	}
	return prefixCell + n.Zone
}

// inCell reports whether a member is in the node's cell.
func (p *plugin) inCell(m *member) bool {
	t := p.topology()
	return t.cellOf(m.node) == t.cell
}

// linked reports whether the node sends heartbeats to a member.
func (p *plugin) linked(m *member) bool { return p.topology().links[m.node.Name] }

// scopeOf returns the scope of the digests that cover a member.
func (p *plugin) scopeOf(m *member) string {
	if scope, known := p.topology().scopes[m.node.Zone]; known {
		return scope
	}
	if m.node.Region == p.self.Region {
		return p.topology().cellOf(m.node)
	}
	return prefixRegion + m.node.Region
}

// watcher reports whether the node should hold watches on the platform: it is one
// of the zone's watchers, or there are too few.
func (p *plugin) watcher() bool {
	t := p.topology()
	return len(t.watchers) < watchersPerZone || slices.Contains(t.watchers, p.self.Name)
}

// topByScore returns the first names, at most count, in a key's rendezvous order.
func topByScore(key string, names []string, count int) []string {
	best := make([]string, 0, count+1)
	scores := make([]uint64, 0, count+1)
	for _, name := range names {
		score := kernel.Score(key, name)
		at := len(best)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == count {
			continue
		}
		best = slices.Insert(best, at, name)
		scores = slices.Insert(scores, at, score)
		best = best[:min(count, len(best))]
		scores = scores[:len(best)]
	}
	return best
}
