package periodic_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/periodic"
)

func ExampleRun() {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	periodic.Run(ctx, time.Millisecond, func(time.Time) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	fmt.Println(calls)
	// Output: 3
}

func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var at []time.Duration
		start := time.Now()
		periodic.Run(ctx, time.Second, func(now time.Time) { at = append(at, now.Sub(start)) })
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, at)
	})
}

// Guards against a call after the context has ended, when the next interval has passed
// as well.
func TestRunCallsNothingAfterTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 100 {
			ctx, cancel := context.WithCancel(t.Context())
			calls := 0
			periodic.Run(ctx, time.Second, func(time.Time) {
				calls++
				cancel()
				time.Sleep(2 * time.Second)
			})
			require.Equal(t, 1, calls)
		}
	})
}
