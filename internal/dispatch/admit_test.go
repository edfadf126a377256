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

// Guards against a request over its account's rate that is refused only at its deadline,
// though it was known from the start that it could not be admitted before.
func TestRequestOverRateWaitsOrIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limit.NewLimiter(limit.LimiterConfig{})
		share := map[string]limit.Share{"a": {Rate: 1, Burst: 10}}
		l.SetShares(time.Now(), share, share)
		view := &kernel.View{Pools: map[string]*kernel.Pool{}}
		d := dispatch.New(dispatch.Config{View: func() *kernel.View { return view }, Limiter: l})
		defer d.Close()
		do := func(timeout time.Duration) (*dispatch.Refusal, time.Duration) {
			begin := time.Now()
			req := route.Request{Account: "a", Service: "s", Input: 10, Deadline: begin.Add(timeout)}
			_, err := d.Do(context.Background(), req, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			require.True(t, refusal.NotRun)
			return refusal, time.Since(begin)
		}
		// The pool is empty, so admitted requests end with no_endpoint.
		refusal, _ := do(time.Second)
		require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
		refusal, took := do(500 * time.Millisecond)
		require.Equal(t, route.ReasonLimited, refusal.Reason)
		require.InDelta(t, 9, refusal.RetryAfter.Seconds(), 1)
		require.Zero(t, took)
		refusal, took = do(time.Minute)
		require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
		require.Greater(t, took, 7*time.Second)
	})
}
