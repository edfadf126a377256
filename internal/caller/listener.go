package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// drainInterval is how often a draining listener looks for idle connections.
	drainInterval = 20 * time.Millisecond
	// newConnTime is how long a draining listener leaves a new connection open on which
	// nothing was received: its request may be under way.
	newConnTime = time.Second
	// refusedInterval is the minimum time between log lines on refused connections.
	refusedInterval = time.Second
)

var refusedConnections = metrics.GetOrCreateCounter("bulrushhinge_connections_refused_total")

type (
	// ListenerConfig is the settings of a Listener.
	ListenerConfig struct {
		net.Listener
		// Max is the maximum number of open connections. Further ones are closed at
		// once, before a request is read from them. Default: DefaultMaxConnections.
		Max int
		// Log receives a line while connections are refused. Default: logrus' standard
		// logger.
		Log logrus.FieldLogger
	}

	// Listener is a listener that limits and tracks the open connections.
	Listener struct {
		config ListenerConfig
		closed sync.Once
		mu     sync.Mutex
		open   map[*trackedConn]struct{}
		// refused is the number of refused connections since the last log line, which
		// was at logged.
		refused int
		logged  time.Time
	}

	// trackedConn is a connection that its listener tracks until it is closed.
	trackedConn struct {
		net.Conn
		listener *Listener
		accepted time.Time
		// served is set once a request was answered, and reading while bytes were
		// received since.
		served  atomic.Bool
		reading atomic.Bool
	}
)

// NewListener returns a Listener.
func NewListener(c ListenerConfig) *Listener {
	if c.Max == 0 {
		c.Max = DefaultMaxConnections
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return &Listener{config: c, open: map[*trackedConn]struct{}{}}
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return l.config.Addr() }

// Accept returns the next connection within the limit. It closes those above it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.config.Accept()
		if err != nil {
			return nil, err
		}
		c := &trackedConn{Conn: raw, listener: l, accepted: time.Now()}
		if l.add(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// Close closes the listener. Connections stay open.
func (l *Listener) Close() (err error) {
	l.closed.Do(func() { err = l.config.Listener.Close() })
	return err
}

// Drain closes the listener and the idle connections, and waits until all others are
// closed or ctx ends. The handler must close each connection with its next response.
//
// The Shutdown of net/http drops a request that it reads after its call, and closes kept
// connections on which a part of a request has arrived. A caller cannot know whether
// such a request was run.
func (l *Listener) Drain(ctx context.Context) error {
	err := l.Close()
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for !l.closeIdle(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return err
}

// Reading returns the number of connections on which a request arrives or is served.
func (l *Listener) Reading() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		if c.reading.Load() {
			n++
		}
	}
	return n
}

// closeIdle closes the idle connections and reports whether no connection is left.
func (l *Listener) closeIdle(now time.Time) bool {
	l.mu.Lock()
	var idle []*trackedConn
	for c := range l.open {
		if !c.reading.Load() && (c.served.Load() || now.Sub(c.accepted) >= newConnTime) {
			idle = append(idle, c)
		}
	}
	none := len(idle) == len(l.open)
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
	return none
}

func (l *Listener) add(c *trackedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) < l.config.Max {
		l.open[c] = struct{}{}
		return true
	}
	refusedConnections.Inc()
	l.refused++
	if c.accepted.Sub(l.logged) >= refusedInterval {
		l.config.Log.WithFields(logrus.Fields{"refused": l.refused, "max": l.config.Max}).Warn("too many connections; closing new ones")
		l.refused, l.logged = 0, c.accepted
	}
	return false
}

func (l *Listener) remove(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Read reads from the connection.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.reading.Store(true)
	}
	return n, err
}

// CloseWrite closes the writing side of the connection. The HTTP server needs it
// to refuse a request whose body it has not read: a full close would reset the
// connection, and the caller might not receive the refusal.
func (c *trackedConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// Close closes the connection and removes it from the listener.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}

// trackState notes that a connection has become idle.
func trackState(c net.Conn, s http.ConnState) {
	if tracked, ok := c.(*trackedConn); ok && s == http.StateIdle {
		tracked.reading.Store(false)
		tracked.served.Store(true)
	}
}
