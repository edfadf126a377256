package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// restarted returns an endpoint that has started n times under the same ID.
func restarted(id string, n int) *deployment.Endpoint {
	return &deployment.Endpoint{ID: id, Born: time.UnixMilli(int64(1000 * n)), Zone: "z", Slots: 8}
}

// Guards against an engine that is sent nothing after a restart under its ID, or is
// asked for prompts that it no longer holds.
func TestLaterStartInheritsNoState(t *testing.T) {
	now := time.Now()
	other := restarted("other", 1)
	request := balance.Request{Key: "doc"}
	cases := []struct {
		name string
		// learn gives the balancer some state of the earlier start.
		learn func(b *balance.Balancer, old *deployment.Endpoint)
	}{
		{
			name: "its address belonged to another process",
			learn: func(b *balance.Balancer, old *deployment.Endpoint) {
				b.Choose(now, []*deployment.Endpoint{old}, balance.Request{})
				b.Release(now, old.Start(), balance.Gone)
			},
		},
		{
			name: "it was unreachable",
			learn: func(b *balance.Balancer, old *deployment.Endpoint) {
				b.Choose(now, []*deployment.Endpoint{old}, balance.Request{})
				b.Release(now, old.Start(), balance.Unreachable)
			},
		},
		{
			name: "its requests are still in progress",
			learn: func(b *balance.Balancer, old *deployment.Endpoint) {
				for range 8 {
					b.Choose(now, []*deployment.Endpoint{old}, request)
				}
			},
		},
		{
			name: "it reported that it was full",
			learn: func(b *balance.Balancer, old *deployment.Endpoint) {
				b.SetReportedLoad(now, old.Start(), 100)
				b.AddReports(now, map[uint32]int{old.Start().Key(): 100})
			},
		},
		{
			name: "peers report late that it held a prompt",
			learn: func(b *balance.Balancer, old *deployment.Endpoint) {
				for _, key := range []string{"a", "b", "doc"} {
					peer := balance.New(balance.Config{Loads: peers{}})
					send(peer, now, []*deployment.Endpoint{old}, balance.Request{Key: key})
					b.AddPlacements(now, peer.Placements(now, now))
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fresh := balance.New(balance.Config{Loads: peers{}})
			b := balance.New(balance.Config{Loads: peers{}})
			c.learn(b, restarted("e0", 1))
			again := restarted("e0", 2)
			require.NotEqual(t, again.Start().Key(), restarted("e0", 1).Start().Key())
			list := []*deployment.Endpoint{again, other}
			want, got := fresh.Choose(now, list, request), b.Choose(now, list, request)
			require.Equal(t, want, got)
		})
	}
}

// Requests of an earlier start end after the later one has begun.
func TestLateReleaseOfAnEarlierStartDoesNotAffectTheLater(t *testing.T) {
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{}})
	old, again := restarted("e0", 1), restarted("e0", 2)
	require.NotNil(t, b.Choose(now, []*deployment.Endpoint{old}, balance.Request{}))
	require.NotNil(t, b.Choose(now, []*deployment.Endpoint{again}, balance.Request{}))
	b.Release(now, old.Start(), balance.Unreachable)
	require.Equal(t, map[uint32]int{again.Start().Key(): 1}, b.Active())
	require.NotNil(t, b.Choose(now, []*deployment.Endpoint{again}, balance.Request{}))
}
