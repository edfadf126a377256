package gateway_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// pausedOwner is an owner whose process is paused before it answers an offer, or after it
// has got a request, until it is resumed.
type pausedOwner struct {
	beforeAnswer bool
	resumed      chan struct{}
	answered     chan struct{}
	runs         atomic.Int64
	canceled     atomic.Bool
}

// Take implements handover.Handler.
func (p *pausedOwner) Take(*handover.Offer) string {
	if p.beforeAnswer {
		<-p.resumed
		defer close(p.answered)
	}
	return ""
}

// Release implements handover.Handler.
func (*pausedOwner) Release(*handover.Offer) {}

// Hand implements handover.Handler.
func (p *pausedOwner) Hand(ctx context.Context, _ *handover.Offer, _ []byte, _ *handover.Writer) {
	p.runs.Add(1)
	<-p.resumed
	<-ctx.Done()
	p.canceled.Store(true)
	close(p.answered)
}

// newPausedOwner replaces the owner by a paused one.
func newPausedOwner(t *testing.T, o *owned, beforeAnswer bool) *pausedOwner {
	p := &pausedOwner{beforeAnswer: beforeAnswer, resumed: make(chan struct{}), answered: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := handover.NewServer(l, p)
	t.Cleanup(s.Close)
	addr := netip.MustParseAddrPort(l.Addr().String())
	o.owners.addr.Store(&addr)
	return p
}

// Guards against a second run by an owner that was paused when it got an offer: its node
// has run the request in the meantime.
func TestOwnerThatResumesHasNothingToRun(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 2 * time.Second}, e)
	p := newPausedOwner(t, o, true)
	require.Equal(t, 200, o.post(t, "/p/x", nil).status)
	require.Equal(t, 1, e.count())
	close(p.resumed)
	<-p.answered
	time.Sleep(20 * time.Millisecond)
	require.Zero(t, p.runs.Load())
	require.Equal(t, 1, e.count())
}

// Guards against requests that wait for a paused owner until their time is over although
// they may be repeated, and against those that leave an owner which is only slow.
func TestRequestLeavesOwnerThatIsLost(t *testing.T) {
	for _, c := range []struct {
		name string
		kind deployment.Kind
		lost bool
		here bool
	}{
		{name: "lost", kind: deployment.Idempotent, lost: true, here: true},
		{name: "lost, at most once", kind: deployment.AtMostOnce, lost: true},
		{name: "slow", kind: deployment.Idempotent},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint(t, whole(200, "hi"))
			o := newOwned(t, deployment.Route{Kind: c.kind, Attempts: 2, Objective: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond}, e)
			p := newPausedOwner(t, o, false)
			close(p.resumed)
			o.owners.lost.Store(c.lost)
			r := o.post(t, "/p/x", nil)
			require.Equal(t, c.here, r.status == 200, r.body)
			require.Equal(t, c.here, e.count() == 1)
			<-p.answered
			require.Equal(t, int64(1), p.runs.Load())
		})
	}
}

// Guards against callers without an end, and second runs, while an owner is paused that
// has got a request: whether it runs is unknown until the time is over.
func TestOwnerThatIsPausedWithARequest(t *testing.T) {
	e := newEndpoint(t, whole(200, "hi"))
	o := newOwned(t, deployment.Route{Kind: deployment.AtMostOnce, Objective: 300 * time.Millisecond, Timeout: 600 * time.Millisecond}, e)
	p := newPausedOwner(t, o, false)
	began := time.Now()
	r := o.post(t, "/p/x", nil)
	require.Contains(t, []int{502, 504}, r.status)
	require.Empty(t, r.header.Get("Retry-After"), "it does not say that it has not run")
	require.Less(t, time.Since(began), 5*time.Second)
	require.Zero(t, e.count())
	close(p.resumed)
	<-p.answered
	require.True(t, p.canceled.Load(), "the owner learns that the caller has its end")
}
