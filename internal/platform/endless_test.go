package platform_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

type (
	// countingDialer counts what its connections read.
	countingDialer struct{ read atomic.Int64 }

	countingConn struct {
		net.Conn
		read *atomic.Int64
	}
)

// DialContext implements platform.Dialer.
func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &countingConn{Conn: c, read: &d.read}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a node whose memory is exhausted by a response of the platform that has no
// end.
func TestResponseWithoutEnd(t *testing.T) {
	// A value has 1 MiB at most, and in chunks half as much again on the wire.
	const endless, mostHead, mostBody = 32 << 20, 128 << 10, 2 << 20
	ok := "HTTP/1.1 200 OK\r\n" + platform.HeaderVersion + ": 1\r\n"
	for name, r := range map[string]struct {
		begin, rest string
		limit       int64
	}{
		"status line":   {"HTTP/1.1 200 ", "x", mostHead},
		"header line":   {ok + "A: ", "x", mostHead},
		"header lines":  {ok, "A: x\r\n", mostHead},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", mostHead},
		"chunks":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "8\r\n        \r\n", mostBody},
		"close":         {ok + "\r\n", " ", mostBody},
		"of an error":   {"HTTP/1.1 500 OK\r\n\r\n", "x", mostHead},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err = c.Write([]byte(r.begin))
				piece := []byte(strings.Repeat(r.rest, 16<<10/len(r.rest)))
				for sent := 0; err == nil && sent < endless; sent += len(piece) {
					_, err = c.Write(piece)
				}
			}()
			d := &countingDialer{}
			c := platform.NewClient(platform.ClientConfig{Addr: netip.MustParseAddrPort(l.Addr().String()), Dialer: d})
			defer c.Close()
			_, err = c.Get(t.Context(), platform.KeyInstances)
			require.Error(t, err)
			<-ended
			require.LessOrEqual(t, d.read.Load(), r.limit, "bytes read")
		})
	}
}
