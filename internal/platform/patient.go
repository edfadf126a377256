package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// manyValues is the number of values from which a node first lets its
	// peers deliver them.
	manyValues = 24
	peersFirst = 500 * time.Millisecond
	// peersLast is how long a node that is no watcher waits for its peers.
	peersLast = 4 * time.Second
	peersPoll = 50 * time.Millisecond
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
	wait := peersFirst
	if !c.Role().Watcher {
		wait = peersLast
	}
	before := c.Cache.Revision()
	until := time.Now().Add(jitter(wait))
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
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
