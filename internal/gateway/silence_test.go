package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// silence is how long an endpoint in these tests is silent before it goes on.
const silence = 1200 * time.Millisecond

// pause waits for a time, or until the connection is closed.
func pause(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// lateStream sends two events, is silent, and sends the rest up to last.
func lateStream(last int) reply {
	return func(c net.Conn, r *http.Request) bool {
		stream(2, "", false)(c, r)
		if !pause(c, silence) {
			return false
		}
		for n := 3; n <= last; n++ {
			write(c, "%x\r\n%s\r\n", len(event(n)), event(n))
		}
		return write(c, "0\r\n\r\n")
	}
}

func lateWhole(body string) reply {
	return func(c net.Conn, r *http.Request) bool { return pause(c, silence) && whole(200, body)(c, r) }
}

// newRetrying returns a gateway with a retry budget before two endpoints, of which the
// one that comes first gives the first reply.
func newRetrying(t *testing.T, kind deployment.Kind, attempts, retries int, replies ...reply) *fixture {
	shared := &sharedReplies{replies: replies}
	f := &fixture{
		endpoints: []*endpoint{newEndpoint(t, shared.play), newEndpoint(t, shared.play)},
		change: func(c *gateway.Config) {
			c.Budget = budget.New(budget.Config{Slack: retries, Window: time.Minute, Nodes: func() int { return 1 }})
		},
	}
	f.serve(t, &deployment.Config{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: kind, Attempts: attempts,
			Split: []deployment.Share{{Service: "s", Weight: 1}}, Timeout: 20 * time.Second, Objective: 200 * time.Millisecond,
		}},
		Services: map[string]deployment.Service{"s": {Name: "s"}},
	}, noLoads{}, nil)
	return f
}

// Guards against sound endpoints that are abandoned for a silence although nothing else
// can serve the request, so that the caller loses the response it would have got.
func TestSilentEndpointIsKeptUntilAnotherResponds(t *testing.T) {
	hold := func(c net.Conn, _ *http.Request) bool {
		_ = pause(c, time.Minute)
		return false
	}
	for _, c := range []struct {
		name     string
		kind     deployment.Kind
		attempts int
		retries  int
		replies  []reply
		arrivals int
	}{
		{name: "a stream without a retry in the budget", kind: deployment.Resumable, replies: []reply{lateStream(4)}, arrivals: 1},
		{name: "a stream whose repeat is refused", kind: deployment.Resumable, retries: 1, replies: []reply{lateStream(4), shed}, arrivals: 2},
		{name: "a stream whose repeats are all refused", kind: deployment.Resumable, attempts: 9, retries: 20, replies: []reply{lateStream(4), shed}},
		{name: "a stream whose repeat breaks", kind: deployment.Resumable, retries: 9, replies: []reply{lateStream(4), hangUp}, arrivals: 2},
		{name: "a stream whose repeat fails", kind: deployment.Resumable, retries: 9, replies: []reply{lateStream(4), whole(500, "no")}, arrivals: 2},
		{name: "a stream whose repeat is silent", kind: deployment.Resumable, retries: 9, replies: []reply{lateStream(4), hold}, arrivals: 2},
		{name: "a request without a retry in the budget", kind: deployment.Idempotent, replies: []reply{lateWhole("hi")}, arrivals: 1},
		{name: "a request whose repeat is refused", kind: deployment.Idempotent, retries: 1, replies: []reply{lateWhole("hi"), shed}, arrivals: 2},
		{name: "a request whose repeat breaks", kind: deployment.Idempotent, retries: 9, replies: []reply{lateWhole("hi"), hangUp}, arrivals: 2},
		{name: "a request whose repeat fails", kind: deployment.Idempotent, retries: 9, replies: []reply{lateWhole("hi"), whole(500, "no")}, arrivals: 2},
		{name: "a request whose repeat is silent", kind: deployment.Idempotent, retries: 9, replies: []reply{lateWhole("hi"), hold}, arrivals: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newRetrying(t, c.kind, max(c.attempts, 2), c.retries*2, c.replies...)
			r := f.post(t, "/p/x", nil)
			require.True(t, r.complete, r.body)
			require.Equal(t, 200, r.status, r.body)
			if c.kind == deployment.Resumable {
				require.Equal(t, events(1, 4), r.body)
			} else {
				require.Equal(t, "hi", r.body)
			}
			if c.arrivals > 0 {
				require.LessOrEqual(t, f.arrivals(), c.arrivals)
			}
		})
	}
}

// Guards against a second repeat of a request whose endpoint breaks while one is under
// way, and against a first repeat that is lost.
func TestRepeatTakesTheBrokenEndpointsPlace(t *testing.T) {
	for _, kind := range []deployment.Kind{deployment.Idempotent, deployment.Resumable} {
		second := make(chan struct{})
		broken := make(chan struct{})
		first := func(net.Conn, *http.Request) bool {
			<-second
			close(broken)
			return false
		}
		late := func(c net.Conn, r *http.Request) bool {
			close(second)
			<-broken
			// The node has read the end of the first connection.
			time.Sleep(50 * time.Millisecond)
			if kind == deployment.Resumable {
				return stream(4, "", true)(c, r)
			}
			return whole(200, "hi")(c, r)
		}
		f := newRetrying(t, kind, 2, 2, first, late)
		r := f.post(t, "/p/x", nil)
		require.True(t, r.complete)
		require.Equal(t, 200, r.status, r.body)
		require.Equal(t, 2, f.arrivals())
		require.Empty(t, f.balancer.Active(), "all slots are free again")
	}
}

// Guards against slots and retries that are not freed when the silent endpoint goes on
// and its repeat is no longer needed.
func TestDroppedRepeatFreesItsSlot(t *testing.T) {
	var dropped atomic.Bool
	hold := func(c net.Conn, _ *http.Request) bool {
		dropped.Store(!pause(c, time.Minute))
		return false
	}
	f := newRetrying(t, deployment.Idempotent, 2, 2, lateWhole("hi"), hold)
	r := f.post(t, "/p/x", nil)
	require.Equal(t, "hi", r.body)
	require.Eventually(t, func() bool { return f.arrivals() < 2 || dropped.Load() }, 10*time.Second, time.Millisecond)
	require.Empty(t, f.balancer.Active())
}

// Guards against requests that wait for a silent endpoint until their time is over
// although this node has lost its paths to the service and another one has not.
func TestRequestLeavesNodeThatLosesTheService(t *testing.T) {
	var h *hops
	var n atomic.Int64
	play := func(c net.Conn, r *http.Request) bool {
		if n.Add(1) > 2 {
			return whole(200, "hi")(c, r)
		}
		h.near.reach.lost.Store(true)
		_ = pause(c, time.Minute)
		return false
	}
	h = newHops(t, 1, deployment.Route{Kind: deployment.Idempotent, Attempts: 4, Objective: 200 * time.Millisecond, Timeout: 20 * time.Second},
		newEndpoint(t, play), newEndpoint(t, play), newEndpoint(t, play))
	h.near.reach.lost.Store(false)
	r := h.post(t, "/p/x", nil)
	require.Equal(t, 200, r.status, r.body)
	require.NotZero(t, h.team.offers.Load())
}
