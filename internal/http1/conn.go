// Package http1 sends requests to endpoints over HTTP/1.1 connections of its
// own, one exchange at a time, and never sends anything twice by itself.
package http1

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBuffer holds a response's header and the first events.
	readBuffer = 4 << 10
	// ConnectTimeout bounds opening a connection: an endpoint accepts one within a
	// millisecond or two, and drops the SYN packet while its queue is full.
	ConnectTimeout = 400 * time.Millisecond
	// defaultSilence is DialerConfig.Silence for endpoints, which may be silent for a
	// second or two and go on. Beyond the fourth second callers leave.
	defaultSilence = 3500 * time.Millisecond
	// probeInterval is the time without a packet after which a peer is probed, and
	// between two probes.
	probeInterval = time.Second
	// probes is the number of unanswered probes after which a connection is given up,
	// on systems where Silence does not decide.
	probes = 3
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

var (
	// keepAliveConfig probes a peer that has sent nothing.
	keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probes}
	// ErrConnect is returned if no connection was opened: nothing was sent.
	ErrConnect = errors.New("http1: no connection")
	// ErrBroken is returned if a connection broke, or received bytes that are not
	// the request's response, after a request was sent on it.
	ErrBroken = errors.New("http1: connection broke")
	// ErrWithdrawn is returned if the request was no longer to be sent once a
	// connection was open.
	ErrWithdrawn = errors.New("http1: request withdrawn")
)

// DialerConfig configures a dialer.
type DialerConfig struct {
	// Timeout bounds opening a connection.
	Timeout time.Duration
	// Silence is after how long without a packet from the peer a connection is
	// considered dead; 0 means three to four seconds.
	Silence time.Duration
}

// Results of a probe.
const (
	// Unanswered is a connection that was not opened in time, or failed otherwise.
	Unanswered ProbeResult = iota
	// Refused is a connection that was refused: nothing listens at the address, or
	// something on the way refuses connections.
	Refused
	// Accepted is a connection that was opened.
	Accepted
)

// ProbeResult is what became of a probe's connection.
type ProbeResult int

type conn struct {
	net.Conn
	raw    syscall.RawConn
	head   *headReader
	reader *bufio.Reader
	// used says that an exchange has ended on it.
	used bool
	// lastUsed is when the last exchange ended.
	lastUsed time.Time
	// idleFor is how long it had been idle when it was last taken from the pool.
	idleFor time.Duration
	// idleTimeout is how long the endpoint keeps the connection open when unused.
	idleTimeout time.Duration
}

// NewDialer returns a dialer whose connections detect a dead peer within seconds.
//
// A peer may become unreachable without a reset. Linux gives a connection up after the
// user timeout, if data is unacknowledged, or at the first probe after it that follows
// an unanswered one, whatever the number of probes.
func NewDialer(d DialerConfig) *net.Dialer {
	return &net.Dialer{Timeout: d.Timeout, KeepAliveConfig: keepAliveConfig, Control: setUserTimeout(cmp.Or(d.Silence, defaultSilence))}
}

// NewListenConfig returns the settings of a listener whose connections detect a dead
// peer like those of NewDialer.
func NewListenConfig(silence time.Duration) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: setUserTimeout(silence)}
}

// setUserTimeout returns a function that sets a socket's TCP_USER_TIMEOUT, which
// accepted connections inherit from their listener.
func setUserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		}); e != nil {
			return e
		}
		return err
	}
}

func dial(ctx context.Context, d Dialer, addr netip.AddrPort) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%w: not TCP", ErrConnect)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrConnect, err)
	}
	head := &headReader{from: c}
	return &conn{Conn: c, raw: raw, head: head, reader: bufio.NewReaderSize(head, readBuffer)}, nil
}

// Probe opens a connection to an address and closes it again.
func (p *Pool) Probe(ctx context.Context, addr netip.AddrPort) ProbeResult {
	if p.config.Opened != nil {
		p.config.Opened()
	}
	c, err := p.config.Dialer.DialContext(ctx, "tcp4", addr.String())
	switch {
	case err == nil:
		_ = c.Close()
		return Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Unanswered
}

// clean reports whether the connection is open and has nothing to read. Bytes that
// are pending on an idle connection belong to no request.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	clean := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

// hungUp reports whether the connection is closed in both directions.
func (c *conn) hungUp() bool {
	hungUp := true
	// An error means that this side has closed it.
	_ = c.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(poll, 0)
		for errors.Is(err, unix.EINTR) {
			_, err = unix.Poll(poll, 0)
		}
		hungUp = err != nil || poll[0].Revents&unix.POLLHUP != 0
	})
	return hungUp
}

// usable reports whether the connection may carry a further exchange.
func (c *conn) usable(now time.Time) bool {
	return now.Sub(c.lastUsed) < c.idleTimeout && c.clean()
}

// readResponse reads the next response's header, skipping informational ones.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	return c.head.response(c.reader, req)
}
