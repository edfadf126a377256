// Package periodic runs what is due again and again.
package periodic

import (
	"context"
	"time"
)

// Run calls a function once in each interval until the context ends. It returns
// then; a call that lasts longer than the interval delays the next.
func Run(ctx context.Context, interval time.Duration, due func(now time.Time)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			due(now)
		}
	}
}
