package pool

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// owners assigns owners to endpoints. The owners are kept while the nodes are
// unchanged.
type owners struct {
	nodes []kernel.Node
	// generation changes when the owners must be assigned again.
	generation uint64
	// liveByZone holds the live nodes by zone.
	liveByZone map[string][]kernel.Node
	// suspectZones holds the zones with a suspect node.
	suspectZones map[string]bool
	regions      map[string]string
}

// Owner returns the owner of an endpoint, which is the node that admits work to it:
// the first in the endpoint's rendezvous order among the live nodes of its
// availability zone, or of its region, or of the whole fleet if there is none.
// Settled nodes are preferred to those that have just joined.
//
// Some peers know a joining node before others. If it became an owner at once, the
// old and the new owner would both admit work to the endpoint until all nodes
// agree, and together exceed the bound. It therefore waits until all peers know it.
func Owner(e kernel.Endpoint, nodes []kernel.Node) string {
	inZone := func(n kernel.Node) bool { return n.Zone == e.Zone }
	inRegion := func(n kernel.Node) bool { return e.Region != "" && n.Region == e.Region }
	anywhere := func(kernel.Node) bool { return true }
	for _, in := range []func(kernel.Node) bool{inZone, inRegion, anywhere} {
		if home := topByScore(e.Name, nodes, in); home != "" {
			return home
		}
	}
	return ""
}

func topByScore(key string, nodes []kernel.Node, in func(kernel.Node) bool) string {
	var best string
	var bestScore uint64
	var settled bool
	for _, n := range nodes {
		if n.State != kernel.Live || !in(n) || settled && !n.Settled {
			continue
		}
		s := kernel.Score(key, n.Name)
		if best == "" || n.Settled && !settled || s > bestScore {
			best, bestScore, settled = n.Name, s, n.Settled
		}
	}
	return best
}

func (o *owners) invalidate() { o.nodes = nil }

// update applies the nodes of a new view.
func (o *owners) update(v *kernel.View) {
	nodes := v.Nodes
	if slices.EqualFunc(nodes, o.nodes, sameRole) {
		return
	}
	o.nodes = nodes
	o.generation++
	o.liveByZone = map[string][]kernel.Node{}
	o.suspectZones = map[string]bool{}
	o.regions = map[string]string{}
	for _, z := range v.Manifest.Zones {
		o.regions[z.Name] = z.Region
	}
	for _, n := range nodes {
		if n.State == kernel.Live {
			o.liveByZone[n.Zone] = append(o.liveByZone[n.Zone], n)
		}
		if n.State == kernel.Suspect {
			o.suspectZones[n.Zone] = true
		}
	}
}

// sameRole reports whether two states of a node lead to the same owners.
func sameRole(a, b kernel.Node) bool {
	return a.Name == b.Name && a.State == b.State && a.Settled == b.Settled && a.Zone == b.Zone && a.Region == b.Region
}

// assign sets an endpoint's owner, and whether nodes may disagree on it.
func (o *owners) assign(now time.Time, m *member, settle time.Duration) {
	e := &m.endpoint
	if m.ownerGeneration != o.generation {
		m.ownerGeneration = o.generation
		e.Region = o.regions[e.Zone]
		candidates := o.liveByZone[e.Zone]
		if len(candidates) == 0 {
			candidates = o.nodes
		}
		if home := Owner(*e, candidates); home != e.Owner {
			e.Owner = home
			m.ownerChanged = now
			m.ownCount = false
			// The previous owner may be dead and never correct its state.
			m.reportedState = kernel.Live
		}
	}
	outOfZone := len(o.liveByZone[e.Zone]) == 0
	e.Settling = outOfZone || o.suspectZones[e.Zone] || now.Sub(m.ownerChanged) < settle
}
