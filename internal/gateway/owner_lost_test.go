package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against a request that is lost because its owner has lost its paths to the
// endpoints within the request's run: it is repeated here if it may be.
func TestOwnerLosesTheEndpointsWithinARun(t *testing.T) {
	for _, c := range []struct {
		kind     deployment.Kind
		status   int
		arrivals int
	}{
		{kind: deployment.AtMostOnce, status: 502, arrivals: 1},
		{kind: deployment.Idempotent, status: 200, arrivals: 2},
	} {
		t.Run(strconv.Itoa(c.status), func(t *testing.T) {
			closed, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			gone := netip.MustParseAddrPort(closed.Addr().String())
			require.NoError(t, closed.Close())
			var o *owned
			var n atomic.Int64
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if n.Add(1) > 1 {
					return whole(200, "hi")(conn, r)
				}
				lost := *o.owner.snapshot
				lost.Endpoints = map[string][]*deployment.Endpoint{}
				for n := range 6 {
					lost.Endpoints["s"] = append(lost.Endpoints["s"], &deployment.Endpoint{ID: fmt.Sprint("gone", n), Service: "s", Slots: 4, Addr: gone})
				}
				o.owner.deployment.current.Store(&lost)
				return false
			})
			o = newOwned(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: time.Second}, e)
			r := o.post(t, "/p/x", nil)
			require.Equal(t, c.status, r.status, r.body)
			require.Equal(t, c.arrivals, e.count())
			require.Equal(t, int64(1), o.owners.offers.Load())
		})
	}
}

// Guards against requests that wait at an owner which has lost the service until their
// time is over: they run here.
func TestRequestsLeaveOwnerThatLosesTheService(t *testing.T) {
	hold := make(chan struct{})
	e := newEndpoint(t, slow(hold))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 8 * time.Second, Timeout: 10 * time.Second}, e)
	all := o.postAll(t, 5)
	require.Eventually(t, func() bool { return e.count() == 5 }, 4*time.Second, time.Millisecond)
	next := o.postAll(t, 1)
	require.Eventually(t, func() bool { return o.owners.offers.Load() == 6 }, 4*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, 5, e.count(), "it waits at the owner")
	o.owner.reach.lost.Store(true)
	require.Eventually(t, func() bool { return e.count() == 6 }, 4*time.Second, time.Millisecond, "it runs here")
	close(hold)
	for range 5 {
		require.Equal(t, 200, (<-all).status)
	}
	require.Equal(t, 200, (<-next).status)
	require.Equal(t, 6, e.count())
}
