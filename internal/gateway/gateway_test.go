package gateway_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"iter"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	seal = "Seal"
	id   = "Request-Id"
)

type (
	// reply handles one request at an endpoint. It returns whether the connection
	// stays open.
	reply func(c net.Conn, r *http.Request) bool

	// endpoint is a test endpoint that uses its replies in turn and repeats the
	// last one.
	endpoint struct {
		listener net.Listener
		mu       sync.Mutex
		replies  []reply
		requests []*http.Request
		conns    map[net.Conn]bool
		// start counts the ends and starts of the endpoint's process.
		start int
		// early says that replies come before the bodies of requests are read.
		early bool
	}

	// staticDeployment is a deployment that changes only by leave notices.
	staticDeployment struct {
		snapshot *deployment.Snapshot
		age      time.Duration
		left     *[]string
	}

	noLoads struct{}

	// fixture is a gateway in front of some endpoints.
	fixture struct {
		server    *httptest.Server
		endpoints []*endpoint
		snapshot  *deployment.Snapshot
		crashes   *crash.Tracker
		handler   *gateway.Handler
		balancer  *balance.Balancer
		// dialer opens the connections to endpoints; nil is the pool's own.
		dialer http1.Dialer
		// left are the endpoints that have sent a leave notice.
		left    []string
		metrics *gateway.Metrics
		// logged has the lines of log once that is closed.
		log    *decision.Log
		logged bytes.Buffer
		// change changes the settings of gateways; it may be nil.
		change func(c *gateway.Config)
	}

	// response is what a caller got.
	response struct {
		status   int
		body     string
		header   http.Header
		complete bool
	}
)

func (d staticDeployment) Snapshot() *deployment.Snapshot { return d.snapshot }

// Configured implements gateway.Deployment: the configuration never changes.
func (staticDeployment) Configured() <-chan struct{} { return nil }

func (d staticDeployment) Age() (time.Duration, bool) { return d.age, true }

// Lapsing implements crash.Deployment.
func (staticDeployment) Lapsing() time.Duration { return 0 }

// RecordLeave implements gateway.Deployment.
func (d staticDeployment) RecordLeave(s deployment.Start, _ string) {
	*d.left = append(*d.left, s.ID)
	for _, list := range d.snapshot.Endpoints {
		for _, e := range list {
			e.Draining = e.Draining || e.Start() == s
		}
	}
}

func (noLoads) Others(uint32) int { return 0 }

func (noLoads) OthersPrefill(uint32) int { return 0 }

// OthersFailures implements balance.Loads: no attempt has failed.
func (noLoads) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: the loads are current.
func (noLoads) Age(time.Time) time.Duration { return 0 }

func headers() gateway.Headers {
	return gateway.Headers{
		RequestID: id, Deadline: "Deadline-Ms", APIKey: "Api-Key", Account: "Account", ExpectEndpoint: "Expect-Endpoint",
		Load: "Load", EndpointLoad: endpointLoad, NotRun: "Not-Run", Seal: seal, Prompt: "Prompt", PromptParts: promptParts, Tokens: "Tokens",
		Leaving: leaving, RetryAfter: retryAfter, Brittle: brittle, Model: "Model", Priority: "Priority", LastEventID: "Last-Event-Id", FetchFrom: "Fetch", Reservation: reserved, Internal: []string{"Fetch", "Account"},
	}
}

// endpointLoad reads two to four numbers.
func endpointLoad(header string) (gateway.EndpointLoad, error) {
	var l gateway.EndpointLoad
	percent := 0
	n, err := fmt.Sscanf(header, "%d,%d,%d,%d", &l.Running, &l.Waiting, &l.Slots, &percent)
	if n < 2 {
		return gateway.EndpointLoad{}, err
	}
	l.Slowdown = float64(percent) / 100
	return l, nil
}

// promptParts reads parts that are written as ID:TOKENS.
func promptParts(prompt string) iter.Seq[gateway.Part] {
	return func(yield func(gateway.Part) bool) {
		for text := range strings.FieldsFuncSeq(prompt, func(r rune) bool { return r == ',' }) {
			name, size, _ := strings.Cut(text, ":")
			tokens, _ := strconv.Atoi(size)
			if !yield(gateway.Part{ID: name, Tokens: tokens}) {
				return
			}
		}
	}
}

func newEndpoint(t *testing.T, replies ...reply) *endpoint {
	return newEndpointAt(t, "127.0.0.1:0", replies...)
}

func newEndpointAt(t *testing.T, addr string, replies ...reply) *endpoint {
	l, err := net.Listen("tcp4", addr)
	require.NoError(t, err)
	e := &endpoint{listener: l, replies: replies, conns: map[net.Conn]bool{}}
	t.Cleanup(func() { _ = l.Close() })
	go e.accept(l, e.start)
	return e
}

// newEarlyEndpoint returns an endpoint that replies before it reads the bodies of requests.
func newEarlyEndpoint(t *testing.T, replies ...reply) *endpoint {
	e := newEndpoint(t, replies...)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early = true
	return e
}

func (e *endpoint) accept(l net.Listener, start int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c, start)
	}
}

func (e *endpoint) serve(c net.Conn, start int) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if !e.early {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		answer := e.next(r, start)
		if answer == nil || !answer(c, r) {
			return
		}
	}
}

// next returns the reply to a request, nil if the process of this start has ended.
func (e *endpoint) next(r *http.Request, start int) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if start != e.start {
		return nil
	}
	e.requests = append(e.requests, r)
	return e.replies[min(len(e.requests), len(e.replies))-1]
}

func (e *endpoint) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

func write(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

func whole(status int, body string, extra ...string) reply {
	return func(c net.Conn, r *http.Request) bool {
		return write(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, id, r.Header.Get(id), seal, strings.Join(extra, ""), len(body), body)
	}
}

func shed(c net.Conn, r *http.Request) bool {
	return write(c, "HTTP/1.1 503 X\r\n%s: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id, r.Header.Get(id))
}

func hangUp(net.Conn, *http.Request) bool { return false }

func silent(c net.Conn, _ *http.Request) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

func raw(text string) reply {
	return func(c net.Conn, r *http.Request) bool {
		write(c, "%s", strings.ReplaceAll(text, "{id}", r.Header.Get(id)))
		return false
	}
}

func event(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

func events(from, to int) string {
	text := ""
	for n := from; n <= to; n++ {
		text += event(n)
	}
	return text
}

// stream replies with the events after the request's Last-Event-Id up to last, then
// with tail; if ended is true, the final chunk follows.
func stream(last int, tail string, ended bool) reply {
	return func(c net.Conn, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.Header.Get(id), seal)
		for n := after + 1; n <= last; n++ {
			write(c, "%x\r\n%s\r\n", len(event(n)), event(n))
		}
		if tail != "" {
			write(c, "%x\r\n%s\r\n", len(tail), tail)
		}
		return ended && write(c, "0\r\n\r\n")
	}
}

func newFixture(t *testing.T, route deployment.Route, list ...*endpoint) *fixture {
	f := &fixture{endpoints: list}
	route.Name, route.Host, route.Prefix, route.Public = "r", "h", "/p/", true
	route.Split = []deployment.Share{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	config := &deployment.Config{
		Version: 1, Routes: []deployment.Route{route}, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Services: map[string]deployment.Service{"s": {Name: "s"}},
		Accounts: []deployment.Account{{Name: "acct", Keys: []string{"key"}}},
	}
	private := route
	private.Name, private.Prefix, private.Public = "private", "/k/", false
	config.Routes = append(config.Routes, private)
	f.serve(t, config, noLoads{}, nil)
	return f
}

// serve starts the gateway in front of the fixture's endpoints, with four slots each.
func (f *fixture) serve(t *testing.T, config *deployment.Config, loads balance.Loads, places gateway.Reserver) {
	config.Index()
	f.snapshot = &deployment.Snapshot{Config: config, Endpoints: map[string][]*deployment.Endpoint{}}
	for i, e := range f.endpoints {
		f.snapshot.Endpoints["s"] = append(f.snapshot.Endpoints["s"], &deployment.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "s", Slots: 4, Addr: netip.MustParseAddrPort(e.listener.Addr().String()),
		})
	}
	pool := http1.NewPool(http1.PoolConfig{RequestID: id, Dialer: f.dialer})
	d := staticDeployment{snapshot: f.snapshot, left: &f.left}
	f.crashes = crash.NewTracker(crash.Config{Prober: pool, Deployment: d})
	f.balancer, f.metrics = balance.New(balance.Config{Loads: loads}), gateway.NewMetrics()
	f.log = decision.New(decision.LogConfig{To: &f.logged, Node: "n"})
	t.Cleanup(f.log.Close)
	c := gateway.Config{
		Headers: headers(), Deployment: d, Pool: pool, Reserver: places, Log: f.log,
		Regions:  map[string]string{"z0": "r0", "z1": "r1"},
		Balancer: f.balancer,
		Budget:   budget.New(budget.Config{Ratio: 0.2, Window: 10 * time.Second, Slack: 20, Nodes: func() int { return 1 }}),
		Crashes:  f.crashes, Metrics: f.metrics,
		Nodes: func() int { return 1 }, Stopping: func() bool { return false },
	}
	if f.change != nil {
		f.change(&c)
	}
	f.handler = gateway.New(c)
	f.server = httptest.NewServer(f.handler)
	t.Cleanup(pool.Close)
	t.Cleanup(f.server.Close)
}

func (f *fixture) post(t *testing.T, path string, header map[string]string) response {
	return f.postContext(context.Background(), t, path, header)
}

func (f *fixture) postContext(ctx context.Context, t *testing.T, path string, header map[string]string) response {
	return f.postBody(ctx, t, path, "body", header)
}

func (f *fixture) postBody(ctx context.Context, t *testing.T, path, body string, header map[string]string) response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(id, "q1")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(got), header: resp.Header, complete: err == nil}
}

func (f *fixture) arrivals() int {
	n := 0
	for _, e := range f.endpoints {
		n += e.count()
	}
	return n
}

func TestResponses(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\n" + id + ": q0\r\n" + seal + ": s\r\nContent-Length: 5\r\n\r\nother"
	cases := []struct {
		name     string
		kind     deployment.Kind
		attempts int
		first    reply
		second   reply
		status   int
		body     string
		// cut says that the response must not look complete.
		cut      bool
		arrivals int
	}{
		{name: "a response is forwarded", first: whole(200, "hi"), status: 200, body: "hi", arrivals: 1},
		{name: "an endpoint's own failure is forwarded", kind: deployment.AtMostOnce, first: whole(500, "no"), status: 500, body: "no", arrivals: 1},
		{name: "an idempotent request is retried after a failure", first: whole(500, "no"), second: whole(200, "hi"), status: 200, body: "hi", arrivals: 2},
		{name: "an idempotent request runs at no more endpoints than its route allows", attempts: 1, first: whole(500, "no"), second: whole(200, "hi"), status: 500, body: "no", arrivals: 1},
		{name: "a refused request is retried elsewhere, even an at-most-once one", kind: deployment.AtMostOnce, first: shed, second: whole(200, "hi"), status: 200, body: "hi", arrivals: 2},
		{name: "a request that no endpoint ran is refused as not run", kind: deployment.AtMostOnce, first: shed, second: shed, status: 503, arrivals: 2},
		{name: "an at-most-once request may have run if the connection broke", kind: deployment.AtMostOnce, first: hangUp, second: whole(200, "hi"), status: 502, arrivals: 1},
		{name: "an idempotent request is retried after a broken connection", first: hangUp, second: whole(200, "hi"), status: 200, body: "hi", arrivals: 2},
		{name: "a refusal after a possible run does not prove that it did not run", first: hangUp, second: shed, status: 502, arrivals: 2},
		{name: "a 503 without the not-run header does not prove that it did not run", kind: deployment.AtMostOnce, first: whole(503, ""), status: 502, arrivals: 1},
		{name: "a response to another request is dropped", kind: deployment.AtMostOnce, first: raw(other), status: 502, arrivals: 1},
		{name: "a success without the seal header is invalid", kind: deployment.AtMostOnce, first: raw("HTTP/1.1 200 OK\r\n" + id + ": {id}\r\nContent-Length: 2\r\n\r\nhi"), status: 502, arrivals: 1},
		{name: "a response with a content encoding is invalid", kind: deployment.AtMostOnce, first: whole(200, "hi", "Content-Encoding: gzip\r\n"), status: 502, arrivals: 1},
		{name: "a truncated body is invalid", kind: deployment.AtMostOnce, first: raw("HTTP/1.1 200 OK\r\n" + id + ": {id}\r\n" + seal + ": s\r\nContent-Length: 9\r\n\r\nhi"), status: 502, arrivals: 1},
		{name: "bytes that are no HTTP response are dropped", kind: deployment.AtMostOnce, first: raw("garbage\r\n\r\n"), status: 502, arrivals: 1},
		{name: "a body may end with its connection", first: raw("HTTP/1.1 200 OK\r\n" + id + ": {id}\r\n" + seal + ": s\r\n\r\nhi"), status: 200, body: "hi", arrivals: 1},
		{name: "events are forwarded", kind: deployment.Streaming, first: stream(3, "", true), status: 200, body: events(1, 3), arrivals: 1},
		{name: "a stream whose connection breaks is cut", kind: deployment.Streaming, first: stream(2, "", false), status: 200, body: events(1, 2) + ": unknown: endpoint-broke-off; send it again only if it may run twice\n\n", cut: true, arrivals: 1},
		{name: "a resumable stream continues elsewhere", kind: deployment.Resumable, first: stream(2, "", false), second: stream(4, "", true), status: 200, body: events(1, 4), arrivals: 2},
		{name: "a resumable stream continues elsewhere after a break within an event", kind: deployment.Resumable, first: stream(2, "id: 3\nda", false), second: stream(4, "", true), status: 200, body: events(1, 4), arrivals: 2},
		{name: "a resumable stream continues elsewhere after a missing event", kind: deployment.Resumable, first: stream(2, event(4), true), second: stream(4, "", true), status: 200, body: events(1, 4), arrivals: 2},
		{
			// Guards against an incomplete stream that is framed as complete, with the
			// body of the second endpoint's failure after the events.
			name: "a failure of the second endpoint ends the response visibly", kind: deployment.Resumable,
			first: stream(2, "", false), second: whole(500, "no"), status: 200, cut: true, arrivals: 2,
			body: events(1, 2) + ": unknown: endpoint-broke-off; resume it with Last-Event-Id: 2\n\n",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			second := c.second
			if second == nil {
				second = c.first
			}
			// Both endpoints share the list of replies, so that it doesn't matter
			// which of them is tried first.
			shared := &sharedReplies{replies: []reply{c.first, second}}
			f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: cmp.Or(c.attempts, 2)}, newEndpoint(t, shared.play), newEndpoint(t, shared.play))
			a := f.post(t, "/p/x", nil)
			require.Equal(t, c.status, a.status)
			require.Equal(t, !c.cut, a.complete)
			if c.status/100 == 2 || c.status == 500 {
				require.Equal(t, c.body, a.body)
			}
			if c.status == 503 {
				require.NotEmpty(t, a.header.Get("Retry-After"))
			}
			if c.status == 502 || c.status == 503 {
				require.Empty(t, a.header.Get(seal))
			}
			require.Equal(t, c.arrivals, f.arrivals())
		})
	}
}

// Guards against a response too large to buffer that loses its header on the way, or
// looks complete when it is not.
func TestLargeResponses(t *testing.T) {
	body := strings.Repeat("x", 2<<20)
	head := "HTTP/1.1 200 OK\r\n" + id + ": {id}\r\n" + seal + ": s\r\nContent-Type: text/x\r\n"
	for name, test := range map[string]struct {
		reply reply
		whole bool
	}{
		"whole":                    {raw(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)), true},
		"ends with its connection": {raw(head + "\r\n" + body), true},
		"short":                    {raw(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body)), false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: time.Minute}, newEndpoint(t, test.reply), newEndpoint(t, test.reply))
			a := f.post(t, "/p/x", nil)
			require.Equal(t, 200, a.status)
			require.Equal(t, "s", a.header.Get(seal))
			require.Equal(t, "text/x", a.header.Get("Content-Type"))
			require.Equal(t, test.whole, a.complete)
			require.True(t, a.body == body, len(a.body))
			require.Equal(t, 1, f.arrivals())
		})
	}
}

// sharedReplies is a list of replies that several endpoints use in turn.
type sharedReplies struct {
	mu      sync.Mutex
	replies []reply
	next    int
}

func (s *sharedReplies) play(c net.Conn, r *http.Request) bool {
	s.mu.Lock()
	play := s.replies[min(s.next, len(s.replies)-1)]
	s.next++
	s.mu.Unlock()
	return play(c, r)
}

// Guards against a 502 although an endpoint has responded: a service's only endpoint
// is retried, and its first failure is the fallback.
func TestOnlyEndpointIsRetriedWithFallback(t *testing.T) {
	route := deployment.Route{Kind: deployment.Idempotent, Attempts: 2}
	f := newFixture(t, route, newEndpoint(t, whole(500, "no"), whole(200, "hi")))
	require.Equal(t, 200, f.post(t, "/p/x", nil).status)
	f = newFixture(t, route, newEndpoint(t, whole(500, "no"), hangUp))
	a := f.post(t, "/p/x", nil)
	require.Equal(t, 500, a.status)
	require.Equal(t, "no", a.body)
	require.Equal(t, "s", a.header.Get(seal))
}

func TestRefusalsBeforeAnyEndpoint(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		header map[string]string
		status int
	}{
		{name: "no route", path: "/other/x", status: 404},
		{name: "no key", path: "/k/x", status: 401},
		{name: "unknown key", path: "/k/x", header: map[string]string{"Api-Key": "none"}, status: 401},
		{name: "header too large", path: "/p/x", header: map[string]string{"Large": strings.Repeat("x", 9000)}, status: 431},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Attempts: 1}, newEndpoint(t, whole(200, "hi")))
			require.Equal(t, c.status, f.post(t, c.path, c.header).status)
			require.Zero(t, f.arrivals())
		})
	}
}

// Guards against a request that runs for another account, or with another request's KV
// cache, because the caller sets headers that only the fleet may set.
func TestCallersTrustedHeadersAreDropped(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	f := newFixture(t, deployment.Route{Attempts: 1}, e)
	a := f.post(t, "/k/x?a=%2F", map[string]string{
		"Api-Key": "key", "Account": "mine", "Fetch": "127.0.0.1:1", "Connection": id + ", Drop", "Drop": "1", "Keep": "2",
		"Deadline-Ms": "1000",
	})
	require.Equal(t, 200, a.status)
	got := e.requests[0]
	require.Equal(t, "/k/x?a=%2F", got.RequestURI)
	require.Equal(t, []string{"acct"}, got.Header["Account"])
	require.Equal(t, "q1", got.Header.Get(id))
	require.Equal(t, "2", got.Header.Get("Keep"))
	for _, name := range []string{"Api-Key", "Fetch", "Drop"} {
		require.Empty(t, got.Header.Values(name), name)
	}
	left, err := strconv.Atoi(got.Header.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1000)
	require.Equal(t, "e0", got.Header.Get("Expect-Endpoint"))
}

// Guards against an endpoint that keeps working for a caller that has disconnected.
func TestCallerDisconnectFreesTheEndpoint(t *testing.T) {
	freed := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		close(freed)
		return false
	})
	f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, e)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for e.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	f.postContext(ctx, t, "/p/x", nil)
	<-freed
}

// A silent endpoint is abandoned for another one if the request may run again;
// otherwise the caller gets a response at the route's timeout.
func TestSilentEndpoints(t *testing.T) {
	for _, c := range []struct {
		kind   deployment.Kind
		status int
	}{{deployment.Idempotent, 200}, {deployment.AtMostOnce, 504}} {
		shared := &sharedReplies{replies: []reply{silent, whole(200, "hi")}}
		f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: 200 * time.Millisecond, Timeout: 600 * time.Millisecond},
			newEndpoint(t, shared.play), newEndpoint(t, shared.play))
		require.Equal(t, c.status, f.post(t, "/p/x", nil).status)
	}
}

// Guards against 502 responses while a service is overloaded, caused by abandoning a
// slow endpoint when no other one has room.
func TestSlowEndpointIsKeptIfNoOtherHasRoom(t *testing.T) {
	const stalls = 3
	objective := 200 * time.Millisecond
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(stalls * objective / 2)
		return whole(200, "hi")(c, r)
	}
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: objective}, newEndpoint(t, late))
	require.Equal(t, 200, f.post(t, "/p/x", nil).status)
	require.Equal(t, 1, f.arrivals())
}

// Guards against callers that wait twice in an overload: an endpoint with a queue is
// abandoned as silent, and the request waits again elsewhere.
func TestBusyEndpointIsNotAbandonedAsSilent(t *testing.T) {
	objective := 200 * time.Millisecond
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(objective * 3 / 4)
		return whole(200, "late", "Load: 4,6,4\r\n")(c, r)
	}
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: objective},
		newEndpoint(t, whole(200, "hi", "Load: 4,6,4\r\n"), late), newEndpoint(t, whole(200, "hi", "Load: 4,6,4\r\n"), late))
	for f.endpoints[0].count() == 0 || f.endpoints[1].count() == 0 {
		f.post(t, "/p/x", nil)
	}
	before := f.arrivals()
	require.Equal(t, "late", f.post(t, "/p/x", nil).body)
	require.Equal(t, before+1, f.arrivals())
}

// Without a configuration the node cannot know what is allowed.
func TestNoConfigurationRefusesAsNotRun(t *testing.T) {
	h := gateway.New(gateway.Config{
		Headers: headers(), Deployment: staticDeployment{snapshot: &deployment.Snapshot{}}, Metrics: gateway.NewMetrics(), Stopping: func() bool { return false },
	})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/p/x", nil))
	require.Equal(t, 503, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}
