package loopback

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

var errClosed = errors.New("loopback: connection closed")

type (
	// Network is what stands between the fleet's processes: it loses
	// everything between two of them while they are cut from each other, as a
	// failed switch does. Nothing is refused or reset. It is safe for
	// concurrent use.
	Network struct {
		mu sync.Mutex
		// names is who listens on an address.
		names map[netip.AddrPort]string
		cut   map[link]bool
		// changed is closed and replaced whenever a cut changes.
		changed chan struct{}
	}

	// link is an unordered pair of names.
	link struct{ a, b string }

	dialer struct {
		network *Network
		from    string
	}

	conn struct {
		net.Conn
		network *Network
		link    link
		once    sync.Once
		closed  chan struct{}
	}
)

func newNetwork() *Network {
	return &Network{
		names:   map[netip.AddrPort]string{},
		cut:     map[link]bool{},
		changed: make(chan struct{}),
	}
}

// Cut loses all that each of the one side sends to the other, both ways, until
// Heal. The name of the platform is "platform".
func (n *Network) Cut(one, other []string) { n.set(one, other, true) }

// Heal ends the cuts between two sides.
func (n *Network) Heal(one, other []string) { n.set(one, other, false) }

func (n *Network) set(one, other []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range one {
		for _, b := range other {
			n.cut[between(a, b)] = cut
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) listens(name string, addrs ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range addrs {
		n.names[addr] = name
	}
}

func (n *Network) name(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		return addr
	}
	return n.names[parsed]
}

func (n *Network) state(l link) (cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[l], n.changed
}

// pass waits while the link is cut.
func (n *Network) pass(l link, done <-chan struct{}) error {
	for {
		cut, changed := n.state(l)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return errClosed
		}
	}
}

// DialContext connects once the link is not cut.
func (d dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	l := between(d.from, d.network.name(address))
	if err := d.network.pass(l, ctx.Done()); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
	}
	var plain net.Dialer
	raw, err := plain.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, network: d.network, link: l, closed: make(chan struct{})}, nil
}

// Read returns what arrived once the link is not cut.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cut := c.network.pass(c.link, c.closed); cut != nil {
		return 0, cut
	}
	return n, err
}

// Write sends once the link is not cut.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.network.pass(c.link, c.closed); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and wakes those that wait for it.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func between(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}
