package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// DefaultHeaderTimeout is how long a caller may take for a request's header if
	// the configuration does not say: the longest that servers commonly allow.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultIdleTimeout is the same for a connection without a request.
	DefaultIdleTimeout = time.Minute
	// lateInterval and lateBurst limit the lines about late headers.
	lateInterval = 200 * time.Millisecond
	lateBurst    = 20
)

// timeoutResponse is sent to a caller whose request's header was not complete in
// time. The request was never parsed, so it has not run.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Phases of a caller's connection, in their order.
const (
	// idle lasts until a request's first byte.
	idle phase = iota
	// readingHeader lasts until the request's header is complete.
	readingHeader
	// active lasts until the response is complete.
	active
)

type (
	phase int

	// Timeouts bound how long callers may take; 0 means the package's default.
	Timeouts struct {
		Header time.Duration
		Idle   time.Duration
	}

	// Listener accepts callers' connections and bounds how long they may take
	// for a request's header and stay idle. The limits may change at any time and
	// apply from a connection's next phase on; an http.Server reads its own only
	// once.
	Listener struct {
		net.Listener
		limits func() Timeouts
		counts connCounts
		late   *decision.Limited
	}

	// callerConn is a caller's connection. The server's own read deadlines
	// count only while a request is active: for its body, and to end its
	// reading.
	callerConn struct {
		*net.TCPConn
		listener *Listener
		mu       sync.Mutex
		phase    phase
		// headerBegun says that part of a header has been received.
		headerBegun bool
		// cause is why it is closed, and counted says that it was counted as closed.
		cause   closeCause
		counted bool
	}
)

// NewListener returns a listener with limits; its ConnState must be set as that of
// the http.Server that uses it. Late headers are logged; log may be nil.
func NewListener(l net.Listener, limits func() Timeouts, log *decision.Log) *Listener {
	return &Listener{Listener: l, limits: limits, late: decision.NewLimited(log, lateInterval, lateBurst)}
}

// Accept returns the next caller's connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, fmt.Errorf("http1: accept: %T is not TCP", c)
	}
	l.counts.accepted.Add(1)
	conn := &callerConn{TCPConn: tcp, listener: l}
	// A caller may connect before it has a request.
	conn.enter(idle)
	return conn, nil
}

// ConnState updates a connection's phase by its state in the server.
func (*Listener) ConnState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		conn.enter(active)
	case http.StateIdle:
		conn.enter(idle)
	case http.StateClosed:
		conn.closed()
	case http.StateNew, http.StateHijacked:
	}
}

// Read reads, and detects that a request begins or that its header is late.
//
// Callers may send a header byte by byte, or never complete it, and hold a file
// descriptor each. After the limit the caller gets a 408 and the connection ends.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.received()
	}
	if err == nil {
		return n, nil
	}
	late := errors.Is(err, os.ErrDeadlineExceeded) && c.headerLate()
	c.ended(err, late)
	if late {
		c.listener.logLate(c)
		// The connection ends, whether the caller reads this or not.
		_, _ = io.WriteString(c.TCPConn, timeoutResponse)
	}
	return n, err
}

// SetReadDeadline sets the server's read deadline if a request is active, and is
// ignored otherwise.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != active {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// enter begins a phase and its deadline.
func (c *callerConn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = p
	c.headerBegun = false
	var until time.Time
	switch p {
	case readingHeader:
		until = time.Now().Add(orDefault(c.listener.limits().Header, DefaultHeaderTimeout))
	case idle:
		until = time.Now().Add(orDefault(c.listener.limits().Idle, DefaultIdleTimeout))
	case active:
	}
	// A connection that is closed already needs no deadline.
	_ = c.TCPConn.SetReadDeadline(until)
}

// received handles the arrival of bytes; on an idle connection they begin a header.
func (c *callerConn) received() {
	c.mu.Lock()
	starts := c.phase == idle
	c.mu.Unlock()
	if starts {
		c.enter(readingHeader)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBegun = c.headerBegun || c.phase == readingHeader
}

// headerLate reports, once, whether a header has begun and is not complete.
func (c *callerConn) headerLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := c.phase == readingHeader && c.headerBegun
	c.headerBegun = false
	return late
}

func orDefault(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
