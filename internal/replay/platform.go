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
	// watchDelay is the time that the platform takes to answer a watch.
	watchDelay = 5 * time.Millisecond
	// watchBytes is the size of a watch's request line and headers and of its
	// response headers, as net/http writes them.
	watchBytes  = 260
	watchWait   = 30 * time.Second
	recordBytes = 200
	examplePort = 1
)

// fakePlatform publishes the accepted configuration at once and the instance
// list with a delay.
type fakePlatform struct {
	sim     *simulation
	version uint64
	list    []kernel.Instance
}

func newFakePlatform(s *simulation) *fakePlatform { return &fakePlatform{sim: s} }

// publishInitial sends the instance list and the configuration to every node at
// the start.
func (p *fakePlatform) publishInitial() {
	p.version++
	p.list = p.instances()
	for _, n := range p.sim.nodes {
		p.sendInitial(n)
	}
}

// sendInitial sends the current list and configuration to a new node.
func (p *fakePlatform) sendInitial(n *node) {
	p.sendList(n, p.version, p.list)
	p.sendConfig(n)
	p.countIdleWatches(n)
}

// changed publishes a new list. Nodes see it after ListLag, each with a jitter of
// its own.
func (p *fakePlatform) changed() {
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
					p.sendList(n, version, list)
				}
			})
		}
	})
}

// accepted publishes the newest configuration.
func (p *fakePlatform) accepted() {
	for _, n := range p.sim.nodes {
		if n.watches() {
			p.sendConfig(n)
		}
	}
}

// read sends the list to a node that reads it itself.
func (p *fakePlatform) read(n *node) { p.sendList(n, p.version, p.list) }

// watches reports whether a node has open watches on the platform.
func (n *node) watches() bool {
	v := n.view()
	return n.alive && (v.Watcher || v.At.IsZero())
}

func (p *fakePlatform) sendList(n *node, version uint64, list []kernel.Instance) {
	if !n.alive || version < n.listed {
		return
	}
	n.listed = version
	n.traffic.platform += watchBytes + listBytes(list)
	n.step(kernel.Instances{Version: version, List: list})
}

func (p *fakePlatform) sendConfig(n *node) {
	m := p.sim.manifest
	p.sim.queue.after(watchDelay, func() {
		if !n.alive {
			return
		}
		n.traffic.platform += 2*watchBytes + recordBytes + manifestBytes(m)
		n.step(kernel.Accepted{Manifest: m})
	})
}

// countIdleWatches counts the traffic of watches that end without a change.
func (p *fakePlatform) countIdleWatches(n *node) {
	p.sim.queue.after(watchWait, func() {
		if n.watches() {
			n.traffic.platform += 2 * watchBytes
		}
		if n.alive {
			p.countIdleWatches(n)
		}
	})
}

func (p *fakePlatform) instances() []kernel.Instance {
	var list []kernel.Instance
	for _, n := range p.sim.nodes {
		if !n.alive {
			continue
		}
		list = append(list, kernel.Instance{
			Name: n.name, Kind: kernel.KindNode, Zone: n.zone, Leaving: n.leaving,
			Addr: address(examplePort), Peer: address(examplePort),
		})
	}
	for _, name := range sortedNames(p.sim.engines) {
		g := p.sim.engines[name]
		if !g.alive {
			continue
		}
		list = append(list, kernel.Instance{
			Name: name, Kind: kernel.KindEndpoint, Zone: g.info.Zone, Service: g.info.Model,
			Addr: address(examplePort), Leaving: g.leaving,
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
