package platform

import (
	"context"
	"errors"
	"time"
)

const (
	// minPeerValues is the number of missing values from which a node waits for
	// its peers before it reads from the platform.
	minPeerValues = 24
	// minPeerWait is the minimum wait for peers. A random time below startSpread
	// is added on a starting node, below changeSpread on a running one when much
	// changes at once. The spreads are wide, so that the first watcher has read
	// everything and the others have received it before most of them would read.
	minPeerWait  = 200 * time.Millisecond
	startSpread  = 5 * time.Second
	changeSpread = 2 * time.Second
	// nonWatcherWait is the additional wait of nodes that are not watchers.
	nonWatcherWait = 6 * time.Second
	peerPoll       = 100 * time.Millisecond
)

// errDelivered is returned when a peer delivered a revision before the node read
// it from the platform.
var errDelivered = errors.New("platform: delivered by a peer")

// peersFirst is a Getter that reads many values from the platform only if no
// peer delivers them in time.
//
// Otherwise, when a whole region restarts, every node would read every section,
// about seventy calls each, and exhaust the platform's rate limit for all
// readers for many seconds. Watchers wait less than other nodes, so that a few
// of them read for all.
type peersFirst struct{ reader *Reader }

// Values reads values by their keys. It returns errDelivered if a peer delivered
// a newer revision first.
func (p peersFirst) Values(ctx context.Context, keys []string) (map[string][]byte, error) {
	c := p.reader.config
	if len(keys) < minPeerValues {
		return c.Source.Values(ctx, keys)
	}
	before := c.Cache.Revision()
	spread := changeSpread
	if before == 0 {
		spread = startSpread
	}
	wait := minPeerWait + c.Rand(spread)
	if !c.Role().Watcher {
		wait += nonWatcherWait
	}
	deadline := time.Now().Add(wait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if c.Cache.Revision() > before {
			return nil, errDelivered
		}
		sleep(ctx, peerPoll)
	}
	return c.Source.Values(ctx, keys)
}

// jitter returns a random duration from 0.5 d to 1.5 d, so that nodes that
// started or failed together do not read together.
func (r *Reader) jitter(d time.Duration) time.Duration { return d/2 + r.config.Rand(d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
