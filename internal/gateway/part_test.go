package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// deadly is the part of a prompt that ends endpoints, and mayEndByPart how many
	// it may end.
	deadly       = "deadly"
	mayEndByPart = 5
	// soundTime is how long sound requests run.
	soundTime = 20 * time.Millisecond
)

// prompts returns the prompts of request n, one with the deadly part and a sound one
// that shares all other parts.
type prompts struct {
	name   string
	deadly func(n int) string
	sound  func(n int) string
}

func placesOfPart() []prompts {
	return []prompts{
		{
			name:   "first",
			deadly: func(n int) string { return fmt.Sprintf("deadly:9,doc:5,own%d:1", n) },
			sound:  func(n int) string { return fmt.Sprintf("system:9,doc:5,own%d:1", n) },
		},
		{
			name:   "first, all others differ",
			deadly: func(n int) string { return fmt.Sprintf("deadly:9,doc%d:5,own%d:1", n, n) },
			sound:  func(n int) string { return fmt.Sprintf("system:9,doc%d:5,own%d:1", n%3, n) },
		},
		{
			name:   "in the middle, below a part that all share",
			deadly: func(n int) string { return fmt.Sprintf("system:9,deadly:5,doc:5,own%d:1", n) },
			sound:  func(n int) string { return fmt.Sprintf("system:9,other%d:5,doc:5,own%d:1", n%5, n) },
		},
		{
			name:   "the deepest shared one",
			deadly: func(n int) string { return fmt.Sprintf("system:9,doc:5,deadly:5,own%d:1", n) },
			sound:  func(n int) string { return fmt.Sprintf("system:9,doc:5,own%d:1", n) },
		},
		{
			name:   "beside parts that are malformed",
			deadly: func(n int) string { return fmt.Sprintf(",system:x,,deadly,%s:-1,own%d:1", strings.Repeat("z", n), n) },
			sound:  func(n int) string { return fmt.Sprintf(",system:x,,doc,%s:-1,own%d:1", strings.Repeat("z", n), n) },
		},
	}
}

// newPartFleet returns endpoints whose processes end as they answer a prompt with the
// deadly part.
func newPartFleet(t *testing.T, size int, last, sound reply) (*fleet, []*endpoint) {
	return newFleetBy(t, size, last, func(c net.Conn, r *http.Request) (handled, open bool) {
		if strings.Contains(r.Header.Get("Prompt"), deadly) {
			return false, false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(soundTime)
		return true, sound(c, r)
	})
}

// Guards against requests, no two of them alike, that end one endpoint after another by
// a part of their prompts, and against refusals of sound ones that share all else.
func TestPartThatEndsEndpointsIsIsolated(t *testing.T) {
	const requests = 90
	kinds := map[string]struct {
		kind  deployment.Kind
		last  reply
		sound reply
	}{
		"plain, before the head": {deployment.Idempotent, hangUp, whole(200, "hi")},
		"stream, after the head": {deployment.Streaming, raw(headOf("Transfer-Encoding: chunked")), stream(3, "", true)},
		"resumable, in an event": {deployment.Resumable, raw(headOf("Transfer-Encoding: chunked") + "10\r\nid: 1\nda"), stream(3, "", true)},
		"stream without framing": {deployment.Streaming, raw(headOf("X: y") + event(1)), raw(headOf("X: y") + events(1, 3))},
	}
	for _, place := range placesOfPart() {
		for name, k := range kinds {
			t.Run(place.name+"/"+name, func(t *testing.T) {
				ended, list := newPartFleet(t, 40, k.last, k.sound)
				f := newFixture(t, deployment.Route{Kind: k.kind, Attempts: 2, Objective: time.Second, Cached: true}, list...)
				send := func(n int, prompt string) response {
					return f.postBody(t.Context(), t, "/k/x", fmt.Sprint("body ", n), map[string]string{"Prompt": prompt, "Model": "m", "Api-Key": "key"})
				}
				for n := range requests {
					if n%3 == 0 {
						send(n, place.deadly(n))
						continue
					}
					a := send(n, place.sound(n))
					require.Equal(t, 200, a.status, a.body)
					require.True(t, a.complete)
				}
				require.LessOrEqual(t, ended.count(), mayEndByPart)
				a := send(requests, place.deadly(requests))
				require.Equal(t, 503, a.status)
				wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.Greater(t, wait, time.Minute.Seconds(), "it is refused for longer than a minute")
			})
		}
	}
}

// Guards against refusals of sound requests whose runs were broken several times as
// others ended their endpoints.
func TestSoundRequestsGoOnBesideAPartThatEndsEndpoints(t *testing.T) {
	const callers, each = 6, 20
	place := placesOfPart()[3]
	ended, list := newPartFleet(t, 40, hangUp, whole(200, "hi"))
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: time.Second, Cached: true}, list...)
	var running sync.WaitGroup
	var refused atomic.Int64
	for caller := range callers {
		running.Go(func() {
			for i := range each {
				n, prompt := caller*each+i, place.sound(caller*each+i)
				if caller == 0 {
					prompt = place.deadly(n)
				}
				a := f.postBody(t.Context(), t, "/k/x", fmt.Sprint("body ", n), map[string]string{"Prompt": prompt, "Model": "m", "Api-Key": "key"})
				if caller > 0 && strings.TrimSpace(a.body) == "crashes-endpoints" {
					refused.Add(1)
				}
			}
		})
	}
	running.Wait()
	require.LessOrEqual(t, ended.count(), mayEndByPart)
	require.Zero(t, refused.Load())
}

// Guards against an answer without framing that looks complete although its endpoint
// ended in the middle of it.
func TestUnframedAnswersOfEndedEndpointsAreNotComplete(t *testing.T) {
	unframed := headOf("X: y")
	for _, c := range []struct {
		name        string
		kind        deployment.Kind
		last, sound reply
		status      int
		complete    bool
		body        string
	}{
		{name: "a plain one is sent again", kind: deployment.Idempotent, last: raw(unframed + "h"), sound: raw(unframed + "hi"), status: 200, complete: true, body: "hi"},
		{name: "an at-most-once one is unknown", kind: deployment.AtMostOnce, last: raw(unframed + "h"), sound: raw(unframed + "hi"), status: 502, complete: true, body: "endpoint-broke-off\n"},
		{name: "a resumable stream is resumed", kind: deployment.Resumable, last: raw(unframed + event(1)), sound: stream(3, "", true), status: 200, complete: true, body: events(1, 3)},
		{name: "another stream is cut", kind: deployment.Streaming, last: raw(unframed + event(1)), sound: stream(3, "", true), status: 200},
		{name: "a large one is cut", kind: deployment.Idempotent, last: raw(unframed + strings.Repeat("x", 2<<20)), sound: raw(unframed + "hi"), status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			var once sync.Once
			_, list := newFleetBy(t, 4, c.last, func(conn net.Conn, r *http.Request) (handled, open bool) {
				handled = true
				once.Do(func() { handled = false })
				if !handled {
					return false, false
				}
				return true, c.sound(conn, r)
			})
			f := newFixture(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: time.Second}, list...)
			a := f.post(t, "/p/x", nil)
			require.Equal(t, c.status, a.status)
			require.Equal(t, c.complete, a.complete)
			if c.complete {
				require.Equal(t, c.body, a.body)
			}
		})
	}
}

// Guards against a part that is cleared by failures, which endpoints may send without
// running the request.
func TestUnframedFailuresClearNothing(t *testing.T) {
	var failing atomic.Bool
	failure := raw("HTTP/1.1 500 No\r\n" + id + ": {id}\r\n" + seal + ": s\r\nX: y\r\n\r\nno")
	ended, list := newFleetBy(t, fleetSize, hangUp, func(c net.Conn, r *http.Request) (handled, open bool) {
		if failing.Load() {
			return true, failure(c, r)
		}
		return false, false
	})
	f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1}, list...)
	for ended.count() < mayEnd-1 {
		require.Equal(t, 502, f.post(t, "/p/x", nil).status)
	}
	failing.Store(true)
	require.Equal(t, 500, f.post(t, "/p/x", nil).status)
	failing.Store(false)
	require.Equal(t, 502, f.post(t, "/p/x", nil).status)
	require.Equal(t, 503, f.post(t, "/p/x", nil).status)
}

// Guards against requests that were handed over and end endpoints by a part of their
// prompts, as the node that runs them does not look at it.
func TestPartOfHandedOverRequestsIsIsolated(t *testing.T) {
	place := placesOfPart()[2]
	ended, list := newPartFleet(t, 20, hangUp, whole(200, "hi"))
	h := newHops(t, 1, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: time.Second}, list...)
	send := func(n int, prompt string) response {
		return h.postBody(t.Context(), t, "/p/x", fmt.Sprint("body ", n), map[string]string{"Prompt": prompt})
	}
	for n := range 30 {
		send(n, place.deadly(n))
		require.Equal(t, 200, send(100+n, place.sound(n)).status)
	}
	require.LessOrEqual(t, ended.count(), mayEndByPart)
	require.Equal(t, 503, send(30, place.deadly(30)).status)
}

// Guards against requests that wait for a slot and run although a part of their prompts
// has been isolated since.
func TestWaitingRequestsWithAnIsolatedPartAreRefused(t *testing.T) {
	const endpoints, requests = 4, 80
	place := placesOfPart()[2]
	ended, list := newPartFleet(t, endpoints, hangUp, whole(200, "hi"))
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 3, Objective: 10 * time.Second, Timeout: 10 * time.Second}, list...)
	send := func(n int) response {
		return f.postBody(t.Context(), t, "/p/x", fmt.Sprint("body ", n), map[string]string{"Prompt": place.deadly(n)})
	}
	var running sync.WaitGroup
	for n := range requests {
		running.Go(func() { send(n) })
	}
	require.Eventually(t, func() bool {
		return ended.count() == endpoints && len(f.crashes.List(time.Now())) > 0
	}, 5*time.Second, time.Millisecond)
	before := f.arrivals()
	for _, e := range list {
		e.startAgain(t)
	}
	running.Wait()
	require.Equal(t, before, f.arrivals())
	require.Equal(t, 503, send(requests).status)
}
