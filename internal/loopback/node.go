package loopback

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"net"
	"net/netip"

	"bulrushhinge.example/bulrushhinge"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

// StartNode starts a node and lists it.
func (f *Fleet) StartNode(c NodeConfig) error {
	n, err := f.newNode(c)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[c.Name] = n
	f.list[c.Name] = platform.Instance{
		Name: c.Name, Kind: kernel.KindNode, Zone: c.Zone, Addr: n.caller, Peer: n.View().Self.Peer,
	}
	return f.publish()
}

// StopNode stops a node as planned and takes it off the list.
func (f *Fleet) StopNode(ctx context.Context, name string) error {
	n := f.unlist(name)
	if n == nil {
		return fmt.Errorf("loopback: no node %q", name)
	}
	return n.Stop(ctx)
}

// KillNode closes a node at once. The list still names it.
func (f *Fleet) KillNode(name string) error {
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	if n == nil {
		return fmt.Errorf("loopback: no node %q", name)
	}
	return n.Close()
}

// Caller returns where callers reach a node.
func (f *Fleet) Caller(name string) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n.caller
	}
	return netip.AddrPort{}
}

// Operator returns where operators reach a node.
func (f *Fleet) Operator(name string) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n.operator
	}
	return netip.AddrPort{}
}

// Node returns a running node, or nil.
func (f *Fleet) Node(name string) *bulrushhinge.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n.Node
	}
	return nil
}

// peers returns where the running nodes listen for peers.
func (f *Fleet) peers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, n := range f.nodes {
		addrs = append(addrs, n.View().Self.Peer)
	}
	return addrs
}

func (f *Fleet) join(c NodeConfig) []netip.AddrPort {
	if c.Alone {
		return nil
	}
	return f.peers()
}

func (f *Fleet) newNode(c NodeConfig) (*node, error) {
	var listeners [3]net.Listener
	for i := range listeners {
		at := anyPort
		if i == 1 && c.Peer.IsValid() {
			at = c.Peer.String()
		}
		l, err := net.Listen("tcp", at)
		if err != nil {
			return nil, fmt.Errorf("loopback: %w", err)
		}
		listeners[i] = l
	}
	n, err := bulrushhinge.New(bulrushhinge.Config{
		Instance: c.Name, Zone: c.Zone,
		Callers: listeners[0], Peers: listeners[1], Operators: listeners[2],
		Platform: f.platform.addr, Import: f.config.Import, Join: f.join(c), Keys: []ed25519.PublicKey{f.OperatorKey()},
		Dialer: dialer{network: f.Network, from: c.Name}, Token: Token, FleetSecrets: [][]byte{f.secret},
		Grace: f.config.Grace, Linger: f.config.Linger, Limits: f.config.Limits, Log: f.config.Log.WithField("node", c.Name),
	})
	if err != nil {
		return nil, err
	}
	f.Network.listens(c.Name, addrPort(listeners[0]), addrPort(listeners[1]), addrPort(listeners[2]))
	return &node{Node: n, caller: addrPort(listeners[0]), operator: addrPort(listeners[2])}, nil
}

func (f *Fleet) unlist(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	delete(f.nodes, name)
	delete(f.list, name)
	_ = f.publish()
	return n
}
