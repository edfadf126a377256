package platform_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// inForce is the time in which a change must come into force everywhere.
const inForce = 4 * time.Second

// started is when a node without peers has read even a large configuration.
const started = 10 * time.Second

type (
	// fakePlatform is a Source whose faults a test sets. Its watches wait as
	// long as a Client's.
	fakePlatform struct {
		mu      sync.Mutex
		changed chan struct{}
		values  map[string]platform.Value
		fail    error
		// blind makes watches answer that nothing changed.
		blind bool
		delay time.Duration
		reads int
		bytes int
	}

	// fakeSink keeps what was offered.
	fakeSink struct {
		mu        sync.Mutex
		revisions []uint64
		lists     []uint64
	}
)

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string]platform.Value{}, changed: make(chan struct{})}
}

func (f *fakePlatform) Get(ctx context.Context, key string) (platform.Value, error) {
	f.mu.Lock()
	f.reads++
	v, fail, delay := f.values[key], f.fail, f.delay
	f.bytes += len(v.Data)
	f.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
	if fail != nil {
		return platform.Value{}, fail
	}
	if v.Version == 0 {
		return v, platform.ErrNotFound
	}
	return v, nil
}

func (f *fakePlatform) Values(ctx context.Context, keys []string) (map[string][]byte, error) {
	values := map[string][]byte{}
	for _, key := range keys {
		v, err := f.Get(ctx, key)
		if err != nil {
			return values, err
		}
		values[key] = v.Data
	}
	return values, nil
}

func (f *fakePlatform) Watch(ctx context.Context, key string, after uint64) (platform.Value, bool, error) {
	deadline := time.After(platform.DefaultWait)
	f.mu.Lock()
	f.reads++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		v, changed, fail, blind := f.values[key], f.changed, f.fail, f.blind
		f.mu.Unlock()
		if fail != nil {
			return platform.Value{}, false, fail
		}
		if v.Version > after && !blind {
			f.change(func() { f.bytes += len(v.Data) })
			return v, true, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return platform.Value{}, false, nil
		case <-ctx.Done():
			return platform.Value{}, false, ctx.Err()
		}
	}
}

func (f *fakePlatform) set(key string, data []byte) {
	f.put(key, platform.Value{Version: f.values[key].Version + 1, Data: data})
}

func (f *fakePlatform) put(key string, v platform.Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.values[key] = v
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) change(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
}

func (f *fakePlatform) cost() (reads, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads, f.bytes
}

func (s *fakeSink) Offer(ev kernel.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch ev := ev.(type) {
	case kernel.Accepted:
		s.revisions = append(s.revisions, ev.Manifest.Revision)
	case kernel.Instances:
		s.lists = append(s.lists, ev.Version)
	}
}

func (s *fakeSink) got() (revisions, lists []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.revisions...), append([]uint64(nil), s.lists...)
}

var operatorKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{7}, ed25519.SeedSize))

func sample(revision uint64, accounts int) *manifest.Manifest {
	m := &manifest.Manifest{
		Revision:    revision,
		Deployments: []manifest.Deployment{{Name: "thies", Bound: 1.5}},
		Models:      []manifest.Model{{Name: "notices", Versions: []string{"1"}}},
		Services:    []manifest.Service{{Name: "engines", Deployment: "thies", Kind: manifest.KindChat, Models: []string{"notices"}}},
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%04d", i)
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: name, Key: manifest.KeyDigest(name), Rate: float64(1000 + revision), Burst: 4000,
		})
	}
	return m
}

func split(t testing.TB, m *manifest.Manifest) manifest.Parts {
	t.Helper()
	parts, err := manifest.Split(m)
	require.NoError(t, err)
	return parts
}

func recordOf(t testing.TB, r manifest.Record) []byte {
	t.Helper()
	data, err := json.Marshal(r)
	require.NoError(t, err)
	return data
}

// propose publishes the values of a manifest without a record.
func (f *fakePlatform) propose(t testing.TB, m *manifest.Manifest) manifest.Parts {
	t.Helper()
	parts := split(t, m)
	for d, data := range parts.Values {
		f.set(platform.PrefixManifest+string(d), data)
	}
	return parts
}

func (f *fakePlatform) accept(t testing.TB, m *manifest.Manifest) {
	t.Helper()
	parts := f.propose(t, m)
	f.set(platform.KeyAccepted, recordOf(t, manifest.Accept(operatorKey, m.Revision, parts.Digest)))
}

func newCache() *platform.Cache {
	public, _ := operatorKey.Public().(ed25519.PublicKey)
	return platform.NewCache(platform.CacheConfig{Operators: []ed25519.PublicKey{public}})
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// within runs a test in virtual time with a reader on a fake platform.
func within(t *testing.T, c platform.ReaderConfig, test func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, s := newFakePlatform(), &fakeSink{}
		c.Source, c.Sink, c.Log, c.Rand = f, s, quiet(), seeded(0)
		if c.Cache == nil {
			c.Cache = newCache()
		}
		r := platform.NewReader(c)
		defer r.Close()
		test(t, f, s, r)
	})
}

func status(r *platform.Reader, key string) platform.Status {
	for _, s := range r.Status() {
		if s.Key == key {
			return s
		}
	}
	return platform.Status{}
}

func requireRevisions(t *testing.T, s *fakeSink, want ...uint64) {
	t.Helper()
	got, _ := s.got()
	require.Equal(t, want, got)
}

func TestReaderPutsOnlyAcceptedRevisionsInForce(t *testing.T) {
	within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.propose(t, sample(1, 3))
		time.Sleep(time.Minute)
		requireRevisions(t, s)
		f.accept(t, sample(1, 3))
		time.Sleep(inForce)
		requireRevisions(t, s, 1)
	})
}

func TestReaderRefusesRecords(t *testing.T) {
	other := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{8}, ed25519.SeedSize))
	for _, c := range []struct {
		name   string
		record func(p manifest.Parts) []byte
	}{
		{"another signer", func(p manifest.Parts) []byte { return recordOf(t, manifest.Accept(other, 6, p.Digest)) }},
		{"a rejection", func(p manifest.Parts) []byte { return recordOf(t, manifest.Reject(operatorKey, 6, p.Digest)) }},
		{"another revision than the root's", func(p manifest.Parts) []byte { return recordOf(t, manifest.Accept(operatorKey, 9, p.Digest)) }},
		{"a section for a root", func(p manifest.Parts) []byte {
			root, err := manifest.ParseRoot(p.Values[p.Digest])
			require.NoError(t, err)
			return recordOf(t, manifest.Accept(operatorKey, 6, root.Services))
		}},
		{"half a record", func(p manifest.Parts) []byte {
			data := recordOf(t, manifest.Accept(operatorKey, 6, p.Digest))
			return data[:len(data)/2]
		}},
		{"no JSON", func(manifest.Parts) []byte { return []byte("\x00") }},
		{"nothing", func(manifest.Parts) []byte { return nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
				f.accept(t, sample(5, 3))
				time.Sleep(inForce)
				f.set(platform.KeyAccepted, c.record(f.propose(t, sample(6, 3))))
				time.Sleep(time.Minute)
				requireRevisions(t, s, 5)
				require.NotEmpty(t, status(r, platform.KeyAccepted).Refused)
				f.accept(t, sample(7, 3))
				time.Sleep(inForce)
				requireRevisions(t, s, 5, 7)
				require.Empty(t, status(r, platform.KeyAccepted).Refused)
			})
		})
	}
}

func TestReaderNeverGoesBack(t *testing.T) {
	// Guards against this failure: settings that operators changed revert, and come again.
	within(t, platform.ReaderConfig{Poll: time.Second}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.accept(t, sample(5, 3))
		old := f.values[platform.KeyAccepted]
		f.accept(t, sample(6, 3))
		time.Sleep(inForce)
		newest := f.values[platform.KeyAccepted]
		for i := range uint64(20) {
			f.put(platform.KeyAccepted, []platform.Value{old, newest, {Version: newest.Version + i, Data: old.Data}}[i%3])
			time.Sleep(inForce)
		}
		revisions, _ := s.got()
		require.Equal(t, uint64(6), revisions[len(revisions)-1])
		for i := 1; i < len(revisions); i++ {
			require.Greater(t, revisions[i], revisions[i-1])
		}
		f.put(platform.KeyAccepted, platform.Value{Version: 1, Data: old.Data})
		time.Sleep(inForce)
		require.True(t, status(r, platform.KeyAccepted).Behind)
	})
}

func TestReaderKeepsTheNewestList(t *testing.T) {
	within(t, platform.ReaderConfig{Poll: time.Second}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		list := []byte(`[{"name":"n1","kind":"node","zone":"a","addr":"127.0.0.1:1","peer":"127.0.0.1:2"}]`)
		for _, version := range []uint64{3, 2, 4, 3, 4, 1, 5} {
			f.put(platform.KeyInstances, platform.Value{Version: version, Data: list})
			time.Sleep(inForce)
		}
		for i, bad := range [][]byte{list[:len(list)/2], []byte("[{}]"), []byte("null and more"), {}} {
			f.put(platform.KeyInstances, platform.Value{Version: uint64(6 + i), Data: bad})
			time.Sleep(inForce)
		}
		_, lists := s.got()
		require.Equal(t, []uint64{3, 4, 5}, lists)
	})
}

func TestReaderKeepsItsListWhileThePlatformIsStaleForLong(t *testing.T) {
	// Guards against this failure: endpoints that joined vanish, those that left come back.
	within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.put(platform.KeyInstances, platform.Value{Version: 9, Data: []byte(`[]`)})
		time.Sleep(inForce)
		f.put(platform.KeyInstances, platform.Value{Version: 7, Data: []byte(`[]`)})
		time.Sleep(time.Hour)
		_, lists := s.got()
		require.Equal(t, []uint64{9}, lists)
		require.Equal(t, uint64(9), status(r, platform.KeyInstances).Version)
		require.True(t, status(r, platform.KeyInstances).Behind)
		f.put(platform.KeyInstances, platform.Value{Version: 10, Data: []byte(`[]`)})
		time.Sleep(inForce)
		_, lists = s.got()
		require.Equal(t, []uint64{9, 10}, lists)
	})
}

func TestReaderTakesTheListFromPeersAtTheStart(t *testing.T) {
	list := []kernel.Instance{{Name: "n1", Kind: kernel.KindNode, Addr: netip.MustParseAddrPort("127.0.0.1:1")}}
	told, err := platform.EncodeList(kernel.Instances{Version: 5, List: list})
	require.NoError(t, err)
	deaf, broken, peer := newFakePlatform(), newFakePlatform(), newFakePlatform()
	deaf.fail = platform.ErrUnavailable
	broken.set(platform.KeyInstances, told[:len(told)/2])
	peer.set(platform.KeyInstances, told)
	c := platform.ReaderConfig{Join: []platform.Getter{deaf, broken, peer}}
	within(t, c, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.change(func() { f.fail = platform.ErrUnavailable })
		time.Sleep(time.Minute)
		_, lists := s.got()
		require.Equal(t, []uint64{5}, lists)
		f.change(func() { f.fail = nil })
		f.put(platform.KeyInstances, platform.Value{Version: 4, Data: []byte(`[]`)})
		time.Sleep(inForce)
		f.put(platform.KeyInstances, platform.Value{Version: 6, Data: []byte(`[]`)})
		time.Sleep(inForce)
		_, lists = s.got()
		require.Equal(t, []uint64{5, 6}, lists)
	})
	// Nobody is asked while the platform answers.
	before, _ := peer.cost()
	within(t, c, func(_ *testing.T, f *fakePlatform, _ *fakeSink, _ *platform.Reader) {
		f.set(platform.KeyInstances, []byte(`[]`))
		time.Sleep(time.Minute)
	})
	after, _ := peer.cost()
	require.Equal(t, before, after)
}

func TestReaderThatIsNoWatcherReadsAnewWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := make(chan struct{}, 1)
		f, s := newFakePlatform(), &fakeSink{}
		r := platform.NewReader(platform.ReaderConfig{
			Source: f, Sink: s, Log: quiet(), Cache: newCache(), Reread: asked, Rand: seeded(0),
			Role: func() platform.Role { return platform.Role{} },
		})
		defer r.Close()
		f.accept(t, sample(1, 3))
		time.Sleep(inForce)
		f.accept(t, sample(2, 3))
		asked <- struct{}{}
		time.Sleep(time.Second)
		requireRevisions(t, s, 1, 2)
	})
}

func TestReaderWaitsForHalfPublishedSections(t *testing.T) {
	// Guards against this failure: a node runs with new services and old accounts.
	within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.accept(t, sample(1, 100))
		time.Sleep(started)
		requireRevisions(t, s, 1)
		parts := split(t, sample(2, 100))
		root, err := manifest.ParseRoot(parts.Values[parts.Digest])
		require.NoError(t, err)
		cut := root.Accounts[0]
		require.Empty(t, f.values[platform.PrefixManifest+string(cut)].Data)
		for d, data := range parts.Values {
			if d == cut {
				data = data[:len(data)/2]
			}
			f.set(platform.PrefixManifest+string(d), data)
		}
		f.set(platform.KeyAccepted, recordOf(t, manifest.Accept(operatorKey, 2, parts.Digest)))
		time.Sleep(time.Minute)
		requireRevisions(t, s, 1)
		require.NotEmpty(t, status(r, platform.KeyAccepted).Refused)
		for d, data := range parts.Values {
			f.set(platform.PrefixManifest+string(d), data)
		}
		time.Sleep(10 * time.Second)
		requireRevisions(t, s, 1, 2)
	})
}

func TestReaderCarriesOnWhileThePlatformIsDown(t *testing.T) {
	within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.accept(t, sample(1, 3))
		time.Sleep(inForce)
		f.change(func() { f.fail = platform.ErrUnavailable })
		f.accept(t, sample(2, 3))
		before, _ := f.cost()
		const outage = 24 * time.Hour
		time.Sleep(outage)
		after, _ := f.cost()
		requireRevisions(t, s, 1)
		require.Positive(t, status(r, platform.KeyAccepted).Failures)
		require.Contains(t, status(r, platform.KeyAccepted).Error, "unavailable")
		require.Less(t, float64(after-before)/outage.Seconds(), 2.0, "reads a second while down")
		f.change(func() { f.fail = nil })
		time.Sleep(inForce)
		requireRevisions(t, s, 1, 2)
		require.Zero(t, status(r, platform.KeyAccepted).Failures)
	})
}

func TestReaderFindsChangesWhoseWatchWasLost(t *testing.T) {
	// Guards against this failure: one node never hears of a change.
	within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.accept(t, sample(1, 3))
		time.Sleep(inForce)
		f.change(func() { f.blind = true })
		f.accept(t, sample(2, 3))
		time.Sleep(2 * platform.DefaultPoll)
		requireRevisions(t, s, 1, 2)
	})
}

func TestReaderThatIsNoWatcherReadsRarely(t *testing.T) {
	role := platform.Role{}
	var mu sync.Mutex
	c := platform.ReaderConfig{Role: func() platform.Role {
		mu.Lock()
		defer mu.Unlock()
		return role
	}}
	within(t, c, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		list := []byte(`[]`)
		f.set(platform.KeyInstances, list)
		f.accept(t, sample(1, 3))
		time.Sleep(inForce)
		requireRevisions(t, s, 1)
		before, _ := f.cost()
		time.Sleep(time.Hour)
		after, _ := f.cost()
		require.Less(t, after-before, 200, "reads an hour")
		f.set(platform.KeyInstances, list)
		mu.Lock()
		role.Heard = 2
		mu.Unlock()
		time.Sleep(inForce)
		require.Equal(t, uint64(2), status(r, platform.KeyInstances).Version)
		mu.Lock()
		role.Watcher = true
		mu.Unlock()
		time.Sleep(time.Second)
		f.accept(t, sample(2, 3))
		time.Sleep(time.Second)
		requireRevisions(t, s, 1, 2)
	})
}

func TestReaderLetsPeersDeliverMany(t *testing.T) {
	// Guards against this failure: after a region's restart the platform refuses all readers.
	cache := newCache()
	within(t, platform.ReaderConfig{Cache: cache}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		peer := newFakePlatform()
		peer.accept(t, sample(1, 1600))
		f.accept(t, sample(1, 1600))
		time.Sleep(100 * time.Millisecond)
		m, err := cache.Fetch(t.Context(), peer)
		require.NoError(t, err)
		require.Equal(t, uint64(1), m.Revision)
		time.Sleep(inForce)
		reads, _ := f.cost()
		require.Less(t, reads, 10)
		requireRevisions(t, s)
	})
	within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.accept(t, sample(1, 1600))
		time.Sleep(started)
		requireRevisions(t, s, 1)
		// Every shard changes; a running node does not wait as long.
		f.accept(t, sample(2, 1600))
		time.Sleep(inForce)
		requireRevisions(t, s, 1, 2)
	})
}

func TestReaderIsNotHeldUpBySlowSections(t *testing.T) {
	// Guards against this failure: a change is late on one node although its peers have it.
	cache := newCache()
	within(t, platform.ReaderConfig{Cache: cache}, func(t *testing.T, f *fakePlatform, _ *fakeSink, _ *platform.Reader) {
		f.change(func() { f.delay = time.Hour })
		f.accept(t, sample(1, 3))
		time.Sleep(time.Second)
		peer := newFakePlatform()
		peer.accept(t, sample(1, 3))
		m, err := cache.Fetch(t.Context(), peer)
		require.NoError(t, err)
		require.NotNil(t, m)
	})
}

func TestCacheVerifiesPeers(t *testing.T) {
	cache := newCache()
	peer := newFakePlatform()
	_, err := cache.Fetch(t.Context(), peer)
	require.ErrorIs(t, err, platform.ErrNotFound)
	peer.accept(t, sample(3, 10))
	for key, v := range peer.values {
		if key == platform.KeyAccepted {
			continue
		}
		peer.put(key, platform.Value{Version: v.Version, Data: append([]byte(" "), v.Data...)})
		fresh := newCache()
		_, err = fresh.Fetch(t.Context(), peer)
		require.ErrorIs(t, err, platform.ErrValue)
		require.Zero(t, fresh.Revision())
		require.Nil(t, fresh.Value(key))
		peer.put(key, v)
	}
	m, err := cache.Fetch(t.Context(), peer)
	require.NoError(t, err)
	require.Equal(t, uint64(3), m.Revision)
	m, err = cache.Fetch(t.Context(), peer)
	require.NoError(t, err)
	require.Nil(t, m)
	twin := newFakePlatform()
	twin.accept(t, sample(3, 11))
	_, err = cache.Fetch(t.Context(), twin)
	require.ErrorIs(t, err, platform.ErrConflict)
	for key := range peer.values {
		require.Equal(t, peer.values[key].Data, cache.Value(key))
	}
}

func TestOneChangeCostsFewReadsAndBytes(t *testing.T) {
	for _, accounts := range []int{10, 160, 1600} {
		within(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
			m := sample(1, accounts)
			f.accept(t, m)
			time.Sleep(started - platform.DefaultWait/2)
			startReads, startBytes := f.cost()
			m.Revision = 2
			m.Accounts[0].Rate++
			f.accept(t, m)
			time.Sleep(100 * time.Millisecond)
			requireRevisions(t, s, 1, 2)
			reads, size := f.cost()
			t.Logf("accounts=%d: start %d reads %d bytes; one change %d reads %d bytes",
				accounts, startReads, startBytes, reads-startReads, size-startBytes)
			require.LessOrEqual(t, reads-startReads, 4)
		})
	}
}

// BenchmarkCacheMemory prints the memory that a node holds for the
// configuration: values, manifest and index.
func BenchmarkCacheMemory(b *testing.B) {
	for _, accounts := range []int{10, 160, 1600} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			peer := newFakePlatform()
			parts := split(b, sample(1, accounts))
			for d, data := range parts.Values {
				peer.set(platform.PrefixManifest+string(d), data)
			}
			peer.set(platform.KeyAccepted, recordOf(b, manifest.Accept(operatorKey, 1, parts.Digest)))
			values := 0
			for _, data := range parts.Values {
				values += len(data)
			}
			var held uint64
			for b.Loop() {
				before := heap()
				cache := newCache()
				m, err := cache.Fetch(b.Context(), peer)
				require.NoError(b, err)
				held = heap() - before
				runtime.KeepAlive(cache)
				runtime.KeepAlive(m)
			}
			// The fake shares the values with the cache; a real node holds them.
			b.ReportMetric(float64(held)+float64(values), "bytes-held")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
