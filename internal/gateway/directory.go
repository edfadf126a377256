package gateway

import (
	"net/netip"
	"slices"
)

// minZoneNodes is how many nodes of its availability zone must be ready to keep a
// caller there.
const minZoneNodes = 2

type (
	// Caller is a client that asks for the nodes' addresses.
	Caller struct {
		// Host is the host of its requests.
		Host string
		// Region and Zone are its location.
		Region string
		Zone   string
	}

	// Node is a node that serves callers.
	Node struct {
		Zone string
		// Callers is the address at which it serves them.
		Callers netip.AddrPort
	}
)

// Nearest returns the addresses of the ready nodes that a caller should use.
// Residency lists the regions in which its requests may run.
//
// Callers stay within their zone, where traffic is free, if at least two of its
// nodes are ready: a caller whose only node dies has no other until it asks again.
// Otherwise they stay within their region, or else within the residency regions,
// as request bodies should not reach nodes elsewhere.
func Nearest(c Caller, ready []Node, regions map[string]string, residency []string) []netip.AddrPort {
	var all, resident, region, zone []netip.AddrPort
	for _, n := range ready {
		all = append(all, n.Callers)
		nodeRegion, known := regions[n.Zone]
		if known && slices.Contains(residency, nodeRegion) {
			resident = append(resident, n.Callers)
		}
		if known && nodeRegion == c.Region {
			region = append(region, n.Callers)
		}
		if n.Zone == c.Zone {
			zone = append(zone, n.Callers)
		}
	}
	switch {
	case len(zone) >= minZoneNodes:
		return zone
	case len(region) > 0:
		return region
	case len(resident) > 0:
		return resident
	}
	return all
}
