package platform

import (
	"context"
	"errors"
	"time"
)

const (
	// manyValues is the number of values from which a node first lets its
	// peers deliver them.
	manyValues = 24
	// waitFirst is the least time that a node waits for its peers, waitStart
	// the most that a starting one waits longer, waitChange the most that a
	// running one does, where much changes at once. The spread is wide, so that
	// the first of the watchers has read everything, and the others have heard
	// of it, before the most of them would.
	waitFirst  = 200 * time.Millisecond
	waitStart  = 5 * time.Second
	waitChange = 2 * time.Second
	// waitOthers is how much longer nodes wait that are no watchers.
	waitOthers = 6 * time.Second
	peersPoll  = 100 * time.Millisecond
)

// errDelivered is returned where a peer delivered a revision before the platform
// was asked.
var errDelivered = errors.New("platform: delivered by a peer")

// patient is a Getter that reads many values from the platform only where no
// peer delivers them in time.
//
// When a whole region restarts, every node would read every section, some
// seventy calls each, and use up the platform's rate for all readers for many
// seconds. A node therefore first waits for its peers; watchers wait less, so
// that a few of them read for all.
type patient struct{ reader *Reader }

// Values reads values by their keys.
func (p patient) Values(ctx context.Context, keys []string) (map[string][]byte, error) {
	c := p.reader.config
	if len(keys) < manyValues {
		return c.Source.Values(ctx, keys)
	}
	before := c.Cache.Revision()
	spread := waitChange
	if before == 0 {
		spread = waitStart
	}
	wait := waitFirst + c.Rand(spread)
	if !c.Role().Watcher {
		wait += waitOthers
	}
	until := time.Now().Add(wait)
	for time.Now().Before(until) && ctx.Err() == nil {
		if c.Cache.Revision() > before {
			return nil, errDelivered
		}
		sleep(ctx, peersPoll)
	}
	return c.Source.Values(ctx, keys)
}

// jitter returns a duration between half of d and one and a half, so that nodes
// that started or failed together do not read together.
func (r *Reader) jitter(d time.Duration) time.Duration { return d/2 + r.config.Rand(d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
