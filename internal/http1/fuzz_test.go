package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// Whatever bytes an endpoint sends, an accepted response repeats its request's ID, or
// has none on a new connection; and what follows on the same connection does not
// become the next request's response.
func FuzzResponses(f *testing.F) {
	for _, text := range []string{
		ok("q1"), ok("q2"), ok("q1") + ok("q2"), ok("q1") + ok("other"), ok("other") + ok("q1"),
		"HTTP/1.1 100 Continue\r\n\r\n" + ok("q1"), "HTTP/1.1 200 OK\r\n\r\nno length", "garbage", "", "HTTP/1.1 200",
		"HTTP/1.1 200 OK\r\n" + header + ": q1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + header + ": q1\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\n" + header + ": q1\r\n" + header + ": q2\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s := newServer(t, func(c net.Conn, in *bufio.Reader) {
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				if id := r.Header.Get(header); id == "q2" {
					_, _ = io.WriteString(c, ok(id))
					continue
				}
				if _, err := c.Write(text); err != nil {
					return
				}
				if tcp, ok := c.(*net.TCPConn); ok && len(text)%2 == 0 {
					// Some endpoints close the connection, some wait for more.
					_ = tcp.CloseWrite()
				}
			}
		})
		p := http1.NewPool(http1.PoolConfig{RequestID: header})
		defer p.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		x, err := p.Do(ctx, http1.Request{Addr: s.addr, ID: "q1", HTTP: get("q1"), MaxIdle: time.Minute})
		if err == nil {
			id := x.Response.Header.Get(header)
			require.True(t, id == "q1" || (id == "" && x.NewConn), id)
			if _, err := io.Copy(io.Discard, x.Response.Body); err == nil {
				x.Finish()
			}
			x.Abort()
		}
		next, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		body, err := do(next, p, s.addr, "q2", time.Minute)
		if err == nil {
			require.Equal(t, "q2", body)
		}
	})
}

func get(id string) *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{header: {id}}}
}
