package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// DefaultHeaderTimeout is how long a caller may take for a request's header if
	// the configuration does not say: the longest that servers commonly allow.
	DefaultHeaderTimeout = 10 * time.Second
	// drainInterval is how often draining looks whether connections are left.
	drainInterval = 20 * time.Millisecond
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
	// for a request's header and stay idle. The limits may change at any time; an
	// http.Server reads its own only once. A longer limit applies at once to idle
	// connections, as callers that know it use them for as long; a shorter one applies
	// from a connection's next phase on.
	Listener struct {
		net.Listener
		limits   func() Timeouts
		counts   connCounts
		late     *decision.Limited
		draining atomic.Bool

		mu    sync.Mutex
		conns map[*callerConn]bool
	}

	// callerConn is a caller's connection. The server's own read deadlines
	// count only while a request is active: for its body, and to end its
	// reading.
	callerConn struct {
		*net.TCPConn
		listener *Listener
		mu       sync.Mutex
		phase    phase
		// since is when the phase began.
		since time.Time
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
	return &Listener{Listener: l, limits: limits, late: decision.NewLimited(log, lateInterval, lateBurst), conns: map[*callerConn]bool{}}
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
	l.track(conn, true)
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
		conn.listener.track(conn, false)
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
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
		n, err = c.TCPConn.Read(b)
	}
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
	c.phase, c.since = p, time.Now()
	c.headerBegun = false
	var until time.Time
	switch p {
	case readingHeader:
		until = c.since.Add(orDefault(c.listener.limits().Header, DefaultHeaderTimeout))
	case idle:
		until = c.idleUntil()
	case active:
	}
	// A connection that is closed already needs no deadline.
	_ = c.TCPConn.SetReadDeadline(until)
}

// idleUntil returns until when the connection may be idle.
func (c *callerConn) idleUntil() time.Time {
	if c.listener.draining.Load() {
		return c.since
	}
	return c.since.Add(orDefault(c.listener.limits().Idle, DefaultIdleTimeout))
}

// extendIdle extends the deadline of an idle connection if the limit has become longer.
func (c *callerConn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.idleUntil()
	return c.phase == idle && time.Now().Before(until) && c.TCPConn.SetReadDeadline(until) == nil
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

func (l *Listener) track(c *callerConn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
		return
	}
	delete(l.conns, c)
}

// Drain ends the listener and its connections, each when it is idle, until all are
// closed or the context ends.
//
// The Shutdown of an http.Server drops a request that it has read at that moment. Here
// idle connections end by their read deadlines, so that what was read is answered.
func (l *Listener) Drain(ctx context.Context) error {
	err := l.Close()
	l.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for l.endIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("http1: drain: %w", ctx.Err())
		}
	}
	return err
}

// endIdle ends idle connections, and returns the number of all.
func (l *Listener) endIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIdle()
	}
	return len(l.conns)
}

func (c *callerConn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return
	}
	if c.cause == closedByNode {
		c.cause = closedShutdown
	}
	// A connection that is closed already needs no deadline.
	_ = c.TCPConn.SetReadDeadline(c.since)
}

func orDefault(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
