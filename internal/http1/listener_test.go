package http1_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// limitedServer is a server whose limits a test sets.
type limitedServer struct {
	addr   string
	limits atomic.Pointer[http1.Timeouts]
	// reads counts how often the limits were read: once for each phase that has one.
	reads  atomic.Int64
	server *http.Server
	// idle receives when a connection has become idle after a response.
	idle chan struct{}
	// bounded is the listener, and logged has the lines of log once that is closed.
	bounded *http1.Listener
	log     *decision.Log
	logged  bytes.Buffer
}

func newLimitedServer(t *testing.T, limits http1.Timeouts) *limitedServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &limitedServer{addr: l.Addr().String(), idle: make(chan struct{}, 16)}
	s.limits.Store(&limits)
	s.log = decision.New(decision.LogConfig{To: &s.logged, Node: "n"})
	t.Cleanup(s.log.Close)
	s.bounded = http1.NewListener(l, func() http1.Timeouts {
		s.reads.Add(1)
		return *s.limits.Load()
	}, s.log)
	s.server = &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) {
			s.bounded.ConnState(c, state)
			if state == http.StateIdle {
				select {
				case s.idle <- struct{}{}:
				default:
				}
			}
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%d", len(body))
		}),
	}
	go func() { _ = s.server.Serve(s.bounded) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// readAll returns what the server sends until it closes a connection.
func readAll(c net.Conn) string {
	data, _ := io.ReadAll(c)
	return string(data)
}

// Guards against running out of file descriptors while few requests are in progress,
// because slow callers hold one each.
func TestSlowCallers(t *testing.T) {
	short := http1.Timeouts{Header: 60 * time.Millisecond, Idle: 60 * time.Millisecond}
	cases := []struct {
		name string
		// sent is all that the caller sends.
		sent   string
		answer string
	}{
		{name: "that send nothing are disconnected"},
		{name: "that send part of a header get a 408", sent: "POST / HTTP/1.1\r\nHost: h\r\n", answer: "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newLimitedServer(t, short)
			conn, err := net.Dial("tcp4", s.addr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, c.sent)
			require.NoError(t, err)
			require.Equal(t, c.answer, readAll(conn))
		})
	}
}

// A request that lasts longer than both limits, and whose body does, is served;
// afterwards the connection is closed when it has been idle for long enough, by
// the limit in force when the request ended.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	s := newLimitedServer(t, http1.Timeouts{Header: 200 * time.Millisecond, Idle: time.Hour})
	conn, err := net.Dial("tcp4", s.addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for _, idle := range []time.Duration{time.Hour, time.Millisecond} {
		s.limits.Store(&http1.Timeouts{Header: 200 * time.Millisecond, Idle: idle})
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		_, err = io.WriteString(conn, "cd")
		require.NoError(t, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, "4", string(body))
	}
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a connection that is closed by an earlier, shorter limit while its
// caller uses it by the one in force.
func TestLongerIdleLimitAppliesToIdleConnections(t *testing.T) {
	s := newLimitedServer(t, http1.Timeouts{Idle: time.Second})
	conn, err := net.Dial("tcp4", s.addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for range 2 {
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
		<-s.idle
		s.limits.Store(&http1.Timeouts{Idle: time.Hour})
		time.Sleep(1200 * time.Millisecond)
	}
}

// Guards against requests that are dropped without an answer because the node stops
// while it reads them.
func TestDrainAnswersWhatItReads(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	s := newLimitedServer(t, http1.Timeouts{Idle: time.Hour, Header: time.Hour})
	conn, err := net.Dial("tcp4", s.addr)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	resting, err := net.Dial("tcp4", s.addr)
	require.NoError(t, err)
	defer func() { _ = resting.Close() }()
	in := bufio.NewReader(conn)
	answered := func() {
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, err)
	}
	_, err = io.WriteString(conn, request)
	require.NoError(t, err)
	answered()
	<-s.idle
	before := s.reads.Load()
	_, err = io.WriteString(conn, request[:10])
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.reads.Load() > before }, 10*time.Second, time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- s.bounded.Drain(t.Context()) }()
	require.Empty(t, readAll(resting), "a connection without a request ends at once")
	_, err = io.WriteString(conn, request[10:])
	require.NoError(t, err)
	answered()
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, <-ended)
}
