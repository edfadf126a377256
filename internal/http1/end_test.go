package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// uploadSize exceeds the socket buffers of a connection that is not read.
	uploadSize = 900 << 10
	// resets is how often an exchange is reset. Which goroutine receives the reset
	// differs from one to the next.
	resets = 40
)

// upload sends a large request and returns the body of the response.
func upload(ctx context.Context, p *http1.Pool, addr netip.AddrPort) (string, error) {
	return send(ctx, p, addr, "a", strings.Repeat("x", uploadSize), 0)
}

// early runs a script on each connection once it has read the head of a request and has
// sent a response without a length.
func early(fields string, script func(c *net.TCPConn)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: a\r\n%s\r\npart", header, fields)
		script(c.(*net.TCPConn))
	}
}

// reset resets a connection after a time.
func reset(after time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(after)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Guards against the beginning of a response that counts as the whole: its connection was
// reset, and the reset was reported to the goroutine that writes the request.
func TestResetDuringAnUploadIsNotTheEndOfAResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields string
		script func(c *net.TCPConn)
	}{
		{name: "reset at once", script: reset(0)},
		{name: "of a connection that is not kept", fields: "Connection: close\r\n", script: reset(0)},
		{name: "closed with a part of the request unread", script: func(c *net.TCPConn) {
			// More than one byte arrives at a time.
			_, _ = io.ReadFull(c, make([]byte, 1))
			_ = c.Close()
		}},
		{name: "reset 0.2 ms later", script: reset(200 * time.Microsecond)},
		{name: "reset 5 ms later", script: reset(5 * time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, early(c.fields, c.script))
			p := http1.NewPool(http1.PoolConfig{RequestID: header})
			defer p.Close()
			whole := 0
			for range resets {
				_, err := upload(t.Context(), p, s.addr)
				if err == nil {
					whole++
					continue
				}
				require.True(t, http1.IsClosedByPeer(err), err)
			}
			require.Zero(t, whole, "responses that count as whole, of %d", resets)
		})
	}
}

// Guards against the beginning of a response that counts as the whole: its endpoint reads
// no more of the request, so that the kernel has given the connection up.
func TestTimeoutDuringAnUploadIsNotTheEndOfAResponse(t *testing.T) {
	s := newServer(t, early("", func(*net.TCPConn) { <-t.Context().Done() }))
	p := http1.NewPool(http1.PoolConfig{
		RequestID: header, Dialer: http1.NewDialer(http1.DialerConfig{Timeout: time.Second, Silence: 200 * time.Millisecond}),
	})
	defer p.Close()
	_, err := upload(t.Context(), p, s.addr)
	require.Error(t, err)
	require.True(t, http1.IsTimeout(err), err)
}

// Guards against a whole response that counts as broken off, or is held back, because its
// endpoint has sent it before it has read the request.
func TestEarlyResponseEndsWithItsSendingSide(t *testing.T) {
	for _, c := range []struct {
		name string
		// script gets a channel that is closed once the response was received.
		script func(c *net.TCPConn, received <-chan struct{})
	}{
		{name: "and the rest of the request is read", script: func(c *net.TCPConn, _ <-chan struct{}) { _, _ = io.Copy(io.Discard, c) }},
		{name: "and the rest is read slowly", script: func(c *net.TCPConn, received <-chan struct{}) {
			_, _ = io.CopyN(io.Discard, c, 1)
			<-received
			_, _ = io.Copy(io.Discard, c)
		}},
		{name: "and the rest is not read", script: func(_ *net.TCPConn, received <-chan struct{}) { <-received }},
		{name: "and the connection is reset then", script: func(c *net.TCPConn, _ <-chan struct{}) { reset(0)(c) }},
		{name: "and the connection is reset later", script: func(c *net.TCPConn, _ <-chan struct{}) { reset(time.Millisecond)(c) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range resets {
				received := make(chan struct{})
				s := newServer(t, early("", func(conn *net.TCPConn) {
					_ = conn.CloseWrite()
					c.script(conn, received)
				}))
				p := http1.NewPool(http1.PoolConfig{RequestID: header})
				body, err := upload(t.Context(), p, s.addr)
				close(received)
				p.Close()
				require.NoError(t, err)
				require.Equal(t, "part", body)
			}
		})
	}
}
