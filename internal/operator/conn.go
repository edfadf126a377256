package operator

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

type (
	// Dialer opens connections.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	meteredDialer struct {
		Dialer
		metrics *Metrics
	}

	meteredListener struct {
		net.Listener
		metrics *Metrics
	}

	meteredConn struct {
		net.Conn
		sent, received *metrics.Counter
	}
)

// Dialer returns a dialer whose connections count their bytes as traffic
// between nodes.
func (m *Metrics) Dialer(d Dialer) Dialer { return &meteredDialer{Dialer: d, metrics: m} }

// Listener returns a listener whose connections count their bytes as traffic
// between nodes.
func (m *Metrics) Listener(l net.Listener) net.Listener {
	return &meteredListener{Listener: l, metrics: m}
}

// DialContext opens a connection.
func (d *meteredDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.metrics.conn(c), nil
}

// Accept takes a connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.metrics.conn(c), nil
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(n)
	return n, err
}

func (m *Metrics) conn(c net.Conn) net.Conn {
	return &meteredConn{Conn: c, sent: m.sent, received: m.received}
}
