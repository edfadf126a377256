package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const header = "Request-Id"

// server runs a script on each connection that it accepts, and counts them.
type server struct {
	addr     netip.AddrPort
	accepted atomic.Int64
}

func newServer(t *testing.T, script func(c net.Conn, in *bufio.Reader)) *server {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &server{addr: netip.MustParseAddrPort(l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// each returns a script that responds to every request with what respond returns for
// its ID and its number on the connection.
func each(respond func(id string, n int) string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		for n := 0; ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, respond(r.Header.Get(header), n)); err != nil {
				return
			}
		}
	}
}

func ok(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", header, id, len(id), id)
}

func do(ctx context.Context, p *http1.Pool, addr netip.AddrPort, id string, idle time.Duration) (string, error) {
	return send(ctx, p, addr, id, "b", idle)
}

// send sends a request with a body and returns the body of the response.
func send(ctx context.Context, p *http1.Pool, addr netip.AddrPort, id, body string, idle time.Duration) (string, error) {
	req := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{header: {id}},
		Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
	}
	x, err := p.Do(ctx, http1.Request{Addr: addr, ID: id, HTTP: req, MaxIdle: idle})
	if err != nil {
		return "", err
	}
	defer x.Abort()
	got, err := io.ReadAll(x.Response.Body)
	if err != nil {
		return "", err
	}
	x.Finish()
	return string(got), nil
}

func TestConnectionReuse(t *testing.T) {
	cases := []struct {
		name    string
		respond func(id string, n int) string
		idle    time.Duration
		// opened is how many connections three requests take.
		opened int64
	}{
		{name: "are reused", respond: func(id string, _ int) string { return ok(id) }, idle: time.Minute, opened: 1},
		{name: "are not reused if no idle time is allowed", respond: func(id string, _ int) string { return ok(id) }, opened: 3},
		{
			name:    "are closed if the endpoint says so",
			respond: func(id string, _ int) string { return strings.Replace(ok(id), "\r\n", "\r\nConnection: close\r\n", 1) },
			idle:    time.Minute, opened: 3,
		},
		{
			// Guards against a caller that gets bytes of another's response.
			name:    "are closed if they have unexpected bytes",
			respond: func(id string, _ int) string { return ok(id) + "more" },
			idle:    time.Minute, opened: 3,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, each(c.respond))
			p := http1.NewPool(http1.PoolConfig{RequestID: header})
			defer p.Close()
			for _, id := range []string{"a", "b", "c"} {
				body, err := do(context.Background(), p, s.addr, id, c.idle)
				require.NoError(t, err)
				require.Equal(t, id, body)
			}
			require.Equal(t, c.opened, s.accepted.Load())
		})
	}
}

// Guards against at-most-once requests that end with a reset just after an endpoint has
// restarted, because they are sent on connections to its former process.
func TestConnectionsToAnEarlierProcessAreNotReused(t *testing.T) {
	s := newServer(t, each(func(id string, _ int) string { return ok(id) }))
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	for i, process := range []uint32{1, 1, 2, 2} {
		r := get(fmt.Sprint(i))
		x, err := p.Do(t.Context(), http1.Request{Addr: s.addr, Process: process, ID: r.Header.Get(header), HTTP: r, MaxIdle: time.Minute})
		require.NoError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		require.NoError(t, err)
		x.Finish()
	}
	require.EqualValues(t, 2, s.accepted.Load())
}

// Guards against a caller that gets the response to another request, because the
// endpoint has sent that response twice.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	last := ""
	s := newServer(t, each(func(id string, n int) string {
		defer func() { last = id }()
		if n == 1 {
			return ok(last) + ok(id)
		}
		return ok(id)
	}))
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	for _, id := range []string{"a", "b"} {
		body, err := do(context.Background(), p, s.addr, id, time.Minute)
		require.NoError(t, err)
		require.Equal(t, id, body)
	}
}

func TestErrorsSayWhetherARequestMayHaveRun(t *testing.T) {
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := netip.MustParseAddrPort(closed.Addr().String())
	require.NoError(t, closed.Close())
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	_, err = do(context.Background(), p, addr, "a", 0)
	require.ErrorIs(t, err, http1.ErrConnect)

	for _, answer := range []string{"", "garbage\r\n\r\n", ok("other")} {
		s := newServer(t, func(c net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		})
		_, err = do(context.Background(), p, s.addr, "a", 0)
		require.ErrorIs(t, err, http1.ErrBroken)
	}
}

// Guards against an endpoint that keeps working although nobody awaits its response.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	s := newServer(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		cancel()
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	})
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	_, err := do(ctx, p, s.addr, "a", 0)
	require.ErrorIs(t, err, http1.ErrBroken)
	<-gone
}

// Guards against a request that gets bytes of another's body, which the endpoint had
// not read when it responded.
func TestConnectionOfAnEarlyResponseIsNotReused(t *testing.T) {
	s := newServer(t, func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, ok(r.Header.Get(header)))
		time.Sleep(time.Hour)
	})
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	for _, id := range []string{"a", "b"} {
		body := strings.Repeat("x", 16<<20)
		req := &http.Request{
			Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{header: {id}},
			Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		}
		x, err := p.Do(context.Background(), http1.Request{Addr: s.addr, ID: id, HTTP: req, MaxIdle: time.Minute})
		require.NoError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		require.NoError(t, err)
		x.Finish()
	}
	require.Equal(t, int64(2), s.accepted.Load())
}

// Guards against requests that fail one after another on idle connections, because the
// endpoint has dropped these without notice.
func TestIdleConnectionsDroppedByEndpoint(t *testing.T) {
	const dropAfter, pause = 40 * time.Millisecond, 100 * time.Millisecond
	s := newServer(t, func(c net.Conn, in *bufio.Reader) {
		answered := time.Now().Add(time.Hour)
		for {
			r, err := http.ReadRequest(in)
			if err != nil || time.Since(answered) > dropAfter {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, ok(r.Header.Get(header))); err != nil {
				return
			}
			answered = time.Now()
		}
	})
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	lost := 0
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if _, err := do(context.Background(), p, s.addr, id, time.Minute); err != nil {
			require.ErrorIs(t, err, http1.ErrBroken)
			lost++
		}
		time.Sleep(pause)
	}
	require.Equal(t, 1, lost)
}

// Guards against endpoints that reset new connections, because idle ones exhaust the
// endpoint's limit.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const maxIdleConns, burst = 2, 6
	arrived := make(chan struct{}, burst)
	answer := make(chan struct{})
	s := newServer(t, each(func(id string, _ int) string {
		arrived <- struct{}{}
		<-answer
		return ok(id)
	}))
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	var group sync.WaitGroup
	send := func(id string) {
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{header: {id}}}
		x, err := p.Do(context.Background(), http1.Request{Addr: s.addr, ID: id, HTTP: req, MaxIdle: time.Minute, MaxIdleConns: maxIdleConns})
		require.NoError(t, err)
		_, err = io.ReadAll(x.Response.Body)
		require.NoError(t, err)
		x.Finish()
	}
	for range 2 {
		for i := range burst {
			group.Go(func() { send(fmt.Sprint(i)) })
		}
		for range burst {
			<-arrived
		}
		for range burst {
			answer <- struct{}{}
		}
		group.Wait()
	}
	require.EqualValues(t, burst+burst-maxIdleConns, s.accepted.Load())
}
