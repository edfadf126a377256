package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/sse"
)

const (
	// endless is how many bytes an endpoint sends that would send without end.
	endless = 16 << 20
	// slack is what may be read of these beyond what a limit allows: some buffers.
	slack = 64 << 10
	// headLimit is the largest head of a response.
	headLimit = 64 << 10
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

// newMetered returns a fixture whose connections to endpoints are counted.
func newMetered(t *testing.T, route deployment.Route, list ...*endpoint) (*fixture, *meter) {
	m := &meter{}
	f := &fixture{endpoints: list, dialer: m}
	route.Name, route.Host, route.Prefix, route.Public = "r", "h", "/p/", true
	route.Split, route.Timeout = []deployment.Share{{Service: "s", Weight: 1}}, time.Minute
	f.serve(t, &deployment.Config{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20}, Routes: []deployment.Route{route},
		Services: map[string]deployment.Service{"s": {Name: "s"}},
	}, noLoads{}, nil)
	return f, m
}

// without replies with a text, and repeats another one without end.
func without(begin, rest string) reply {
	return func(c net.Conn, r *http.Request) bool {
		write(c, "%s", strings.ReplaceAll(begin, "{id}", r.Header.Get(id)))
		out := bufio.NewWriter(c)
		for size := 0; size < endless; size += len(rest) {
			if _, err := out.WriteString(rest); err != nil {
				return false
			}
		}
		// An error means that the node has closed the connection.
		_ = out.Flush()
		return false
	}
}

// Guards against a node whose memory is exhausted by bytes that are no response, and
// against a caller that waits for their end.
func TestBytesWithoutEnd(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n" + id + ": {id}\r\n" + seal + ": s\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
	refusal := "HTTP/1.1 503 X\r\n" + id + ": {id}\r\nNot-Run: 1\r\n"
	for _, c := range []struct {
		name  string
		kind  deployment.Kind
		reply reply
		// status is that of the response, and limit how much of the bytes may be read.
		status int
		limit  int
	}{
		{name: "status line", reply: without("HTTP/1.1 200 ", "xxxxxxxx"), status: 502, limit: headLimit},
		{name: "header line", reply: without(ok+"A: ", "xxxxxxxx"), status: 502, limit: headLimit},
		{name: "header lines", reply: without(ok, "A: x\r\n"), status: 502, limit: headLimit},
		{name: "continued lines", reply: without(ok+"A: x\r\n", " x\r\n"), status: 502, limit: headLimit},
		{name: "informational", reply: without("", "HTTP/1.1 100 Continue\r\n\r\n"), status: 502, limit: headLimit},
		{name: "header of a stream", kind: deployment.Streaming, reply: without(ok, "A: x\r\n"), status: 502, limit: headLimit},
		{name: "chunk size", reply: without(chunked, "11111111"), status: 502},
		{name: "chunk extension", reply: without(chunked+"1;", "xxxxxxxx"), status: 502},
		{name: "chunk extensions", reply: without(chunked, "1;"+strings.Repeat("x", 1<<10)+"\r\nx\r\n"), status: 502},
		{name: "trailers", reply: without(chunked+"0\r\n", "A: x\r\n"), status: 502},
		{name: "event", kind: deployment.Streaming, reply: without(ok+"\r\ndata: ", "xxxxxxxx"), status: 502, limit: sse.MaxEventSize},
		{name: "lines of an event", kind: deployment.Streaming, reply: without(ok+"\r\n", "data: x\n"), status: 502, limit: sse.MaxEventSize},
		{name: "comment lines", kind: deployment.Streaming, reply: without(ok+"\r\n", ": x\n"), status: 502, limit: sse.MaxEventSize},
		{name: "after a response", reply: without(ok+"Content-Length: 2\r\n\r\nhi", "xxxxxxxx"), status: 200},
		{name: "refusal with a length", reply: without(refusal+fmt.Sprintf("Content-Length: %d\r\n\r\n", endless), "xxxxxxxx"), status: 503, limit: 64 << 10},
		{name: "refusal in chunks", reply: without(refusal+"Transfer-Encoding: chunked\r\n\r\n", "8\r\nxxxxxxxx\r\n"), status: 503, limit: 256 << 10},
		{name: "refusal until the connection ends", reply: without(refusal+"\r\n", "xxxxxxxx"), status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.kind == 0 {
				c.kind = deployment.AtMostOnce
			}
			f, m := newMetered(t, deployment.Route{Kind: c.kind, Attempts: 1}, newEndpoint(t, c.reply))
			r := f.post(t, "/p/x", nil)
			require.Equal(t, c.status, r.status)
			require.Eventually(t, func() bool { return m.open.Load() == 0 }, 10*time.Second, time.Millisecond, "the connection is closed")
			require.LessOrEqual(t, m.read.Load(), int64(f.arrivals()*(c.limit+slack)), "bytes read")
		})
	}
}

// Guards against an at-most-once request that waits for the rest of a refusal until its
// time is over, instead of being sent elsewhere.
func TestRefusalThatDoesNotEnd(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\n" + id + ": {id}\r\nNot-Run: 1\r\n"
	for _, framing := range []string{"Content-Length: 10\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "\r\nx"} {
		shared := &sharedReplies{replies: []reply{func(c net.Conn, r *http.Request) bool {
			raw(refusal+framing)(c, r)
			return silent(c, r)
		}, whole(200, "hi")}}
		f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 2, Timeout: 2 * time.Second}, newEndpoint(t, shared.play), newEndpoint(t, shared.play))
		require.Equal(t, 200, f.post(t, "/p/x", nil).status)
	}
}

// Guards against an endpoint that goes on sending a response after its caller has left.
func TestBodyWithoutEndEndsWithItsCaller(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\n" + id + ": {id}\r\n" + seal + ": s\r\n"
	for name, reply := range map[string]reply{
		"length": without(ok+fmt.Sprintf("Content-Length: %d\r\n\r\n", endless), "xxxxxxxx"),
		"chunks": without(ok+"Transfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n"),
		"close":  without(ok+"\r\n", "xxxxxxxx"),
	} {
		t.Run(name, func(t *testing.T) {
			f, m := newMetered(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, newEndpoint(t, reply))
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.server.URL+"/p/x", nil)
			require.NoError(t, err)
			req.Host = "h"
			req.Header.Set(id, "q1")
			resp, err := http.DefaultTransport.RoundTrip(req)
			require.NoError(t, err)
			_, err = io.CopyN(io.Discard, resp.Body, 2<<20)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Eventually(t, func() bool { return m.open.Load() == 0 && f.handler.Active() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}
