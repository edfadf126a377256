package http1_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// keepAlive are the options of a connection that decide when it is given up.
type keepAlive struct{ idle, interval, userTimeout time.Duration }

// optionsOf returns a connection's options.
func optionsOf(t *testing.T, c net.Conn) keepAlive {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	get := func(option int) int {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
		}))
		require.NoError(t, err)
		return value
	}
	return keepAlive{
		idle:        time.Duration(get(syscall.TCP_KEEPIDLE)) * time.Second,
		interval:    time.Duration(get(syscall.TCP_KEEPINTVL)) * time.Second,
		userTimeout: time.Duration(get(tcpUserTimeout)) * time.Millisecond,
	}
}

// survives reports whether a connection on which nothing is sent outlives a silence of
// its peer. With a user timeout set, Linux gives it up at the first probe that is due
// that long after the last received packet, if the probe before was not answered.
func (k keepAlive) survives(from, to time.Duration) bool {
	received, unanswered := time.Duration(0), false
	for at := k.idle; at < to+k.userTimeout+k.idle; at += k.interval {
		if unanswered && at-received >= k.userTimeout {
			return false
		}
		if unanswered = at >= from && at < to; !unanswered {
			received = at
		}
	}
	return true
}

// resends reports whether data that is sent as a silence begins gets through before the
// user timeout. The retransmission timeout begins with 200 ms and doubles.
func (k keepAlive) resends(silence time.Duration) bool {
	at := time.Duration(0)
	for rto := 200 * time.Millisecond; at < silence; rto *= 2 {
		at += rto
	}
	return at < k.userTimeout
}

// Guards against runs that are lost because their endpoint sent nothing for a second or
// so: its connections were given up, whatever the number of probes.
func TestSilentEndpointKeepsItsConnections(t *testing.T) {
	const silence, step = 1900 * time.Millisecond, 10 * time.Millisecond
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := http1.NewDialer(http1.DialerConfig{Timeout: http1.ConnectTimeout}).DialContext(t.Context(), "tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	k := optionsOf(t, c)
	for from := time.Duration(0); from < 5*time.Second; from += step {
		require.True(t, k.survives(from, from+silence), "silent from %v", from)
	}
	require.True(t, k.resends(silence))
	require.False(t, k.survives(0, time.Minute), "an endpoint that is gone is given up")
	require.LessOrEqual(t, k.userTimeout, 4*time.Second, "and that soon")
}
