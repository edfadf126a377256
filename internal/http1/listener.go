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
)

const (
	// HeadTimeout is how long a caller may take for a request's head before a
	// configuration says so: the longest that servers commonly allow.
	HeadTimeout = 10 * time.Second
	// IdleTimeout is the same for a connection without a request.
	IdleTimeout = time.Minute
)

// lateHead answers a caller whose request's head did not come in time. Nothing
// of the request was read as one, so it has not run.
const lateHead = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Phases of a caller's connection, in their order.
const (
	// idle lasts until a request's first byte.
	idle phase = iota
	// heading lasts until the request's head is complete.
	heading
	// active lasts until the request is answered.
	active
)

type (
	phase int

	// Limits bound how long callers may take; with 0 the package's own hold.
	Limits struct {
		Head time.Duration
		Idle time.Duration
	}

	// Listener accepts callers' connections and bounds how long they may take
	// for a request's head and stay idle. The bounds may change at any time and
	// hold from a connection's next phase on; those of an http.Server are read
	// once.
	Listener struct {
		net.Listener
		limits func() Limits
	}

	// callerConn is a caller's connection. The server's own read deadlines
	// count only while a request is active: for its body, and to end its
	// reading.
	callerConn struct {
		*net.TCPConn
		limits func() Limits
		mu     sync.Mutex
		phase  phase
		// begun says that a part of a head has come.
		begun bool
	}
)

// NewListener returns a listener with bounds; the server that it is for needs
// its ConnState as well.
func NewListener(l net.Listener, limits func() Limits) *Listener {
	return &Listener{Listener: l, limits: limits}
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
	conn := &callerConn{TCPConn: tcp, limits: l.limits}
	// A caller may connect before it has something to ask.
	conn.enter(idle)
	return conn, nil
}

// ConnState tells a connection what its server does with it.
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
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// Read reads, and notices where a request begins or its head is late.
//
// Callers may send a head byte by byte, or never to its end, and hold a
// descriptor each. Past the bound the caller is told, and the connection ends.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.began()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.late() {
		// The connection ends, whether the caller reads this or not.
		_, _ = io.WriteString(c.TCPConn, lateHead)
	}
	return n, err
}

// SetReadDeadline sets the deadline that the server wants, for the request that
// is active.
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
	c.begun = false
	var until time.Time
	switch p {
	case heading:
		until = time.Now().Add(orElse(c.limits().Head, HeadTimeout))
	case idle:
		until = time.Now().Add(orElse(c.limits().Idle, IdleTimeout))
	case active:
	}
	// A connection that is closed already needs no deadline.
	_ = c.TCPConn.SetReadDeadline(until)
}

// began notes that bytes have come; on an idle connection they begin a head.
func (c *callerConn) began() {
	c.mu.Lock()
	starts := c.phase == idle
	c.mu.Unlock()
	if starts {
		c.enter(heading)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || c.phase == heading
}

// late reports, once, whether a head has begun and not ended.
func (c *callerConn) late() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := c.phase == heading && c.begun
	c.begun = false
	return late
}

func orElse(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
