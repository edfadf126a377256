package gateway

import (
	"net/netip"
	"slices"
)

// zoneNodes is how many nodes of a caller's availability zone suffice to keep it
// there.
const zoneNodes = 2

type (
	// Caller is who asks for the nodes' addresses.
	Caller struct {
		// Host is the host that it will ask for.
		Host string
		// Region and Zone are where it is.
		Region string
		Zone   string
	}

	// Node is a node that takes callers.
	Node struct {
		Zone string
		// Callers is where it takes them.
		Callers netip.AddrPort
	}
)

// Nearest returns the addresses of the nodes that a caller should use, of those
// that are ready. Homes are the regions in which what it asks for may run.
//
// Callers stay within their zone, where bytes cost nothing, if at least two
// nodes of it are ready: a caller whose only node dies has nowhere to go until
// it asks again. Else they stay within their region, and else within the homes:
// bodies are not to reach a node elsewhere.
func Nearest(c Caller, ready []Node, regions map[string]string, homes []string) []netip.AddrPort {
	var all, home, region, zone []netip.AddrPort
	for _, n := range ready {
		all = append(all, n.Callers)
		at, known := regions[n.Zone]
		if known && slices.Contains(homes, at) {
			home = append(home, n.Callers)
		}
		if known && at == c.Region {
			region = append(region, n.Callers)
		}
		if n.Zone == c.Zone {
			zone = append(zone, n.Callers)
		}
	}
	switch {
	case len(zone) >= zoneNodes:
		return zone
	case len(region) > 0:
		return region
	case len(home) > 0:
		return home
	}
	return all
}
