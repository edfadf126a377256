package gateway_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

type (
	// hangingDialer leaves the first connection unopened until its context ends.
	hangingDialer struct {
		net.Dialer
		dials atomic.Int64
	}

	// panickyReach panics when a failure is reported.
	panickyReach struct{}
)

// DialContext implements http1.Dialer.
func (d *hangingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.dials.Add(1) == 1 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return d.Dialer.DialContext(ctx, network, address)
}

func (panickyReach) Opened(string) {}

func (panickyReach) Failed(*deployment.Endpoint, time.Time) { panic("of the test") }

func (panickyReach) Reaches(string) bool { return true }

// headOnly sends a response's head after a time and nothing more.
func headOnly(after time.Duration, head string) reply {
	return func(c net.Conn, r *http.Request) bool {
		if pause(c, after) {
			write(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n\r\n", id, r.Header.Get(id), seal, head)
			_ = pause(c, 3*time.Second)
		}
		return false
	}
}

// Guards against a sound endpoint that is abandoned for another one's head alone.
func TestHeadAloneDoesNotReplaceAnEndpoint(t *testing.T) {
	t.Run("stream", func(t *testing.T) {
		f := newRetrying(t, deployment.Resumable, 2, 9, lateStream(4), headOnly(0, "Transfer-Encoding: chunked"))
		r := f.post(t, "/p/x", nil)
		require.True(t, r.complete, r.body)
		require.Equal(t, events(1, 4), r.body)
	})
	t.Run("whole", func(t *testing.T) {
		f := newRetrying(t, deployment.Idempotent, 2, 9, lateWhole("hi"), headOnly(0, "Content-Length: 2"))
		r := f.post(t, "/p/x", nil)
		require.Equal(t, 200, r.status, r.body)
	})
}

// Guards against an endpoint that is abandoned after it has gone on.
func TestEndpointThatHasGoneOnIsKept(t *testing.T) {
	goesOn := func(c net.Conn, r *http.Request) bool {
		stream(2, "", false)(c, r)
		if !pause(c, 800*time.Millisecond) {
			return false
		}
		for n := 3; n <= 20; n++ {
			write(c, "%x\r\n%s\r\n", len(event(n)), event(n))
			if !pause(c, 100*time.Millisecond) {
				return false
			}
		}
		return write(c, "0\r\n\r\n")
	}
	f := newRetrying(t, deployment.Resumable, 2, 9, goesOn, headOnly(900*time.Millisecond, "Transfer-Encoding: chunked"))
	r := f.post(t, "/p/x", nil)
	require.True(t, r.complete, r.body)
	require.Equal(t, events(1, 20), r.body)
}

// Guards against a 503 for a request whose repeat has run.
func TestRequestWhoseRepeatRanIsUnknown(t *testing.T) {
	shared := &sharedReplies{replies: []reply{silent}}
	f := &fixture{endpoints: []*endpoint{newEndpoint(t, shared.play), newEndpoint(t, shared.play)}, dialer: &hangingDialer{}}
	f.serve(t, &deployment.Config{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.Idempotent, Attempts: 2, Timeout: time.Second,
			Split: []deployment.Share{{Service: "s", Weight: 1}}, Objective: 200 * time.Millisecond,
		}},
		Services: map[string]deployment.Service{"s": {Name: "s"}},
	}, noLoads{}, nil)
	r := f.post(t, "/p/x", nil)
	require.Equal(t, 1, f.arrivals())
	require.NotEqual(t, 503, r.status, "an endpoint has run it: %s", r.body)
}

// Guards against engines that a stream may not use any more because they were full when
// a repeat asked them for a slot.
func TestFullEngineMayBeUsedLater(t *testing.T) {
	broken := make(chan struct{})
	shared := &sharedReplies{replies: []reply{func(c net.Conn, r *http.Request) bool {
		stream(2, "", false)(c, r)
		<-broken
		return false
	}, stream(4, "", true)}}
	places := &engines{free: map[string]int{"e0": 1, "e1": 1}, requested: map[string]int{}}
	f := newEngines(t, 3, places, newEndpoint(t, shared.play), newEndpoint(t, shared.play))
	got := make(chan response, 1)
	go func() { got <- f.post(t, "/r/x", map[string]string{"Prompt": "p:100"}) }()
	require.Eventually(t, func() bool { return f.arrivals() == 1 }, 5*time.Second, time.Millisecond)
	places.mu.Lock()
	places.free = map[string]int{}
	places.mu.Unlock()
	require.Eventually(t, func() bool {
		places.mu.Lock()
		defer places.mu.Unlock()
		return places.requested["e0"] > 0 && places.requested["e1"] > 0
	}, 10*time.Second, time.Millisecond, "a repeat has asked the other engine")
	time.Sleep(100 * time.Millisecond)
	places.mu.Lock()
	places.free = map[string]int{"e0": 9, "e1": 9}
	places.mu.Unlock()
	close(broken)
	r := <-got
	require.True(t, r.complete, r.body)
	require.Equal(t, events(1, 4), r.body)
}

// Guards against a panic in the timer of a silent endpoint that ends the process.
func TestPanicInTimerIsRecovered(t *testing.T) {
	shared := &sharedReplies{replies: []reply{lateWhole("hi")}}
	f := &fixture{endpoints: []*endpoint{newEndpoint(t, shared.play)}, change: func(c *gateway.Config) { c.Reach = panickyReach{} }}
	f.serve(t, &deployment.Config{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.Idempotent, Attempts: 2, Timeout: 5 * time.Second,
			Split: []deployment.Share{{Service: "s", Weight: 1}}, Objective: 200 * time.Millisecond,
		}},
		Services: map[string]deployment.Service{"s": {Name: "s"}},
	}, noLoads{}, nil)
	require.Equal(t, 200, f.post(t, "/p/x", nil).status)
}

// Guards against an endpoint that is abandoned for another node although the request has
// no attempt left.
func TestRequestWithoutAttemptsDoesNotLeave(t *testing.T) {
	var h *hops
	var n atomic.Int64
	play := func(c net.Conn, r *http.Request) bool {
		if n.Add(1) == 1 {
			return lateWhole("hi")(c, r)
		}
		h.near.reach.lost.Store(true)
		return false
	}
	h = newHops(t, 1, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: 200 * time.Millisecond, Timeout: 20 * time.Second},
		newEndpoint(t, play), newEndpoint(t, play), newEndpoint(t, play))
	h.near.reach.lost.Store(false)
	r := h.post(t, "/p/x", nil)
	require.Equal(t, 200, r.status, r.body)
}

// Guards against a request whose service's endpoints are all abandoned for another node
// although none takes it.
func TestRequestDoesNotLeaveForNobody(t *testing.T) {
	var h *hops
	play := func(c net.Conn, r *http.Request) bool {
		h.near.reach.lost.Store(true)
		return lateWhole("hi")(c, r)
	}
	h = newHops(t, 0, deployment.Route{Kind: deployment.Idempotent, Attempts: 3, Objective: 200 * time.Millisecond, Timeout: 20 * time.Second}, newEndpoint(t, play))
	h.near.reach.lost.Store(false)
	r := h.post(t, "/p/x", nil)
	require.Equal(t, 200, r.status, r.body)
}
