package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

type (
	// memberOwners are the Owners of a member, if it has any.
	memberOwners struct{ member *member }

	// changingDeployment is a deployment whose snapshot a test replaces.
	changingDeployment struct {
		staticDeployment
		current atomic.Pointer[deployment.Snapshot]
	}

	// ownerAt is an Owners that offers all requests to one address; none if there is no
	// address.
	ownerAt struct {
		client *handover.Client
		addr   atomic.Pointer[netip.AddrPort]
		offers atomic.Int64
		done   atomic.Int64
		lost   atomic.Bool
	}

	// owned is a gateway that owns the service, and another one at which callers arrive.
	owned struct {
		*fixture
		near   *member
		owner  *member
		owners *ownerAt
		// others are the nodes that the near one would use if it did not reach the
		// service.
		others *team
	}
)

// Snapshot implements gateway.Deployment.
func (d *changingDeployment) Snapshot() *deployment.Snapshot {
	if s := d.current.Load(); s != nil {
		return s
	}
	return d.snapshot
}

// Offer implements gateway.Owners.
func (o memberOwners) Offer(ctx context.Context, offer *handover.Offer, regions []string) (string, *handover.Exchange, error) {
	if o.member.owners == nil {
		return "", nil, nil
	}
	return o.member.owners.Offer(ctx, offer, regions)
}

// Done implements gateway.Owners.
func (o memberOwners) Done(peer string, x *handover.Exchange) { o.member.owners.Done(peer, x) }

// Lost implements gateway.Owners.
func (o memberOwners) Lost(peer string) bool { return o.member.owners.Lost(peer) }

// Offer implements gateway.Owners.
func (o *ownerAt) Offer(ctx context.Context, offer *handover.Offer, _ []string) (string, *handover.Exchange, error) {
	addr := o.addr.Load()
	if addr == nil {
		return "", nil, nil
	}
	o.offers.Add(1)
	offer.From = "near"
	x, err := o.client.Offer(ctx, *addr, offer)
	return "owner", x, err
}

// Done implements gateway.Owners.
func (o *ownerAt) Done(_ string, x *handover.Exchange) {
	o.done.Add(1)
	x.Close()
}

// Lost implements gateway.Owners.
func (o *ownerAt) Lost(string) bool { return o.lost.Load() }

// newOwned returns a gateway that owns the service, and another one.
func newOwned(t *testing.T, route deployment.Route, list ...*endpoint) *owned {
	c := handover.NewClient()
	t.Cleanup(func() { _ = c.Close() })
	o := &owned{fixture: newFixture(t, route, list...), owners: &ownerAt{client: c}, others: &team{client: c}}
	o.owner = o.newMember(t, o.others)
	o.owner.owns.Store(true)
	o.others.members = append(o.others.members, o.newMember(t, o.others))
	o.near = o.newMember(t, o.others)
	o.near.owners = o.owners
	o.owners.addr.Store(&o.owner.addr)
	o.server = httptest.NewServer(o.near)
	t.Cleanup(o.server.Close)
	return o
}

// slow responds once it receives from the channel.
func slow(hold <-chan struct{}) reply {
	return func(c net.Conn, r *http.Request) bool {
		<-hold
		return whole(200, "hi")(c, r)
	}
}

// postAll sends requests at the same time and returns their responses.
func (o *owned) postAll(t *testing.T, n int) <-chan response {
	all := make(chan response, n)
	for range n {
		go func() { all <- o.post(t, "/p/x", nil) }()
	}
	return all
}

func TestOwnerRunsTheRequestsOfOtherNodes(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, e)
	for range 4 {
		r := o.post(t, "/p/x", nil)
		require.Equal(t, 200, r.status)
		require.Equal(t, "hi", r.body)
	}
	require.Equal(t, 4, e.count())
	require.Equal(t, int64(4), o.owners.offers.Load())
	require.Equal(t, int64(4), o.owners.done.Load())
	require.Equal(t, 8, retries(o.near.budget), "counted at the owner")
	require.Zero(t, o.others.offers.Load())
}

// Guards against requests that are lost, run twice or go to yet another node, because
// their owner does not take them: the node runs them itself.
func TestRequestsThatTheOwnerDoesNotTakeRunHere(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(t *testing.T, o *owned)
	}{
		{name: "stopping", change: func(_ *testing.T, o *owned) { o.owner.stopping.Store(true) }},
		{name: "does not reach the service", change: func(_ *testing.T, o *owned) { o.owner.reach.lost.Store(true) }},
		{name: "has an older configuration", change: func(_ *testing.T, o *owned) {
			older := *o.owner.snapshot.Config
			older.Version = 0
			o.owner.snapshot.Config = &older
		}},
		{name: "is busy", change: func(_ *testing.T, o *owned) {
			for range 512 {
				require.Empty(t, o.owner.Take(&handover.Offer{Method: "POST", URI: "/p/x", Service: "s", Version: 1}))
			}
		}},
		{name: "is gone", change: func(_ *testing.T, o *owned) { o.owner.server.Close() }},
		{name: "is paused", change: func(t *testing.T, o *owned) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			addr := netip.MustParseAddrPort(l.Addr().String())
			o.owners.addr.Store(&addr)
		}},
		{name: "is not to be asked", change: func(_ *testing.T, o *owned) { o.owners.addr.Store(nil) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, whole(200, "hi"))
			o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 2 * time.Second}, e)
			c.change(t, o)
			for n := range 3 {
				require.Equal(t, 200, o.post(t, "/p/x", nil).status)
				require.Equal(t, n+1, e.count())
			}
			require.Zero(t, o.others.offers.Load())
			require.Zero(t, o.owners.done.Load())
		})
	}
}

// Guards against a request that no node runs although some reach the service: the near
// one does not, and the owner does not take it.
func TestNodeThatReachesNothingUsesOtherNodesThanTheOwner(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, e)
	o.near.reach.lost.Store(true)
	require.Equal(t, 200, o.post(t, "/p/x", nil).status)
	require.Zero(t, o.others.offers.Load(), "the owner is asked first")
	o.owner.stopping.Store(true)
	require.Equal(t, 200, o.post(t, "/p/x", nil).status)
	require.Equal(t, int64(1), o.others.offers.Load())
	require.Equal(t, 2, e.count())
}

// Guards against a second run of an at-most-once request, and a "not run" that is not
// true, if the owner dies while it runs the request.
func TestOwnerDiesWithRequestsInProgress(t *testing.T) {
	for _, c := range []struct {
		kind     deployment.Kind
		status   int
		arrivals int
	}{
		{kind: deployment.AtMostOnce, status: 502, arrivals: 1},
		{kind: deployment.Idempotent, status: 200, arrivals: 2},
	} {
		t.Run(strconv.Itoa(c.status), func(t *testing.T) {
			arrived := make(chan struct{})
			var n atomic.Int64
			e := newEndpoint(t, func(conn net.Conn, r *http.Request) bool {
				if n.Add(1) > 1 {
					return whole(200, "hi")(conn, r)
				}
				close(arrived)
				_, _ = io.Copy(io.Discard, conn)
				return false
			})
			o := newOwned(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: 4 * time.Second}, e)
			all := o.postAll(t, 1)
			<-arrived
			o.owner.server.Close()
			r := <-all
			require.Equal(t, c.status, r.status, r.body)
			require.Equal(t, c.arrivals, e.count())
			require.Empty(t, r.header.Get("Retry-After"), "it does not say that it has not run")
			require.Equal(t, int64(1), o.owners.offers.Load(), "the retry runs here")
		})
	}
}

// Guards against a refusal that nodes contradict: what the owner refuses for lack of
// slots must not run at the node that has handed it over.
func TestShortageAtTheOwnerIsFinal(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	e := newEndpoint(t, slow(hold))
	o := newOwned(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 1, Objective: 300 * time.Millisecond}, e)
	all := o.postAll(t, 9)
	for range 4 {
		// The endpoint has four slots and one request in addition.
		r := <-all
		require.Equal(t, 503, r.status)
		require.Contains(t, []string{"endpoints-full\n", "account-excess\n"}, r.body)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Positive(t, after)
	}
	require.Equal(t, 5, e.count())
	require.Equal(t, int64(9), o.owners.offers.Load())
	require.Zero(t, o.others.offers.Load())
}

// Guards against endpoints whose queues are filled although one node sees all requests,
// and against an owner's rules at a node that is not the owner.
func TestEndpointsAreFilledByWhoSeesAllRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		owns     bool
		asked    bool
		arrivals int
	}{
		{name: "handed over to the owner", owns: true, asked: true, arrivals: 10},
		{name: "handed over to a node that is not the owner by its own view", asked: true, arrivals: 20},
		{name: "the owner is not to be asked", owns: true, arrivals: 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold := make(chan struct{})
			e, f := newEndpoint(t, slow(hold)), newEndpoint(t, slow(hold))
			o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 4 * time.Second}, e, f)
			o.owner.owns.Store(c.owns)
			if !c.asked {
				o.owners.addr.Store(nil)
			}
			all := o.postAll(t, 20)
			require.Eventually(t, func() bool { return o.arrivals() == c.arrivals }, 4*time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			require.Equal(t, c.arrivals, o.arrivals())
			if c.owns && c.asked {
				require.Equal(t, e.count(), f.count(), "the least loaded is chosen")
			}
			close(hold)
			served := 0
			for range 20 {
				r := <-all
				// The owner lets the first one wait and refuses the others, as it knows
				// no rate of slots yet.
				require.True(t, r.status == 200 || r.body == "endpoints-full\n", r.body)
				if r.status == 200 {
					served++
				}
			}
			require.Equal(t, served, o.arrivals())
			require.GreaterOrEqual(t, served, c.arrivals)
		})
	}
}

// Guards against an owner that stops without the requests that it has taken, and against
// callers that notice.
func TestStoppingOwnerFinishesWhatItHasTaken(t *testing.T) {
	hold, arrived := make(chan struct{}), make(chan struct{})
	var once sync.Once
	e := newEndpoint(t, func(c net.Conn, r *http.Request) bool {
		once.Do(func() { close(arrived) })
		return slow(hold)(c, r)
	})
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 4 * time.Second}, e)
	before := o.postAll(t, 1)
	<-arrived
	o.owner.stopping.Store(true)
	after := o.postAll(t, 1)
	require.Eventually(t, func() bool { return e.count() == 2 }, 4*time.Second, time.Millisecond, "the next one runs here")
	close(hold)
	require.Equal(t, 200, (<-before).status)
	require.Equal(t, 200, (<-after).status)
	require.NoError(t, o.owner.Wait(t.Context()))
}

// Guards against requests that are lost while all endpoints of a service have left: they
// wait at the owner until some return.
func TestRequestsWaitAtTheOwnerForEndpoints(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 4 * time.Second}, e)
	none := *o.owner.snapshot
	none.Endpoints = nil
	o.owner.deployment.current.Store(&none)
	all := o.postAll(t, 1)
	require.Eventually(t, func() bool { return o.owners.offers.Load() == 1 }, 4*time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	require.Zero(t, e.count())
	o.owner.deployment.current.Store(o.owner.snapshot)
	require.Equal(t, 200, (<-all).status)
	require.Equal(t, 1, e.count())
}

// Guards against circles and second runs while two nodes take each other for the owner.
func TestNodesThatTakeEachOtherForTheOwner(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: time.Second}, e)
	back := &ownerAt{client: o.owners.client}
	back.addr.Store(&o.near.addr)
	o.owner.owns.Store(false)
	o.owner.owners = back
	for n := range 4 {
		require.Equal(t, 200, o.post(t, "/p/x", nil).status)
		require.Equal(t, n+1, e.count())
	}
	require.Zero(t, back.offers.Load())
}
