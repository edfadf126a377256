package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// noRetries leaves nothing in the retry budget.
func noRetries(c *gateway.Config) {
	c.Budget = budget.New(budget.Config{Window: 10 * time.Second, Nodes: func() int { return 1 }})
}

// ended returns the metric of requests that ended for a cause.
func ended(cause, last string, cut bool) string {
	return fmt.Sprintf(`ended_total{cause=%q,last=%q,cut="%t"}`, cause, last, cut)
}

// ends are ways in which a request gets no answer, each with a cause of its own.
var ends = []struct {
	name     string
	kind     deployment.Kind
	attempts int
	timeout  time.Duration
	replies  []reply
	change   func(c *gateway.Config)
	cause    string
	last     string
	cut      bool
}{
	{name: "a broken run that must not be repeated", kind: deployment.AtMostOnce, replies: []reply{hangUp}, cause: "not-repeatable", last: "broke-off"},
	{name: "all runs used", kind: deployment.Idempotent, attempts: 2, replies: []reply{hangUp}, cause: "attempts", last: "broke-off"},
	{name: "no retry after a broken run", kind: deployment.Idempotent, attempts: 2, replies: []reply{hangUp}, change: noRetries, cause: "retry-budget", last: "broke-off"},
	{name: "no retry after a refusal", kind: deployment.AtMostOnce, replies: []reply{shed}, change: noRetries, cause: "retry-budget", last: "refused"},
	{name: "an answer without a seal", kind: deployment.AtMostOnce, replies: []reply{raw("HTTP/1.1 200 OK\r\n" + id + ": {id}\r\nContent-Length: 2\r\n\r\nhi")}, cause: "not-repeatable", last: "unsound-answer"},
	{name: "a stream that breaks", kind: deployment.Streaming, replies: []reply{stream(2, "", false)}, cause: "not-repeatable", last: "broke-off", cut: true},
	{name: "a stream that breaks twice", kind: deployment.Resumable, attempts: 2, replies: []reply{stream(2, "", false), hangUp}, cause: "attempts", last: "broke-off", cut: true},
	{name: "a silent endpoint until the deadline", kind: deployment.AtMostOnce, timeout: 200 * time.Millisecond, replies: []reply{silent}, cause: "timeout", last: "deadline"},
	{name: "no slot after refusals", kind: deployment.AtMostOnce, replies: []reply{shed}, cause: "endpoints-full", last: "refused"},
}

// Guards against a request without an answer whose cause is in no line and in no counter.
func TestEndsAreDistinguished(t *testing.T) {
	for _, c := range ends {
		t.Run(c.name, func(t *testing.T) {
			shared := &sharedReplies{replies: c.replies}
			f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: max(c.attempts, 1), Timeout: c.timeout}, newEndpoint(t, shared.play), newEndpoint(t, shared.play))
			f.change = c.change
			f.serve(t, f.snapshot.Config, noLoads{}, nil)
			require.Equal(t, !c.cut, f.post(t, "/p/x", nil).complete)
			list := f.lines(t, "refused")
			require.Len(t, list, 1)
			require.Equal(t, c.cause, list[0]["cause"])
			require.Equal(t, c.last, list[0]["last"])
			require.Equal(t, "1", value(f.metrics, ended(c.cause, c.last, c.cut)))
		})
	}
}

// silentIsolates isolates requests once an endpoint was given up as silent.
type silentIsolates struct {
	gateway.Crashes
	silent *atomic.Bool
}

// Silent implements gateway.Crashes.
func (s silentIsolates) Silent([]crash.Feature, *deployment.Endpoint) { s.silent.Store(true) }

// Isolated implements gateway.Crashes.
func (s silentIsolates) Isolated(list []crash.Feature) crash.Isolation {
	if s.silent.Load() {
		return crash.Isolation{Feature: list[0], Left: time.Second, Crashes: 3}
	}
	return crash.Isolation{}
}

// Guards against the end of a run at an endpoint that was given up as silent that looks
// like one after a broken connection.
func TestEndAfterASilentEndpointSaysSo(t *testing.T) {
	var metrics *gateway.Metrics
	h := &hops{team: &team{client: handover.NewClient()}}
	t.Cleanup(func() { _ = h.team.client.Close() })
	// The node loses the service, and the only other node declines the request.
	play := func(c net.Conn, r *http.Request) bool {
		h.near.reach.lost.Store(true)
		return silent(c, r)
	}
	route := deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: 120 * time.Millisecond, Timeout: time.Minute}
	h.fixture = newFixture(t, route, newEndpoint(t, play))
	h.team.members = []*member{h.newMember(t, h.team)}
	h.team.members[0].stopping.Store(true)
	h.change = func(c *gateway.Config) {
		c.Crashes, metrics = silentIsolates{Crashes: c.Crashes, silent: &atomic.Bool{}}, c.Metrics
	}
	h.front(t)
	h.near.reach.lost.Store(false)
	require.Equal(t, http.StatusBadGateway, h.post(t, "/p/x", nil).status)
	list := h.lines(t, "refused")
	require.Len(t, list, 1)
	require.Equal(t, "crashes-endpoints", list[0]["cause"])
	require.Equal(t, "silent", list[0]["last"])
	require.Equal(t, "1", value(metrics, ended("crashes-endpoints", "silent", false)))
}

// Guards against a refusal by another node that looks like the first node's own, or whose
// cause is only in the other's log.
func TestRefusalByAnotherNodeNamesIt(t *testing.T) {
	h := newHops(t, 1, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, newEndpoint(t, hangUp))
	require.Equal(t, http.StatusBadGateway, h.post(t, "/p/x", nil).status)
	list := h.lines(t, "refused")
	require.Len(t, list, 2)
	far, near := list[0], list[1]
	require.Equal(t, "near", far["from"])
	for _, line := range list {
		require.Equal(t, "q1", line["request"])
		require.Equal(t, "not-repeatable", line["cause"])
		require.Equal(t, "broke-off", line["last"])
	}
	require.Equal(t, "m0", near["peer"])
	require.Equal(t, 502., near["peer_status"])
	require.Equal(t, "endpoint-broke-off", near["peer_reason"])
	require.NotContains(t, far, "peer")
}

// Guards against a node that is lost with a request of another, whose end looks like an
// endpoint's.
func TestEndByALostNodeSaysSo(t *testing.T) {
	reached := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, _ *http.Request) bool {
		close(reached)
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	h := newHops(t, 1, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, e)
	go func() {
		<-reached
		h.team.members[0].server.Close()
	}()
	require.Equal(t, http.StatusBadGateway, h.post(t, "/p/x", nil).status)
	list := h.lines(t, "refused")
	require.NotEmpty(t, list)
	require.Equal(t, "peer-broke-off", list[len(list)-1]["last"])
}

// Guards against callers that leave without a trace, and against a node that stops and
// looks as if they had.
func TestCallersThatLeaveAreLogged(t *testing.T) {
	for cause, leave := range map[string]func(f *fixture, cancel func()){
		"caller-gone": func(_ *fixture, cancel func()) { cancel() },
		"stop": func(f *fixture, _ func()) {
			f.handler.Abandon()
			f.server.CloseClientConnections()
		},
	} {
		t.Run(cause, func(t *testing.T) {
			reached := make(chan struct{})
			f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, newEndpoint(t, func(c net.Conn, _ *http.Request) bool {
				close(reached)
				_, _ = io.Copy(io.Discard, c)
				return false
			}))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				<-reached
				leave(f, cancel)
			}()
			f.postContext(ctx, t, "/p/x", nil)
			require.Eventually(t, func() bool { return value(f.metrics, ended(cause, "", false)) == "1" }, 10*time.Second, time.Millisecond)
			require.NoError(t, f.handler.Wait(t.Context()))
			list := f.lines(t, "ended")
			require.Len(t, list, 1)
			require.Equal(t, "q1", list[0]["request"])
			require.Equal(t, cause, list[0]["cause"])
		})
	}
}

// A caller that leaves within its body is no malformed request; what it gets is the same.
func TestCallersThatLeaveWithinTheirBodyAreCounted(t *testing.T) {
	f := newFixture(t, deployment.Route{Attempts: 1}, newEndpoint(t, whole(200, "hi")))
	c, err := net.Dial("tcp4", strings.TrimPrefix(f.server.URL, "http://"))
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return value(f.metrics, ended("caller-gone", "", false)) == "1" }, 10*time.Second, time.Millisecond)
	require.Zero(t, f.arrivals())
}

// The counter of ends has each request of a caller once, and none that another node has
// handed over.
func TestAnsweredRequestsAreCountedOnce(t *testing.T) {
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2}, newEndpoint(t, whole(500, "no"), whole(200, "hi")))
	require.Equal(t, 200, f.post(t, "/p/x", nil).status)
	require.Equal(t, "1", value(f.metrics, ended("answered", "", false)))
	f = newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2}, newEndpoint(t, whole(500, "no"), hangUp))
	require.Equal(t, 500, f.post(t, "/p/x", nil).status)
	require.Equal(t, "1", value(f.metrics, ended("endpoint-failure", "broke-off", false)))
}
