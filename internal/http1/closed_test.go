package http1_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// wholeRequest is a request whose response is awaited, and halfRequest one whose body
	// is never complete.
	wholeRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
	halfRequest  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab"
)

// answer reads the response to a request.
func answer(t *testing.T, c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
}

// Guards against connections that close without a trace, so that nothing says whether a
// caller or the node has ended them, and why.
func TestClosedConnectionsAreCountedByCause(t *testing.T) {
	long := http1.Timeouts{Header: time.Hour, Idle: time.Hour}
	for _, c := range []struct {
		cause  string
		limits http1.Timeouts
		// act does what ends a connection.
		act func(t *testing.T, s *limitedServer, c net.Conn)
		// lines is how many lines are logged.
		lines int
	}{
		{
			cause: "idle", limits: http1.Timeouts{Header: time.Hour, Idle: 50 * time.Millisecond},
			act: func(t *testing.T, _ *limitedServer, c net.Conn) { require.Empty(t, readAll(c)) },
		},
		{
			cause: "header-late", limits: http1.Timeouts{Header: 50 * time.Millisecond, Idle: time.Hour}, lines: 1,
			act: func(t *testing.T, _ *limitedServer, c net.Conn) {
				_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost")
				require.NoError(t, err)
				require.Contains(t, readAll(c), "408")
			},
		},
		{
			cause: "caller", limits: long,
			act: func(t *testing.T, s *limitedServer, c net.Conn) {
				_, err := io.WriteString(c, wholeRequest)
				require.NoError(t, err)
				answer(t, c)
				<-s.idle
				require.NoError(t, c.Close())
			},
		},
		{
			cause: "caller-in-request", limits: long,
			act: func(t *testing.T, _ *limitedServer, c net.Conn) {
				_, err := io.WriteString(c, halfRequest)
				require.NoError(t, err)
				require.NoError(t, c.Close())
			},
		},
		{
			cause: "node", limits: long,
			act: func(t *testing.T, _ *limitedServer, c net.Conn) {
				_, err := io.WriteString(c, strings.Replace(wholeRequest, "Host", "Connection: close\r\nHost", 1))
				require.NoError(t, err)
				require.Contains(t, readAll(c), "200 OK")
			},
		},
		{
			cause: "shutdown", limits: long,
			act: func(t *testing.T, s *limitedServer, c net.Conn) {
				_, err := io.WriteString(c, wholeRequest)
				require.NoError(t, err)
				answer(t, c)
				require.NoError(t, s.server.Shutdown(t.Context()))
				require.Empty(t, readAll(c))
			},
		},
		{
			cause: "shutdown-in-header", limits: long,
			act: func(t *testing.T, s *limitedServer, c net.Conn) {
				_, err := io.WriteString(c, wholeRequest)
				require.NoError(t, err)
				answer(t, c)
				<-s.idle
				before := s.reads.Load()
				_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost")
				require.NoError(t, err)
				require.Eventually(t, func() bool { return s.reads.Load() > before }, 10*time.Second, time.Millisecond)
				require.NoError(t, s.server.Shutdown(t.Context()))
				require.Empty(t, readAll(c))
			},
		},
	} {
		t.Run(c.cause, func(t *testing.T) {
			s := newLimitedServer(t, c.limits)
			conn, err := net.Dial("tcp4", s.addr)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			c.act(t, s, conn)
			metrics := func() string {
				var out bytes.Buffer
				s.bounded.WriteMetrics(&out)
				return out.String()
			}
			require.Eventually(t, func() bool {
				return strings.Contains(metrics(), `bulrushhinge_callers_closed_total{cause="`+c.cause+`"} 1`)
			}, 10*time.Second, time.Millisecond)
			text := metrics()
			require.Equal(t, 6, strings.Count(text, "} 0\n"), "counted once: %s", text)
			require.Contains(t, text, "bulrushhinge_callers_connections_total 1\n")
			s.log.Close()
			require.Equal(t, c.lines, strings.Count(s.logged.String(), `"event":"header.late"`))
		})
	}
}
