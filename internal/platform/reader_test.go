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

// applyTimeout is the time within which every node must apply a change.
const applyTimeout = 4 * time.Second

// startTimeout is the time within which a node without peers reads even a large
// configuration.
const startTimeout = 10 * time.Second

type (
	// fakePlatform is a Source with settable faults. Its watches wait as long as
	// a Client's.
	fakePlatform struct {
		mu      sync.Mutex
		changed chan struct{}
		values  map[string]platform.Value
		fail    error
		// watchStuck makes watches answer that nothing changed.
		watchStuck bool
		delay      time.Duration
		reads      int
		bytes      int
	}

	// fakeSink records the offered revisions and list versions.
	fakeSink struct {
		mu        sync.Mutex
		revisions []uint64
		lists     []uint64
		// newest is the newest instance list.
		newest kernel.Instances
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
		v, changed, fail, stuck := f.values[key], f.changed, f.fail, f.watchStuck
		f.mu.Unlock()
		if fail != nil {
			return platform.Value{}, false, fail
		}
		if v.Version > after && !stuck {
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
		s.lists, s.newest = append(s.lists, ev.Version), ev
	}
}

func (s *fakeSink) newestList() kernel.Instances {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
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

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// runReader runs a test in virtual time with a reader on a fake platform.
func runReader(t *testing.T, c platform.ReaderConfig, test func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f, s := newFakePlatform(), &fakeSink{}
		c.Source, c.Sink, c.Log, c.Rand = f, s, discardLog(), seeded(0)
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

func TestReaderAppliesOnlyAcceptedRevisions(t *testing.T) {
	runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.propose(t, sample(1, 3))
		time.Sleep(time.Minute)
		requireRevisions(t, s)
		f.accept(t, sample(1, 3))
		time.Sleep(applyTimeout)
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
			runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
				f.accept(t, sample(5, 3))
				time.Sleep(applyTimeout)
				f.set(platform.KeyAccepted, c.record(f.propose(t, sample(6, 3))))
				time.Sleep(time.Minute)
				requireRevisions(t, s, 5)
				require.NotEmpty(t, status(r, platform.KeyAccepted).Refused)
				f.accept(t, sample(7, 3))
				time.Sleep(applyTimeout)
				requireRevisions(t, s, 5, 7)
				require.Empty(t, status(r, platform.KeyAccepted).Refused)
			})
		})
	}
}

func TestReaderNeverRevertsRevision(t *testing.T) {
	// Guards against changed settings that revert and reappear when the
	// platform's replicas return old and new records in turn.
	runReader(t, platform.ReaderConfig{Poll: time.Second}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.accept(t, sample(5, 3))
		old := f.values[platform.KeyAccepted]
		f.accept(t, sample(6, 3))
		time.Sleep(applyTimeout)
		newest := f.values[platform.KeyAccepted]
		for i := range uint64(20) {
			f.put(platform.KeyAccepted, []platform.Value{old, newest, {Version: newest.Version + i, Data: old.Data}}[i%3])
			time.Sleep(applyTimeout)
		}
		revisions, _ := s.got()
		require.Equal(t, uint64(6), revisions[len(revisions)-1])
		for i := 1; i < len(revisions); i++ {
			require.Greater(t, revisions[i], revisions[i-1])
		}
		f.put(platform.KeyAccepted, platform.Value{Version: 1, Data: old.Data})
		time.Sleep(applyTimeout)
		require.True(t, status(r, platform.KeyAccepted).Behind)
	})
}

func TestReaderKeepsTheNewestList(t *testing.T) {
	runReader(t, platform.ReaderConfig{Poll: time.Second}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		list := []byte(`[{"name":"n1","kind":"node","zone":"a","addr":"127.0.0.1:1","peer":"127.0.0.1:2"}]`)
		for _, version := range []uint64{3, 2, 4, 3, 4, 1, 5} {
			f.put(platform.KeyInstances, platform.Value{Version: version, Data: list})
			time.Sleep(applyTimeout)
		}
		for i, bad := range [][]byte{list[:len(list)/2], []byte("[{}]"), []byte("null and more"), {}} {
			f.put(platform.KeyInstances, platform.Value{Version: uint64(6 + i), Data: bad})
			time.Sleep(applyTimeout)
		}
		_, lists := s.got()
		require.Equal(t, []uint64{3, 4, 5}, lists)
	})
}

func TestReaderKeepsListWhilePlatformIsStale(t *testing.T) {
	// Guards against an old list that removes endpoints that joined and brings
	// back those that left.
	runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.put(platform.KeyInstances, platform.Value{Version: 9, Data: []byte(`[]`)})
		time.Sleep(applyTimeout)
		f.put(platform.KeyInstances, platform.Value{Version: 7, Data: []byte(`[]`)})
		time.Sleep(time.Hour)
		_, lists := s.got()
		require.Equal(t, []uint64{9}, lists)
		require.Equal(t, uint64(9), status(r, platform.KeyInstances).Version)
		require.True(t, status(r, platform.KeyInstances).Behind)
		f.put(platform.KeyInstances, platform.Value{Version: 10, Data: []byte(`[]`)})
		time.Sleep(applyTimeout)
		_, lists = s.got()
		require.Equal(t, []uint64{9, 10}, lists)
	})
}

func TestReaderTakesTheListFromPeersAtTheStart(t *testing.T) {
	list := []kernel.Instance{{Name: "n1", Kind: kernel.KindNode, Addr: netip.MustParseAddrPort("127.0.0.1:1")}}
	encoded, err := platform.EncodeList(kernel.Instances{Version: 5, List: list})
	require.NoError(t, err)
	down, broken, peer := newFakePlatform(), newFakePlatform(), newFakePlatform()
	down.fail = platform.ErrUnavailable
	broken.set(platform.KeyInstances, encoded[:len(encoded)/2])
	peer.set(platform.KeyInstances, encoded)
	c := platform.ReaderConfig{Join: []platform.Getter{down, broken, peer}}
	runReader(t, c, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.change(func() { f.fail = platform.ErrUnavailable })
		time.Sleep(time.Minute)
		_, lists := s.got()
		require.Equal(t, []uint64{5}, lists)
		f.change(func() { f.fail = nil })
		f.put(platform.KeyInstances, platform.Value{Version: 4, Data: []byte(`[]`)})
		time.Sleep(applyTimeout)
		f.put(platform.KeyInstances, platform.Value{Version: 6, Data: []byte(`[]`)})
		time.Sleep(applyTimeout)
		_, lists = s.got()
		require.Equal(t, []uint64{5, 6}, lists)
	})
	// No peer is asked while the platform answers.
	before, _ := peer.cost()
	runReader(t, c, func(_ *testing.T, f *fakePlatform, _ *fakeSink, _ *platform.Reader) {
		f.set(platform.KeyInstances, []byte(`[]`))
		time.Sleep(time.Minute)
	})
	after, _ := peer.cost()
	require.Equal(t, before, after)
}

func TestNonWatcherRereadsOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reread := make(chan struct{}, 1)
		f, s := newFakePlatform(), &fakeSink{}
		r := platform.NewReader(platform.ReaderConfig{
			Source: f, Sink: s, Log: discardLog(), Cache: newCache(), Reread: reread, Rand: seeded(0),
			Role: func() platform.Role { return platform.Role{} },
		})
		defer r.Close()
		f.accept(t, sample(1, 3))
		time.Sleep(applyTimeout)
		f.accept(t, sample(2, 3))
		reread <- struct{}{}
		time.Sleep(time.Second)
		requireRevisions(t, s, 1, 2)
	})
}

func TestReaderWaitsForCompleteSections(t *testing.T) {
	// Guards against a node that runs with new services and old accounts because
	// a record was published before all of its sections were complete.
	runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.accept(t, sample(1, 100))
		time.Sleep(startTimeout)
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

func TestReaderRecoversFromPlatformOutage(t *testing.T) {
	runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		f.accept(t, sample(1, 3))
		time.Sleep(applyTimeout)
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
		time.Sleep(applyTimeout)
		requireRevisions(t, s, 1, 2)
		require.Zero(t, status(r, platform.KeyAccepted).Failures)
	})
}

func TestReaderFindsChangesMissedByWatch(t *testing.T) {
	// Guards against a node that never sees a change because the platform lost
	// its watch.
	runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.accept(t, sample(1, 3))
		time.Sleep(applyTimeout)
		f.change(func() { f.watchStuck = true })
		f.accept(t, sample(2, 3))
		time.Sleep(2 * platform.DefaultPoll)
		requireRevisions(t, s, 1, 2)
	})
}

func TestNonWatcherReadsRarely(t *testing.T) {
	role := platform.Role{}
	var mu sync.Mutex
	c := platform.ReaderConfig{Role: func() platform.Role {
		mu.Lock()
		defer mu.Unlock()
		return role
	}}
	runReader(t, c, func(t *testing.T, f *fakePlatform, s *fakeSink, r *platform.Reader) {
		list := []byte(`[]`)
		f.set(platform.KeyInstances, list)
		f.accept(t, sample(1, 3))
		time.Sleep(applyTimeout)
		requireRevisions(t, s, 1)
		before, _ := f.cost()
		time.Sleep(time.Hour)
		after, _ := f.cost()
		require.Less(t, after-before, 200, "reads an hour")
		f.set(platform.KeyInstances, list)
		mu.Lock()
		role.Reported = 2
		mu.Unlock()
		time.Sleep(applyTimeout)
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

func TestReaderPrefersPeersForManyValues(t *testing.T) {
	// Guards against a platform that refuses all readers after a region's restart,
	// because every node reads every section.
	cache := newCache()
	runReader(t, platform.ReaderConfig{Cache: cache}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		peer := newFakePlatform()
		peer.accept(t, sample(1, 1600))
		f.accept(t, sample(1, 1600))
		time.Sleep(100 * time.Millisecond)
		m, err := cache.Fetch(t.Context(), peer)
		require.NoError(t, err)
		require.Equal(t, uint64(1), m.Revision)
		time.Sleep(applyTimeout)
		reads, _ := f.cost()
		require.Less(t, reads, 10)
		requireRevisions(t, s)
	})
	runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
		f.accept(t, sample(1, 1600))
		time.Sleep(startTimeout)
		requireRevisions(t, s, 1)
		// Every shard of accounts changes; a running node waits less than a
		// starting one.
		f.accept(t, sample(2, 1600))
		time.Sleep(applyTimeout)
		requireRevisions(t, s, 1, 2)
	})
}

func TestSlowSectionsDoNotBlockPeerDelivery(t *testing.T) {
	// Guards against a change that is late on one node although its peers have it,
	// because the node is blocked on a slow read from the platform.
	cache := newCache()
	runReader(t, platform.ReaderConfig{Cache: cache}, func(t *testing.T, f *fakePlatform, _ *fakeSink, _ *platform.Reader) {
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
		runReader(t, platform.ReaderConfig{}, func(t *testing.T, f *fakePlatform, s *fakeSink, _ *platform.Reader) {
			m := sample(1, accounts)
			f.accept(t, m)
			time.Sleep(startTimeout - platform.DefaultWait/2)
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

// BenchmarkCacheMemory reports the memory that a node uses for the
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
