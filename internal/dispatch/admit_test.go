package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

func TestRequestOverItsShareIsRefusedAtOnceOrWaits(t *testing.T) {
	// Guards against this failure: a caller learns at its deadline that it never had a chance.
	synctest.Test(t, func(t *testing.T) {
		l := limit.NewLimiter(limit.LimiterConfig{})
		share := map[string]limit.Share{"a": {Rate: 1, Burst: 10}}
		l.Limit(time.Now(), share, share)
		view := &kernel.View{Pools: map[string]*kernel.Pool{}}
		d := dispatch.New(dispatch.Config{View: func() *kernel.View { return view }, Limiter: l})
		defer d.Close()
		ask := func(timeout time.Duration) (*dispatch.Refusal, time.Duration) {
			begin := time.Now()
			req := route.Request{Account: "a", Service: "s", Input: 10, Deadline: begin.Add(timeout)}
			_, err := d.Do(context.Background(), req, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			require.True(t, refusal.NotRun)
			return refusal, time.Since(begin)
		}
		// Admitted requests end with no_endpoint here: the pool is empty.
		refusal, _ := ask(time.Second)
		require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
		refusal, took := ask(500 * time.Millisecond)
		require.Equal(t, route.ReasonLimited, refusal.Reason)
		require.InDelta(t, 9, refusal.RetryAfter.Seconds(), 1)
		require.Zero(t, took)
		refusal, took = ask(time.Minute)
		require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
		require.Greater(t, took, 7*time.Second)
	})
}
