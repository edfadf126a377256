package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// Guards against a closed connection without an answer for requests that a stopping node
// ends: "not run" is said of one that waits for an endpoint only.
func TestRequestsThatAStoppingNodeEndsAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints []*endpoint
		status    int
	}{
		"runs":  {endpoints: []*endpoint{newEndpoint(t, silent)}, status: http.StatusBadGateway},
		"waits": {status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1, Objective: 10 * time.Second, Timeout: time.Minute}, c.endpoints...)
			got := make(chan response, 1)
			go func() { got <- f.postContext(t.Context(), t, "/p/x", nil) }()
			require.Eventually(t, func() bool { return f.handler.Active() == 1 && f.arrivals() == len(c.endpoints) }, 10*time.Second, time.Millisecond)
			f.handler.End()
			r := <-got
			require.True(t, r.complete)
			require.Equal(t, c.status, r.status)
			require.Equal(t, "stopping\n", r.body)
			require.Equal(t, c.status == http.StatusServiceUnavailable, r.header.Get("Retry-After") != "")
		})
	}
}

// Guards against a stream that looks complete, as the node that forwards it is stopped.
func TestStreamThatAStoppingNodeEndsIsCut(t *testing.T) {
	f := newFixture(t, deployment.Route{Kind: deployment.Resumable, Attempts: 2, Timeout: time.Minute}, newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		stream(2, "", false)(c, r)
		return silent(c, r)
	}))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.server.URL+"/p/x", nil)
	require.NoError(t, err)
	req.Host = "h"
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	begun := make([]byte, len(events(1, 2)))
	_, err = io.ReadFull(resp.Body, begun)
	require.NoError(t, err)
	f.handler.End()
	rest, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, ": unknown: stopping; resume it with Last-Event-Id: 2\n\n", string(rest))
}

// Guards against a request that ends with the node to which it was handed over, although it
// may run again.
func TestRequestOfAnotherNodeOutlivesAStoppingNode(t *testing.T) {
	for kind, status := range map[deployment.Kind]int{deployment.AtMostOnce: http.StatusBadGateway, deployment.Idempotent: http.StatusOK} {
		e := newEndpoint(t, silent, whole(200, "hi"))
		h := newHops(t, 2, deployment.Route{Kind: kind, Attempts: 2, Objective: 10 * time.Second, Timeout: time.Minute}, e)
		go func() {
			for e.count() == 0 {
				time.Sleep(time.Millisecond)
			}
			h.team.members[0].End()
		}()
		r := h.post(t, "/p/x", nil)
		require.Equal(t, status, r.status, r.body)
	}
}

// Guards against a request that is sent although the node ends it before a response is due.
func TestRequestIsNotSentShortlyBeforeANodeCloses(t *testing.T) {
	const objective = 10 * time.Second
	for left, status := range map[time.Duration]int{objective / 2: http.StatusServiceUnavailable, 2 * objective: http.StatusOK} {
		f := newFixture(t, deployment.Route{Kind: deployment.AtMostOnce, Attempts: 1, Objective: objective}, newEndpoint(t, whole(200, "hi")))
		f.change = func(c *gateway.Config) {
			closes := time.Now().Add(left)
			c.Stopping, c.Closes = func() bool { return true }, func() time.Time { return closes }
		}
		f.serve(t, f.snapshot.Config, noLoads{}, nil)
		r := f.post(t, "/p/x", nil)
		require.Equal(t, status, r.status)
		require.Equal(t, status == http.StatusServiceUnavailable, r.header.Get("Retry-After") != "")
		if status != http.StatusOK {
			require.Zero(t, f.arrivals())
		}
	}
}

// Guards against the response of a request of another node that is cut, because the node
// that runs it closes before the last part is sent.
func TestStopWaitsForRequestsOfOtherNodes(t *testing.T) {
	f := newFixture(t, deployment.Route{Attempts: 1}, newEndpoint(t, whole(200, "hi")))
	o := &handover.Offer{Method: http.MethodGet, URI: "/p/x", Service: "s", Version: 1}
	require.Empty(t, f.handler.Take(o))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, f.handler.Wait(ctx), context.DeadlineExceeded)
	f.handler.Release(o)
	require.NoError(t, f.handler.Wait(t.Context()))
}
