// Package periodic calls a function at a regular interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f once in each interval until the context ends, and then returns. A call
// that lasts longer than the interval delays the next.
func Run(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			if ctx.Err() != nil {
				return
			}
			f(now)
		}
	}
}
