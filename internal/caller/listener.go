package caller

import (
	"net"
	"sync"
	"sync/atomic"
)

type (
	limited struct {
		net.Listener
		max  int64
		open atomic.Int64
	}

	counted struct {
		net.Conn
		once     sync.Once
		listener *limited
	}
)

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &counted{Conn: c, listener: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

// CloseWrite ends the sending direction. The server relies on it where it
// refuses a request whose body it has not read: a full close would reset the
// connection, and the caller might lose the refusal.
func (c *counted) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close closes the connection and frees its place.
func (c *counted) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
