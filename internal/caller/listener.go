package caller

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	// limitListener is a listener that limits the number of open connections.
	limitListener struct {
		net.Listener
		max  int64
		open atomic.Int64
	}

	// countedConn is a connection that its listener counts until it is closed.
	countedConn struct {
		net.Conn
		once     sync.Once
		listener *limitListener
	}
)

// Accept returns the next connection within the limit. It closes those above it.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

// CloseWrite closes the writing side of the connection. The HTTP server needs it
// to refuse a request whose body it has not read: a full close would reset the
// connection, and the caller might not receive the refusal.
func (c *countedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close closes the connection and removes it from the listener's count.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
