package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// newProxy answers each CONNECT request with a text, and closes its connection at the
// end of the test.
func newProxy(t *testing.T, answer string) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil && req.Method == http.MethodConnect && req.Host == "10.0.0.1:80" {
				_, _ = io.WriteString(c, answer)
			}
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against an endpoint that refuses connections and looks as if it were silent,
// because a proxy is on the way.
func TestEgress(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		err    error
	}{
		{name: "opened", answer: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "refused", answer: "HTTP/1.1 502 Bad Gateway\r\n\r\n", err: syscall.ECONNREFUSED},
		{name: "not allowed", answer: "HTTP/1.1 403 Forbidden\r\n\r\n", err: http1.ErrEgress},
		{name: "silent", err: http1.ErrEgress},
		{name: "bytes that nobody asked for", answer: "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n", err: http1.ErrEgress},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &http1.Egress{Proxy: newProxy(t, c.answer), Timeout: 300 * time.Millisecond}
			conn, err := e.DialContext(t.Context(), "tcp4", "10.0.0.1:80")
			require.ErrorIs(t, err, c.err)
			if c.err == nil {
				require.NoError(t, conn.Close())
			}
		})
	}
}
