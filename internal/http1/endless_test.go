package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// endless is how many bytes an endpoint sends that would send without end.
	endless = 4 << 20
	// mostRead is how many of these may be read: a head of 64 KiB and some buffers.
	mostRead = 128 << 10
)

type (
	// meter is a dialer that counts what its connections read, and those that are open.
	meter struct {
		read atomic.Int64
		open atomic.Int64
	}

	meteredConn struct {
		*net.TCPConn
		meter *meter
		once  sync.Once
	}
)

// DialContext implements http1.Dialer.
func (m *meter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := http1.NewDialer(http1.DialerConfig{Timeout: 5 * time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	m.open.Add(1)
	return &meteredConn{TCPConn: c.(*net.TCPConn), meter: m}, nil
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.meter.read.Add(int64(n))
	return n, err
}

func (c *meteredConn) Close() error {
	c.once.Do(func() { c.meter.open.Add(-1) })
	return c.TCPConn.Close()
}

// pour writes repetitions of a text, each with its number, until it has written a number
// of bytes or the connection is closed.
func pour(c net.Conn, size int, text func(n int) string) {
	out := bufio.NewWriter(c)
	for n := 0; size > 0; n++ {
		wrote, err := out.WriteString(text(n))
		if err != nil {
			return
		}
		size -= wrote
	}
	// An error means that the node has closed the connection.
	_ = out.Flush()
}

func same(text string) func(int) string { return func(int) string { return text } }

// headsWithoutEnd are heads, by their beginnings and what follows without end.
var headsWithoutEnd = map[string]struct {
	begin string
	rest  func(n int) string
}{
	"status line":         {"HTTP/1.1 200 ", same("xxxxxxxxxxxxxxxx")},
	"no status line":      {"", same("xxxxxxxxxxxxxxxx")},
	"header name":         {"HTTP/1.1 200 OK\r\n", same("xxxxxxxxxxxxxxxx")},
	"header line":         {"HTTP/1.1 200 OK\r\nA: ", same("xxxxxxxxxxxxxxxx")},
	"header lines":        {"HTTP/1.1 200 OK\r\n", same("A: xxxxxxxxxxxxxxx\r\n")},
	"header lines differ": {"HTTP/1.1 200 OK\r\n", func(n int) string { return fmt.Sprintf("%x:\r\n", n) }},
	"continued lines":     {"HTTP/1.1 200 OK\r\nA: x\r\n", same(" x\r\n")},
	"informational":       {"", same("HTTP/1.1 100 Continue\r\n\r\n")},
	"early hints":         {"", same("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")},
}

// Guards against a node whose memory is exhausted by a single response, as its head has
// no end.
func TestHeadWithoutEnd(t *testing.T) {
	for name, head := range headsWithoutEnd {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused connection %v", name, reused), func(t *testing.T) {
				s := newServer(t, func(c net.Conn, in *bufio.Reader) {
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						if id := r.Header.Get(header); id != "endless" {
							_, _ = io.WriteString(c, ok(id))
							continue
						}
						_, _ = io.WriteString(c, head.begin)
						pour(c, endless, head.rest)
						return
					}
				})
				m := &meter{}
				p := http1.NewPool(http1.PoolConfig{RequestID: header, Dialer: m})
				defer p.Close()
				if reused {
					_, err := do(t.Context(), p, s.addr, "a", time.Minute)
					require.NoError(t, err)
				}
				_, err := p.Do(t.Context(), http1.Request{Addr: s.addr, ID: "endless", HTTP: get("endless"), MaxIdle: time.Minute})
				require.LessOrEqual(t, m.read.Load(), int64(mostRead), "bytes read")
				require.ErrorIs(t, err, http1.ErrHeadTooLarge)
				require.ErrorIs(t, err, http1.ErrBroken)
				require.Less(t, len(err.Error()), 1<<10)
				require.Zero(t, m.open.Load(), "open connections")
				require.EqualValues(t, 1, s.accepted.Load())
			})
		}
	}
}

// Guards against a log line as long as a head: errors quote what is malformed.
func TestErrorsAreShort(t *testing.T) {
	long := strings.Repeat("x", 60<<10)
	for _, answer := range []string{long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n", "HTTP/1.1 2" + long + "\r\n\r\n"} {
		s := newServer(t, each(func(string, int) string { return answer }))
		p := http1.NewPool(http1.PoolConfig{RequestID: header})
		defer p.Close()
		_, err := do(t.Context(), p, s.addr, "a", 0)
		require.ErrorIs(t, err, http1.ErrBroken)
		require.Less(t, len(err.Error()), 1<<10)
	}
}

// Guards against a node whose memory is exhausted by many responses whose heads have
// many fields: each takes far more memory than its bytes.
func TestManyHeadsWithoutEnd(t *testing.T) {
	const requests, size, mostHeap = 100, 128 << 10, 64 << 20
	stop := make(chan struct{})
	s := newServer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			pour(c, size, headsWithoutEnd["header lines differ"].rest)
			<-stop
		}
	})
	m := &meter{}
	p := http1.NewPool(http1.PoolConfig{RequestID: header, Dialer: m})
	defer p.Close()
	before := heap()
	errs := make(chan error, requests)
	for range requests {
		go func() {
			_, err := p.Do(t.Context(), http1.Request{Addr: s.addr, ID: "a", HTTP: get("a")})
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return len(errs) == requests || m.read.Load() >= requests*size }, 20*time.Second, time.Millisecond)
	used := heap() - before
	close(stop)
	require.Less(t, used, int64(mostHeap))
	for range requests {
		require.ErrorIs(t, <-errs, http1.ErrHeadTooLarge)
	}
}

// heap returns the size of the live heap.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against chunks of which one takes memory or time without end.
func TestChunksWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + header + ": a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
	for name, chunk := range map[string]struct {
		begin string
		rest  func(n int) string
	}{
		"size":             {"", same("1111111111111111")},
		"size with zeros":  {"", same("0000000000000000")},
		"extension":        {"1;", same("xxxxxxxxxxxxxxxx")},
		"extensions":       {"", same("1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n")},
		"trailer":          {"0\r\nA: ", same("xxxxxxxxxxxxxxxx")},
		"trailers":         {"0\r\n", same("A: x\r\n")},
		"continued lines":  {"0\r\nA: x\r\n", same(" x\r\n")},
		"trailers without": {"0\r\n", func(n int) string { return fmt.Sprintf("%x:\r\n", n) }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(c net.Conn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err == nil {
					_, _ = io.WriteString(c, head+chunk.begin)
					pour(c, endless, chunk.rest)
				}
			})
			m := &meter{}
			p := http1.NewPool(http1.PoolConfig{RequestID: header, Dialer: m})
			defer p.Close()
			_, err := do(t.Context(), p, s.addr, "a", 0)
			require.Error(t, err)
			require.LessOrEqual(t, m.read.Load(), int64(mostRead), "bytes read")
			require.Zero(t, m.open.Load(), "open connections")
		})
	}
}

// Guards against a response to another request that is read without end, in search of
// the request's own.
func TestStaleResponseWithoutEnd(t *testing.T) {
	for name, framing := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", endless),
		"chunk":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", endless),
		"close":  "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(c net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(c, ok("a"))
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+": a\r\n"+framing)
				pour(c, endless, same("xxxxxxxxxxxxxxxx"))
			})
			m := &meter{}
			p := http1.NewPool(http1.PoolConfig{RequestID: header, Dialer: m})
			defer p.Close()
			body, err := do(t.Context(), p, s.addr, "a", time.Minute)
			require.NoError(t, err)
			require.Equal(t, "a", body)
			_, err = do(t.Context(), p, s.addr, "b", time.Minute)
			require.ErrorIs(t, err, http1.ErrBroken)
			require.LessOrEqual(t, m.read.Load(), int64(mostRead), "bytes read")
			require.Zero(t, m.open.Load(), "open connections")
		})
	}
}

// Guards against a proxy that exhausts the memory of a node.
func TestProxyWithoutEnd(t *testing.T) {
	// Socket buffers take some of it.
	const size = 4 * endless
	for name, head := range headsWithoutEnd {
		t.Run(name, func(t *testing.T) {
			wrote := make(chan int, 1)
			s := newServer(t, func(c net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				out := &writeCounter{Conn: c}
				_, _ = io.WriteString(out, head.begin)
				pour(out, size, head.rest)
				wrote <- out.written
			})
			e := &http1.Egress{Proxy: s.addr, Timeout: 10 * time.Second}
			_, err := e.DialContext(t.Context(), "tcp4", "10.0.0.1:80")
			require.ErrorIs(t, err, http1.ErrEgress)
			require.Less(t, len(err.Error()), 1<<10)
			require.Less(t, <-wrote, size, "bytes that the proxy could send")
		})
	}
}

// writeCounter counts the bytes that are written to a connection.
type writeCounter struct {
	net.Conn
	written int
}

func (c *writeCounter) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}
