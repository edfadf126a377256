package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/handover"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

type (
	// reached is a Reach that a test sets.
	reached struct{ lost atomic.Bool }

	// member is one of several gateways.
	member struct {
		*gateway.Handler
		reach    *reached
		stopping atomic.Bool
		// owns says that it owns the service, owners are what it hands over to; nil if
		// no service has an owner.
		owns     atomic.Bool
		owners   gateway.Owners
		budget   *budget.Budget
		crashes  *crash.Tracker
		snapshot *deployment.Snapshot
		// deployment is what it knows, snapshot at first.
		deployment changingDeployment
		// left are the endpoints that have sent a leave notice.
		left     []string
		addr     netip.AddrPort
		listener net.Listener
		server   *handover.Server
		// conns are the open connections of other members.
		conns *countedListener
	}

	// team hands requests over to its members in turn.
	team struct {
		client  *handover.Client
		members []*member
		offers  atomic.Int64
	}

	// hops is a gateway that reaches no endpoint, and others that do.
	hops struct {
		*fixture
		near *member
		team *team
	}

	countedListener struct {
		net.Listener
		accepted chan net.Conn
	}
)

// Opened implements gateway.Reach.
func (*reached) Opened(string) {}

// Failed implements gateway.Reach.
func (*reached) Failed(*deployment.Endpoint, time.Time) {}

// Reaches implements gateway.Reach.
func (r *reached) Reaches(string) bool { return !r.lost.Load() }

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// Offer implements gateway.Handovers.
func (t *team) Offer(ctx context.Context, o *handover.Offer, _ []string) (string, *handover.Exchange, error) {
	if len(t.members) == 0 {
		return "", nil, nil
	}
	n := int(t.offers.Add(1)-1) % len(t.members)
	o.From = "near"
	x, err := t.client.Offer(ctx, t.members[n].addr, o)
	return fmt.Sprint("m", n), x, err
}

// Done implements gateway.Handovers.
func (*team) Done(_ string, x *handover.Exchange) { x.Close() }

// newMember returns a gateway in front of the fixture's endpoints.
func (f *fixture) newMember(t *testing.T, peers gateway.Handovers) *member {
	m := &member{reach: &reached{}, budget: budget.New(budget.Config{Ratio: 5, Slack: 10, Window: 10 * time.Second, Nodes: func() int { return 1 }})}
	snapshot := *f.snapshot
	m.snapshot = &snapshot
	pool := http1.NewPool(http1.PoolConfig{RequestID: id})
	t.Cleanup(pool.Close)
	d := &m.deployment
	d.staticDeployment = staticDeployment{snapshot: m.snapshot, left: &m.left}
	m.crashes = crash.NewTracker(crash.Config{Prober: pool, Deployment: d})
	c := gateway.Config{
		Headers: headers(), Deployment: d, Pool: pool, Balancer: balance.New(balance.Config{Loads: noLoads{}}), Budget: m.budget,
		Crashes: m.crashes, Metrics: gateway.NewMetrics(), Reach: m.reach, Handovers: peers,
		Owners: memberOwners{member: m}, Owned: func(string) bool { return m.owns.Load() },
		Nodes: func() int { return 1 }, Stopping: m.stopping.Load, Log: f.log,
		Takers: func(string, []string) bool {
			others, ok := peers.(*team)
			return !ok || len(others.members) > 0
		},
	}
	if f.change != nil {
		f.change(&c)
	}
	m.Handler = gateway.New(c)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	m.conns = &countedListener{Listener: l, accepted: make(chan net.Conn, 64)}
	m.addr = netip.MustParseAddrPort(l.Addr().String())
	m.server = handover.NewServer(m.conns, m.Handler)
	t.Cleanup(m.server.Close)
	return m
}

// newHops returns a gateway that does not reach the endpoints, and others that do.
func newHops(t *testing.T, others int, route deployment.Route, list ...*endpoint) *hops {
	h := &hops{fixture: newFixture(t, route, list...), team: &team{client: handover.NewClient()}}
	t.Cleanup(func() { _ = h.team.client.Close() })
	for range others {
		h.team.members = append(h.team.members, h.newMember(t, h.team))
	}
	h.front(t)
	return h
}

// front starts the gateway that does not reach the endpoints.
func (h *hops) front(t *testing.T) {
	h.near = h.newMember(t, h.team)
	h.near.reach.lost.Store(true)
	h.server = httptest.NewServer(h.near)
	t.Cleanup(h.server.Close)
}

// The response of a request that was handed over is the endpoint's, whatever the
// request's kind, and "not run" is true.
func TestHandedOverRequestsAreAnswered(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	for _, c := range []struct {
		name     string
		kind     deployment.Kind
		first    reply
		second   reply
		body     string
		status   int
		want     string
		arrivals int
		cut      bool
	}{
		{name: "plain", first: whole(200, "hi"), status: 200, want: "hi", arrivals: 1},
		{name: "at most once", kind: deployment.AtMostOnce, first: whole(200, "hi"), status: 200, want: "hi", arrivals: 1},
		{name: "an endpoint's failure", kind: deployment.AtMostOnce, first: whole(500, "no"), status: 500, want: "no", arrivals: 1},
		{name: "a second attempt", first: whole(500, "no"), second: whole(200, "hi"), status: 200, want: "hi", arrivals: 2},
		{name: "a full endpoint", kind: deployment.AtMostOnce, first: shed, second: whole(200, "hi"), status: 200, want: "hi", arrivals: 2},
		{name: "all endpoints full", kind: deployment.AtMostOnce, first: shed, second: shed, status: 503, arrivals: 2},
		{name: "a run that breaks", kind: deployment.AtMostOnce, first: hangUp, second: whole(200, "hi"), status: 502, arrivals: 1},
		{name: "a large body", first: whole(200, "hi"), body: strings.Repeat("b", 300<<10), status: 200, want: "hi", arrivals: 1},
		{name: "a large response", first: whole(200, large), status: 200, want: large, arrivals: 1},
		{name: "a large response that breaks off", first: raw(headOf(fmt.Sprintf("Content-Length: %d", len(large)+1)) + large), cut: true, status: 200, arrivals: 1},
		{name: "a stream", kind: deployment.Streaming, first: stream(4, "", true), status: 200, want: events(1, 4), arrivals: 1},
		{name: "a stream that resumes", kind: deployment.Resumable, first: stream(2, "", false), second: stream(4, "", true), status: 200, want: events(1, 4), arrivals: 2},
		{name: "a stream that breaks", kind: deployment.Streaming, first: stream(2, "", false), cut: true, status: 200, arrivals: 1},
		{name: "a body that is not a stream's", kind: deployment.Streaming, first: whole(500, "no"), status: 500, want: "no", arrivals: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			second := c.second
			if second == nil {
				second = c.first
			}
			var n atomic.Int64
			// Whichever endpoint comes first gives the first reply.
			turn := func(conn net.Conn, r *http.Request) bool {
				if n.Add(1) == 1 {
					return c.first(conn, r)
				}
				return second(conn, r)
			}
			h := newHops(t, 1, deployment.Route{Kind: c.kind, Attempts: 2, Objective: time.Second}, newEndpoint(t, turn), newEndpoint(t, turn))
			r := h.postBody(t.Context(), t, "/p/x", c.body, nil)
			require.Equal(t, c.status, r.status)
			require.Equal(t, c.arrivals, h.arrivals())
			require.Equal(t, c.cut, !r.complete)
			switch {
			case c.cut:
			case c.status == 503:
				require.NotEmpty(t, r.header.Get("Retry-After"))
			case c.status != 502:
				require.Equal(t, c.want, r.body)
				require.Equal(t, "s", r.header.Get(seal))
			}
		})
	}
}

// Guards against events that wait for the end of the stream at either node.
func TestHandedOverEventsArriveOneByOne(t *testing.T) {
	got := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.Header.Get(id), seal)
		for n := 1; n <= 3; n++ {
			write(c, "%x\r\n%s\r\n", len(event(n)), event(n))
			<-got
		}
		return write(c, "0\r\n\r\n")
	})
	h := newHops(t, 1, deployment.Route{Kind: deployment.Streaming, Objective: time.Second}, e)
	resp := h.open(t.Context(), t)
	defer func() { _ = resp.Body.Close() }()
	for n := 1; n <= 3; n++ {
		buffer := make([]byte, len(event(n)))
		_, err := io.ReadFull(resp.Body, buffer)
		require.NoError(t, err)
		require.Equal(t, event(n), string(buffer))
		got <- struct{}{}
	}
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Empty(t, rest)
}

// open sends a request and returns the response once its header is there.
func (h *hops) open(ctx context.Context, t *testing.T) *http.Response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+"/p/x", strings.NewReader("body"))
	require.NoError(t, err)
	req.Host = "h"
	req.Header.Set(id, "q1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	return resp
}

// Guards against endpoints that work on for a caller that has left: its disconnect has
// to pass through both nodes.
func TestCallersDisconnectEndsTheRunAtTheOtherNode(t *testing.T) {
	ended := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, r.Header.Get(id), seal, len(event(1)), event(1))
		_, _ = io.Copy(io.Discard, c)
		close(ended)
		return false
	})
	h := newHops(t, 1, deployment.Route{Kind: deployment.Streaming, Objective: time.Second}, e)
	ctx, cancel := context.WithCancel(t.Context())
	resp := h.open(ctx, t)
	cancel()
	_ = resp.Body.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the endpoint works on")
	}
}

// A node that cannot take a request says so before the request can run, and another one
// takes it, whatever its kind.
func TestOfferThatIsDeclinedGoesElsewhere(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(m *member)
	}{
		{name: "stopping", change: func(m *member) { m.stopping.Store(true) }},
		{name: "does not reach the service either", change: func(m *member) { m.reach.lost.Store(true) }},
		{name: "has an older configuration", change: func(m *member) {
			older := *m.snapshot.Config
			older.Version = 0
			m.snapshot.Config = &older
		}},
		{name: "has none", change: func(m *member) { m.snapshot.Config = nil }},
		{name: "is gone", change: func(m *member) { m.server.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, whole(200, "hi"))
			h := newHops(t, 2, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, e)
			c.change(h.team.members[0])
			for range 4 {
				require.Equal(t, 200, h.post(t, "/p/x", nil).status)
			}
			require.Equal(t, 4, e.count())
		})
	}
}

// Guards against requests that nodes pass on to each other in circles: all of them have
// lost the service.
func TestNoRequestIsHandedOverTwice(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	h := newHops(t, 3, deployment.Route{Kind: deployment.Idempotent, Objective: time.Second}, e)
	for _, m := range h.team.members {
		m.reach.lost.Store(true)
	}
	require.Equal(t, 200, h.post(t, "/p/x", nil).status, "the node still tries itself")
	require.Equal(t, int64(3), h.team.offers.Load())
	require.Equal(t, 1, e.count())
}

// Guards against a second run of an at-most-once request, and a "not run" that is not
// true, if the call between the nodes breaks after the request was sent.
func TestBrokenHandoverIsUnknown(t *testing.T) {
	for _, c := range []struct {
		kind     deployment.Kind
		status   int
		arrivals int
	}{
		{kind: deployment.AtMostOnce, status: 502, arrivals: 1},
		{kind: deployment.Idempotent, status: 200, arrivals: 2},
	} {
		t.Run(strconv.Itoa(c.status), func(t *testing.T) {
			var h *hops
			var n atomic.Int64
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if n.Add(1) > 1 {
					return whole(200, "hi")(conn, r)
				}
				_ = (<-h.team.members[0].conns.accepted).Close()
				_, _ = io.Copy(io.Discard, conn)
				return false
			})
			h = newHops(t, 2, deployment.Route{Kind: c.kind, Attempts: 2, Objective: 4 * time.Second}, e)
			r := h.post(t, "/p/x", nil)
			require.Equal(t, c.status, r.status, r.body)
			require.Equal(t, c.arrivals, e.count())
		})
	}
}

// Guards against events that a caller gets twice, or in part, if the call between the
// nodes breaks within a stream that resumes: large ones are sent in frames of their own.
func TestBrokenHandoverOfAStreamResumes(t *testing.T) {
	large := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 60<<10)) }
	var h *hops
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.Header.Get(id), seal)
		for n := after + 1; n <= 4; n++ {
			write(c, "%x\r\n%s\r\n", len(large(n)), large(n))
			if n == 2 && after == 0 {
				time.Sleep(50 * time.Millisecond)
				_ = (<-h.team.members[0].conns.accepted).Close()
				_, _ = io.Copy(io.Discard, c)
				return false
			}
		}
		return write(c, "0\r\n\r\n")
	})
	h = newHops(t, 2, deployment.Route{Kind: deployment.Resumable, Attempts: 2, Objective: 4 * time.Second}, e)
	r := h.post(t, "/p/x", nil)
	require.Equal(t, 200, r.status)
	require.True(t, r.complete)
	require.True(t, r.body == large(1)+large(2)+large(3)+large(4), "each event once and whole")
}

// Guards against a retry budget that grows by requests which two nodes count, and
// against an endpoint that is handed more time than the caller has left.
func TestHandedOverRequestCountsOnceAndKeepsItsTime(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	h := newHops(t, 1, deployment.Route{Kind: deployment.Idempotent, Objective: time.Second, Timeout: 5 * time.Second}, e)
	require.Equal(t, 200, h.post(t, "/p/x", map[string]string{"Deadline-Ms": "700"}).status)
	left, err := strconv.Atoi(e.requests[0].Header.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 700)
	require.Greater(t, left, 100)
	const none, one = 8, 12
	require.Equal(t, none, retries(h.near.budget), "not counted here")
	require.Equal(t, one, retries(h.team.members[0].budget))
}

// retries returns how many retries a budget still allows.
func retries(b *budget.Budget) int {
	n := 0
	for b.Retry(time.Now(), "s") {
		n++
	}
	return n
}

// Guards against a request that waits for a place although its node has lost the
// service meanwhile.
func TestWaitingRequestIsHandedOver(t *testing.T) {
	hold := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Wait") != "" {
			<-hold
		}
		return whole(200, "hi")(c, r)
	})
	h := newHops(t, 1, deployment.Route{Kind: deployment.Idempotent, Attempts: 1, Objective: 8 * time.Second}, e)
	h.near.reach.lost.Store(false)
	done := make(chan int)
	for range 16 {
		go func() { done <- h.post(t, "/p/x", map[string]string{"Wait": "1"}).status }()
	}
	require.Eventually(t, func() bool { return e.count() == 16 }, 5*time.Second, time.Millisecond)
	go func() { done <- h.post(t, "/p/x", nil).status }()
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, 16, e.count(), "all places are taken")
	h.near.reach.lost.Store(true)
	require.Equal(t, 200, <-done)
	close(hold)
	for range 16 {
		require.Equal(t, 200, <-done)
	}
}

// Guards against a request that ends endpoints and is counted nowhere, or twice,
// because another node ran it.
func TestCrashesOfHandedOverRequestsCountOnce(t *testing.T) {
	ended, list := newFleet(t, fleetSize, hangUp)
	h := newHops(t, 1, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: time.Second}, list...)
	for range fleetSize {
		h.post(t, "/p/x", nil)
	}
	require.LessOrEqual(t, ended.count(), mayEnd)
	require.Equal(t, 503, h.post(t, "/p/x", nil).status)
	require.Empty(t, h.near.crashes.List(time.Now()))
	for _, n := range h.team.members[0].crashes.List(time.Now()) {
		require.Equal(t, ended.count(), n.Crashes)
	}
}

// Guards against a node that stops without the requests of others that it still runs.
func TestStoppingNodeFinishesWhatItHasTaken(t *testing.T) {
	arrived, hold := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		close(arrived)
		<-hold
		return whole(200, "hi")(c, r)
	})
	h := newHops(t, 1, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, e)
	done := make(chan int)
	go func() { done <- h.post(t, "/p/x", nil).status }()
	<-arrived
	far := h.team.members[0]
	far.stopping.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, far.Wait(ctx), "it waits for the request")
	close(hold)
	require.Equal(t, 200, <-done)
	require.NoError(t, far.Wait(t.Context()))
}
