package replay

import (
	"encoding/json"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	// watchDelay is the time in which the platform answers a watch.
	watchDelay = 5 * time.Millisecond
	// watchBytes is the request line and headers of a watch and the headers of
	// its answer, as net/http writes them.
	watchBytes   = 260
	watchWait    = 30 * time.Second
	recordBytes  = 200
	exampleAddrs = 1
)

// platformFake publishes the accepted configuration at once and the instance
// list late.
type platformFake struct {
	sim     *simulation
	version uint64
	list    []kernel.Instance
}

func newPlatformFake(s *simulation) *platformFake { return &platformFake{sim: s} }

// first tells every node the list and the configuration at the start.
func (p *platformFake) first() {
	p.version++
	p.list = p.instances()
	for _, n := range p.sim.nodes {
		p.boot(n)
	}
}

// boot tells a new node what the platform publishes.
func (p *platformFake) boot(n *node) {
	p.tellList(n, p.version, p.list)
	p.tellAccepted(n)
	p.rewatch(n)
}

// changed publishes a new list, which becomes visible with the list's lag and
// to each node at another time.
func (p *platformFake) changed() {
	list := p.instances()
	s := p.sim
	s.queue.after(s.config.ListLag, func() {
		p.version++
		version := p.version
		p.list = list
		for _, n := range s.nodes {
			jitter := time.Duration(s.random.Int64N(int64(listJitter)))
			s.queue.after(jitter, func() {
				if n.watches() {
					p.tellList(n, version, list)
				}
			})
		}
	})
}

// accepted publishes the newest configuration.
func (p *platformFake) accepted() {
	for _, n := range p.sim.nodes {
		if n.watches() {
			p.tellAccepted(n)
		}
	}
}

// read is a node's own reading of the list.
func (p *platformFake) read(n *node) { p.tellList(n, p.version, p.list) }

// watches reports whether a node has waiting watches on the platform.
func (n *node) watches() bool {
	v := n.view()
	return n.alive && (v.Watcher || v.At.IsZero())
}

func (p *platformFake) tellList(n *node, version uint64, list []kernel.Instance) {
	if !n.alive || version < n.listed {
		return
	}
	n.listed = version
	n.spent.platform += watchBytes + listBytes(list)
	n.step(kernel.Instances{Version: version, List: list})
}

func (p *platformFake) tellAccepted(n *node) {
	m := p.sim.manifest
	p.sim.queue.after(watchDelay, func() {
		if !n.alive {
			return
		}
		n.spent.platform += 2*watchBytes + recordBytes + manifestBytes(m)
		n.step(kernel.Accepted{Manifest: m})
	})
}

// rewatch counts the watches that end without news.
func (p *platformFake) rewatch(n *node) {
	p.sim.queue.after(watchWait, func() {
		if n.watches() {
			n.spent.platform += 2 * watchBytes
		}
		if n.alive {
			p.rewatch(n)
		}
	})
}

func (p *platformFake) instances() []kernel.Instance {
	var list []kernel.Instance
	for _, n := range p.sim.nodes {
		if !n.alive {
			continue
		}
		list = append(list, kernel.Instance{
			Name: n.name, Kind: kernel.KindNode, Zone: n.zone, Leaving: n.leaving,
			Addr: address(exampleAddrs), Peer: address(exampleAddrs),
		})
	}
	for _, name := range sortedNames(p.sim.engines) {
		g := p.sim.engines[name]
		if !g.alive {
			continue
		}
		list = append(list, kernel.Instance{
			Name: name, Kind: kernel.KindEndpoint, Zone: g.info.Zone, Service: g.info.Model,
			Addr: address(exampleAddrs), Leaving: g.leaving,
		})
	}
	return list
}

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), port)
}

func listBytes(list []kernel.Instance) int {
	entries := make([]platform.Instance, len(list))
	for i, e := range list {
		entries[i] = platform.Instance(e)
	}
	return jsonBytes(entries)
}

func manifestBytes(m *manifest.Manifest) int { return jsonBytes(m) }

func jsonBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}
