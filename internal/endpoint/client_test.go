package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// serve calls handle for each connection until the test ends.
func serve(t *testing.T, handle func(c net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer c.Close()
				handle(c)
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		running.Wait()
	})
	addr, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	return addr
}

func readFull(c net.Conn, into []byte) bool {
	_, err := io.ReadFull(c, into)
	return err == nil
}

func newClient(t *testing.T) *endpoint.Client {
	t.Helper()
	c := endpoint.NewClient(endpoint.ClientConfig{})
	t.Cleanup(c.Close)
	return c
}

// Guards against a call marked Once that runs twice (a renewal letter that is
// mailed twice) because the transport retries it when a kept-alive connection
// breaks.
func TestTransportNeverSendsACallTwice(t *testing.T) {
	var received atomic.Int32
	addr := serve(t, func(c net.Conn) {
		requests := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/letter" {
				received.Add(1)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt: warm\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := newClient(t)
	warm := func() {
		a, err := client.Do(t.Context(), addr, endpoint.Call{Attempt: "warm", Path: "/warm"})
		require.NoError(t, err)
		_, err = a.ReadAll(1)
		require.NoError(t, err)
		require.NoError(t, a.Close())
	}
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		for _, body := range [][]byte{nil, []byte("letter")} {
			warm()
			received.Store(0)
			_, err := client.Do(t.Context(), addr, endpoint.Call{
				Attempt: "1", Method: method, Path: "/letter", Body: body, Once: true,
				Header: http.Header{"Idempotency-Key": {"1"}},
			})
			require.ErrorIs(t, err, endpoint.ErrLost)
			require.NotErrorIs(t, err, endpoint.ErrNotRun)
			require.EqualValues(t, 1, received.Load(), method)
		}
	}
}

// Guards against a call that runs twice because the client follows a redirect.
func TestNoRedirectIsFollowed(t *testing.T) {
	var calls atomic.Int32
	addr := serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nX-Attempt: 1\r\nContent-Length: 0\r\n\r\n")
	})
	for _, body := range [][]byte{nil, []byte("letter")} {
		for _, once := range []bool{true, false} {
			calls.Store(0)
			a, err := newClient(t).Do(t.Context(), addr, endpoint.Call{Attempt: "1", Path: "/letter", Body: body, Once: once})
			require.NoError(t, err)
			require.Equal(t, http.StatusTemporaryRedirect, a.Status)
			_, err = a.ReadAll(1)
			require.NoError(t, err)
			require.NoError(t, a.Close())
			require.EqualValues(t, 1, calls.Load())
		}
	}
}

// Guards against a request that is reported as not run although the endpoint may
// have run it, because the connection broke after it was made.
func TestNotRunOnlyWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, l.Close())
	readSome := func(n int64) func(net.Conn) {
		return func(c net.Conn) {
			method := make([]byte, 4)
			// The request to resume the broken attempt is not answered either.
			if n == 0 || readFull(c, method) && string(method) == "GET " {
				return
			}
			_, _ = io.CopyN(io.Discard, c, n-int64(len(method)))
		}
	}
	answer := func(head string) func(net.Conn) {
		return func(c net.Conn) {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
			}
		}
	}
	cases := []struct {
		name string
		addr netip.AddrPort
		want error
	}{
		{"refused", refusing, endpoint.ErrNotRun},
		{"closed at once", serve(t, readSome(0)), endpoint.ErrLost},
		{"closed within the head", serve(t, readSome(10)), endpoint.ErrLost},
		{"closed within the body", serve(t, readSome(4096)), endpoint.ErrLost},
		{"said so", serve(t, answer("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n")), endpoint.ErrNotRun},
		{"said so of an answer", serve(t, answer("HTTP/1.1 200 OK\r\nX-Not-Run: 1\r\n")), endpoint.ErrLost},
		{"answered for another", serve(t, answer("HTTP/1.1 200 OK\r\nX-Attempt: 2\r\n")), endpoint.ErrLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, once := range []bool{true, false} {
				call := endpoint.Call{Attempt: "1", Path: "/letter", Body: make([]byte, 1<<20), Once: once}
				_, err := newClient(t).Do(t.Context(), c.addr, call)
				require.ErrorIs(t, err, c.want)
				other := endpoint.ErrLost
				if c.want == endpoint.ErrLost {
					other = endpoint.ErrNotRun
				}
				require.NotErrorIs(t, err, other)
			}
		})
	}
}

// Guards against an answer that arrives after the node gave up and reaches the
// next caller.
func TestLateAnswerIsDiscarded(t *testing.T) {
	late := make(chan struct{})
	var first atomic.Bool
	addr := serve(t, func(c net.Conn) {
		requests := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			id := r.Header.Get("X-Attempt")
			if id == "late" && first.CompareAndSwap(false, true) {
				<-late
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt: "+id+"\r\nContent-Length: 4\r\n\r\n"+(id + "    ")[:4])
		}
	})
	client := newClient(t)
	ctx, cancel := contextWithTimeout(t, 50*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, addr, endpoint.Call{Attempt: "late", Path: "/"})
	require.ErrorIs(t, err, endpoint.ErrLost)
	close(late)
	for range 4 {
		a, err := client.Do(t.Context(), addr, endpoint.Call{Attempt: "next", Path: "/"})
		require.NoError(t, err)
		data, err := a.ReadAll(16)
		require.NoError(t, err)
		require.Equal(t, "next", string(data))
		require.NoError(t, a.Close())
	}
}

// Guards against a caller that waits until its deadline because the endpoint
// accepts the request to resume a broken attempt and never answers it.
func TestResumeOfBrokenAttemptIsBounded(t *testing.T) {
	release := make(chan struct{})
	addr := serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil && r.Method == http.MethodGet {
			<-release
		}
	})
	client := endpoint.NewClient(endpoint.ClientConfig{Resume: time.Millisecond})
	defer client.Close()
	ctx, cancel := contextWithTimeout(t, 20*time.Second)
	defer cancel()
	_, err := client.Do(ctx, addr, endpoint.Call{Attempt: "1", Path: "/"})
	close(release)
	require.ErrorIs(t, err, endpoint.ErrLost)
	require.NoError(t, ctx.Err())
}

// Guards against notices that are read from the answers to some kinds of calls
// only.
func TestNoticesAreReadFromAllAnswers(t *testing.T) {
	calls := map[string]func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort){
		"request": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) {
			_, _ = c.Do(ctx, addr, endpoint.Call{Path: "/x", Attempt: "1"})
		},
		"request that runs once": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) {
			_, _ = c.Do(ctx, addr, endpoint.Call{Path: "/x", Attempt: "1", Once: true})
		},
		"rest of an answer": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) { _, _ = c.Resume(ctx, addr, "1", 0) },
		"cancellation":      func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) { _ = c.Cancel(ctx, addr, "1") },
		"report":            func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) { _, _ = c.Load(ctx, addr) },
		"order": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) {
			_, _ = c.Order(ctx, addr, endpoint.Order{})
		},
		"cache events": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) { _, _ = c.Events(ctx, addr, 0) },
		"copy from it": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) {
			_, _ = c.ExportKV(ctx, addr, "chat")
		},
		"copy to it": func(ctx context.Context, c *endpoint.Client, addr netip.AddrPort) {
			_ = c.ImportKV(ctx, addr, endpoint.KV{Chat: "chat"})
		},
	}
	responses := map[string]struct {
		status int
		head   map[string]string
		want   endpoint.Notice
	}{
		"leaves":                     {200, map[string]string{endpoint.HeaderLeaving: "7"}, endpoint.Notice{Leaving: true, Incarnation: 7}},
		"leaves, of unknown start":   {404, map[string]string{endpoint.HeaderLeaving: "0"}, endpoint.Notice{Leaving: true}},
		"rests":                      {503, map[string]string{endpoint.HeaderNotRun: "1", endpoint.HeaderBackoff: "2"}, endpoint.Notice{Backoff: 2 * time.Second}},
		"nothing that can be read":   {503, map[string]string{endpoint.HeaderLeaving: "soon", endpoint.HeaderBackoff: "later"}, endpoint.Notice{}},
		"a rest with another status": {200, map[string]string{endpoint.HeaderBackoff: "2"}, endpoint.Notice{}},
	}
	for call, do := range calls {
		for what, c := range responses {
			t.Run(call+" "+what, func(t *testing.T) {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					for name, value := range c.head {
						w.Header().Set(name, value)
					}
					w.WriteHeader(c.status)
				}))
				defer s.Close()
				addr := netip.MustParseAddrPort(s.Listener.Addr().String())
				notices := make(chan endpoint.Notice, 10)
				client := endpoint.NewClient(endpoint.ClientConfig{OnNotice: func(at netip.AddrPort, n endpoint.Notice) {
					require.Equal(t, addr, at)
					notices <- n
				}})
				do(t.Context(), client, addr)
				client.Close()
				if c.want == (endpoint.Notice{}) {
					require.Empty(t, notices)
					return
				}
				require.Equal(t, c.want, <-notices)
			})
		}
	}
}
