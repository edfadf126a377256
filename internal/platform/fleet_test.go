package platform_test

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

const (
	// maxRate is the number of calls per second that the platform accepts from
	// all readers, at the target of 330 nodes.
	maxRate     = 2000
	targetNodes = 330
	// watcherShare is the number of nodes per watcher: two watchers in each of
	// the target's 19 availability zones.
	watcherShare = 9
	// fleetAccounts is small, for speed; more accounts cost some more calls at
	// the start.
	fleetAccounts = 100
	// peerDelay is the time within which a revision reaches all nodes from a peer,
	// one after the other.
	peerDelay = time.Second
)

var nodes = flag.Int("nodes", 66, "nodes of the fleet before one platform; the target has 330")

type (
	// readers is the readers of a whole fleet with one platform. A revision that
	// one of them reads reaches the caches of the others after a delay, as it
	// would by heartbeats.
	readers struct {
		platform  *fakePlatform
		caches    []*platform.Cache
		readers   []*platform.Reader
		ctx       context.Context
		running   sync.WaitGroup
		mu        sync.Mutex
		published uint64
	}

	// readerSink forwards a revision to the other caches.
	readerSink struct {
		fleet *readers
		from  *platform.Cache
	}

	// cacheGetter reads a peer's cache.
	cacheGetter struct{ cache *platform.Cache }
)

func (g cacheGetter) Values(_ context.Context, keys []string) (map[string][]byte, error) {
	values := map[string][]byte{}
	for _, key := range keys {
		if v := g.cache.Value(key); v != nil {
			values[key] = v
		}
	}
	return values, nil
}

func (s readerSink) Offer(ev kernel.Event) {
	accepted, ok := ev.(kernel.Accepted)
	if !ok {
		return
	}
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if accepted.Manifest.Revision <= f.published {
		return
	}
	f.published = accepted.Manifest.Revision
	for i, c := range f.caches {
		f.running.Go(func() {
			select {
			case <-time.After(peerDelay * time.Duration(i) / time.Duration(len(f.caches))):
				_, _ = c.Fetch(f.ctx, cacheGetter{s.from})
			case <-f.ctx.Done():
			}
		})
	}
}

func (f *readers) start() {
	for i := range *nodes {
		cache := newCache()
		f.caches = append(f.caches, cache)
		role := platform.Role{Watcher: i%watcherShare == 0}
		f.readers = append(f.readers, platform.NewReader(platform.ReaderConfig{
			Source: f.platform, Sink: readerSink{fleet: f, from: cache}, Cache: cache, Log: discardLog(),
			Role: func() platform.Role { return role },
			Rand: seeded(uint64(i)),
		}))
	}
}

func (f *readers) stop() {
	for _, r := range f.readers {
		r.Close()
	}
	f.readers, f.caches, f.published = nil, nil, 0
}

// rate returns the mean and the highest number of calls per second during d.
func (f *readers) rate(d time.Duration) (mean, highest int) {
	first, _ := f.platform.cost()
	last := first
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now, _ := f.platform.cost()
		highest = max(highest, now-last)
		last = now
	}
	return (last - first) / int(d/time.Second), highest
}

// TestFleetKeepsToThePlatformsRate logs the calls that all readers of the fleet
// make together; -nodes=330 is the target. It guards against a call rate at which
// the platform refuses readers, so that changes are late everywhere.
func TestFleetKeepsToThePlatformsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &readers{platform: newFakePlatform(), ctx: ctx}
		m := sample(1, fleetAccounts)
		f.platform.set(platform.KeyInstances, []byte(`[]`))
		f.platform.accept(t, m)
		measure := func(what string, d time.Duration) {
			mean, highest := f.rate(d)
			t.Logf("%s: %d calls a second, %d in the highest second", what, mean, highest)
			require.Less(t, highest, maxRate**nodes/targetNodes, what)
		}
		f.start()
		measure("all nodes start", 20*time.Second)
		for _, c := range f.caches {
			require.Equal(t, m.Revision, c.Revision())
		}
		measure("steady", time.Minute)
		m.Revision++
		m.Accounts[0].Rate++
		f.platform.accept(t, m)
		measure("a change", 5*time.Second)
		m = sample(m.Revision+1, fleetAccounts)
		f.platform.accept(t, m)
		measure("every account changes", 5*time.Second)
		f.platform.change(func() { f.platform.fail = platform.ErrUnavailable })
		measure("the platform is down", time.Minute)
		f.platform.change(func() { f.platform.fail = nil })
		measure("the platform is back", 10*time.Second)
		f.stop()
		cancel()
		f.running.Wait()
	})
}

// seeded returns a deterministic ReaderConfig.Rand.
func seeded(seed uint64) func(time.Duration) time.Duration {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, seed))
	return func(n time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(random.Int64N(int64(n)))
	}
}
