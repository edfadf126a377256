package pool

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// homes works out the homes of endpoints, and keeps them while the nodes stay
// the same.
type homes struct {
	nodes []kernel.Node
	// serial changes whenever homes must be worked out anew.
	serial uint64
	zones  map[string][]kernel.Node
	// doubtful holds the zones with a suspect node.
	doubtful map[string]bool
	regions  map[string]string
}

// Home returns the node that admits work to an endpoint: the first in the
// endpoint's rendezvous order among the live nodes of its availability zone, or
// of its region, or of the whole fleet where there is none. Nodes that have
// settled come before those that have just joined.
//
// A node that joins is known to some of its peers before others. If it became a
// home at once, the old and the new home would both admit work to the endpoint
// until all agree, and together exceed the bound. It waits until all have heard
// of it.
func Home(e kernel.Endpoint, nodes []kernel.Node) string {
	inZone := func(n kernel.Node) bool { return n.Zone == e.Zone }
	inRegion := func(n kernel.Node) bool { return e.Region != "" && n.Region == e.Region }
	anywhere := func(kernel.Node) bool { return true }
	for _, in := range []func(kernel.Node) bool{inZone, inRegion, anywhere} {
		if home := first(e.Name, nodes, in); home != "" {
			return home
		}
	}
	return ""
}

func first(key string, nodes []kernel.Node, in func(kernel.Node) bool) string {
	var best string
	var high uint64
	var settled bool
	for _, n := range nodes {
		if n.State != kernel.Live || !in(n) || settled && !n.Settled {
			continue
		}
		s := kernel.Score(key, n.Name)
		if best == "" || n.Settled && !settled || s > high {
			best, high, settled = n.Name, s, n.Settled
		}
	}
	return best
}

func (h *homes) forget() { h.nodes = nil }

// update notes the nodes of a new view.
func (h *homes) update(v *kernel.View) {
	nodes := v.Nodes
	if slices.EqualFunc(nodes, h.nodes, sameRole) {
		return
	}
	h.nodes = nodes
	h.serial++
	h.zones = map[string][]kernel.Node{}
	h.doubtful = map[string]bool{}
	h.regions = map[string]string{}
	for _, z := range v.Manifest.Zones {
		h.regions[z.Name] = z.Region
	}
	for _, n := range nodes {
		if n.State == kernel.Live {
			h.zones[n.Zone] = append(h.zones[n.Zone], n)
		}
		if n.State == kernel.Suspect {
			h.doubtful[n.Zone] = true
		}
	}
}

// sameRole reports whether two states of a node make the same homes.
func sameRole(a, b kernel.Node) bool {
	return a.Name == b.Name && a.State == b.State && a.Settled == b.Settled && a.Zone == b.Zone && a.Region == b.Region
}

// assign writes an endpoint's home.
func (h *homes) assign(now time.Time, m *member, settle time.Duration) {
	e := &m.endpoint
	if m.homeSerial != h.serial {
		m.homeSerial = h.serial
		e.Region = h.regions[e.Zone]
		near := h.zones[e.Zone]
		if len(near) == 0 {
			near = h.nodes
		}
		if home := Home(*e, near); home != e.Home {
			e.Home = home
			m.homeChanged = now
			m.own = false
			// The home before may be gone and never take its word back.
			m.absent = kernel.Live
		}
	}
	away := len(h.zones[e.Zone]) == 0
	e.Settling = away || h.doubtful[e.Zone] || now.Sub(m.homeChanged) < settle
}
