package endpoint_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

const (
	// endlessBytes is how much an endpoint without end sends at most, and boundedBytes
	// how much it may get rid of, with what socket buffers hold.
	endlessBytes = 32 << 20
	boundedBytes = 4 << 20
	socketBuffer = 64 << 10
)

// calls are the calls of a Client, for an attempt with the ID 1f.
var calls = map[string]func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) error{
	"call": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) error {
		_, err := c.Do(ctx, addr, endpoint.Call{Attempt: "1f"})
		return err
	},
	"call once": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) error {
		_, err := c.Do(ctx, addr, endpoint.Call{Attempt: "1f", Once: true})
		return err
	},
	"resume": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) error {
		_, err := c.Resume(ctx, addr, "1f", 0)
		return err
	},
	"cancel": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) error {
		return c.Cancel(ctx, addr, "1f")
	},
	"load": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) error {
		_, err := c.Load(ctx, addr)
		return err
	},
}

// smallBuffers dials connections whose socket buffers are small.
type smallBuffers struct{}

func (smallBuffers) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketBuffer)
	}
	return c, err
}

// serveEndless serves connections that send a beginning and then a piece again and again.
// It counts the bytes of the connection that sent most.
func serveEndless(t *testing.T, beginning, piece string) (addr netip.AddrPort, most *atomic.Int64) {
	t.Helper()
	most = &atomic.Int64{}
	piece = strings.Repeat(piece, max(socketBuffer/len(piece), 1))
	addr = serve(t, func(c net.Conn) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(socketBuffer)
		}
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		sent, err := c.Write([]byte(strings.ReplaceAll(beginning, "ATTEMPT", r.Header.Get(endpoint.HeaderAttempt))))
		for err == nil && sent < endlessBytes {
			var n int
			n, err = c.Write([]byte(piece))
			sent += n
		}
		for {
			before := most.Load()
			if int64(sent) <= before || most.CompareAndSwap(before, int64(sent)) {
				return
			}
		}
	})
	return addr, most
}

// Guards against an endpoint whose answer has a head without end: net/http reads up to 10 MB
// of it for each call, and many of them end the process for its memory.
func TestHeadsWithoutEndAreBounded(t *testing.T) {
	heads := map[string]struct{ beginning, piece string }{
		"status line":           {"HTTP/1.1 200 ", "x"},
		"header line":           {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
		"continued lines":       {"HTTP/1.1 200 OK\r\nX-Long: 1\r\n", " more\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n\r\n"},
	}
	for head, h := range heads {
		for name, call := range calls {
			t.Run(head+", "+name, func(t *testing.T) {
				addr, most := serveEndless(t, h.beginning, h.piece)
				c := endpoint.NewClient(endpoint.ClientConfig{Dialer: smallBuffers{}})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				require.ErrorIs(t, call(ctx, c, addr), endpoint.ErrLost)
				c.Close()
				require.Less(t, most.Load(), int64(boundedBytes), "the connection is closed")
			})
		}
	}
}
