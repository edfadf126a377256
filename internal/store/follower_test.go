package store_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/store"
)

type (
	// fakeStore is a store in virtual time.
	fakeStore struct {
		mu sync.Mutex
		// deaf watches return no changes that are made while they wait.
		deaf bool
		// An unresponsive store answers no calls, a hung one no watches.
		unresponsive bool
		hung         bool
		err          error
		epoch        uint64
		revision     uint64
		// oldest is the oldest revision that can be watched from.
		oldest uint64
		items  []deployment.Item
		calls  int
	}

	sink struct {
		mu        sync.Mutex
		updates   []deployment.Update
		confirmed int
		access    deployment.Access
	}
)

func (f *fakeStore) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

func always() bool { return true }

func never() bool { return false }

var errDown = errors.New("down")

func (f *fakeStore) Range(ctx context.Context, _ string) (store.Page, error) {
	if f.silent() {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return store.Page{Items: f.items, Position: f.at()}, f.err
}

func (f *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (store.Page, error) {
	end := time.Now().Add(wait)
	f.mu.Lock()
	f.calls++
	deaf := f.deaf
	f.mu.Unlock()
	for first := true; ; first = false {
		if f.silent() || f.hangs() {
			<-ctx.Done()
			return store.Page{}, ctx.Err()
		}
		page, err := f.changes(after, deaf && !first)
		if err != nil || len(page.Items) > 0 || !time.Now().Before(end) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return store.Page{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// at returns the store's position; the mutex must be held.
func (f *fakeStore) at() deployment.Position {
	return deployment.Position{Epoch: f.epoch, Revision: f.revision}
}

func (f *fakeStore) silent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unresponsive
}

func (f *fakeStore) hangs() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hung
}

func (f *fakeStore) changes(after uint64, deaf bool) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return store.Page{}, f.err
	}
	if (after < f.oldest || after > f.revision) && !deaf {
		return store.Page{Position: deployment.Position{Epoch: f.epoch}}, store.ErrCompacted
	}
	page := store.Page{Position: f.at()}
	for _, i := range f.items {
		if i.Revision > after && !deaf {
			page.Items = append(page.Items, i)
		}
	}
	return page, nil
}

func (f *fakeStore) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (s *sink) Apply(_ context.Context, u deployment.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, u)
}

func (s *sink) SetAccess(a deployment.Access) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.access = a
	if a == deployment.Reading {
		s.confirmed++
	}
}

func (s *sink) Snapshot() *deployment.Snapshot {
	return &deployment.Snapshot{Position: s.last().Position}
}

func (s *sink) confirmations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// fullReads returns how many updates were full reads.
func (s *sink) fullReads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, u := range s.updates {
		if u.Whole {
			n++
		}
	}
	return n
}

func (s *sink) last() deployment.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.updates) == 0 {
		return deployment.Update{}
	}
	return s.updates[len(s.updates)-1]
}

// Guards against a node that answers 404 for a route added five seconds ago, as its
// watch missed the change: watches must end and be renewed.
func TestWatchWithoutChangesIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{revision: 10, deaf: true}
		s := &sink{}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
		defer follower.Close()
		time.Sleep(time.Second)
		f.set(func() {
			f.revision, f.oldest = 11, 11
			f.items = []deployment.Item{{Key: "a", Revision: 11}}
		})
		time.Sleep(3 * time.Second)
		require.Equal(t, uint64(11), s.last().Revision)
	})
}

// Guards against a fleet that reads the whole store once per node: a node that is no
// reader makes no call, not even while it knows nothing, until it is asked to.
func TestNonReadersReadOnlyWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{revision: 10}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: &sink{}, Reads: never})
		defer follower.Close()
		time.Sleep(time.Minute)
		require.Zero(t, f.count())
		for reads := 1; reads <= 2; reads++ {
			follower.Reread()
			time.Sleep(time.Second)
			require.Equal(t, reads, f.count())
		}
	})
}

// Guards against a node that knows no endpoint for seconds after a store outage, in
// which entries lapse: the next full read must say that there was one.
func TestReadAfterOutageIsFlagged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{revision: 10}
		s := &sink{}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
		defer follower.Close()
		time.Sleep(time.Second)
		require.False(t, s.last().AfterOutage)
		f.set(func() { f.err = errDown })
		time.Sleep(5 * time.Second)
		f.set(func() { f.err = nil })
		time.Sleep(2 * time.Second)
		found := false
		follower.Close()
		for _, u := range s.updates {
			found = found || (u.AfterOutage && u.Whole)
		}
		require.True(t, found)
	})
}

// Guards against a node that follows the store again only three seconds after an
// outage in which calls went unanswered, while its peers do at once.
func TestFollowerRecoversAfterSilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &silentStore{}
		s := &sink{}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
		defer follower.Close()
		time.Sleep(time.Second)
		f.silent.Store(true)
		time.Sleep(60 * time.Second)
		f.silent.Store(false)
		before := s.confirmations()
		time.Sleep(3 * time.Second)
		require.Greater(t, s.confirmations(), before)
	})
}

// silentStore answers nothing while it is silent: calls made then hang until they
// are canceled.
type silentStore struct{ silent atomic.Bool }

func (f *silentStore) Range(ctx context.Context, _ string) (store.Page, error) {
	return f.answer(ctx, 0)
}

func (f *silentStore) Watch(ctx context.Context, _ uint64, wait time.Duration) (store.Page, error) {
	return f.answer(ctx, wait)
}

func (f *silentStore) answer(ctx context.Context, wait time.Duration) (store.Page, error) {
	time.Sleep(wait)
	if f.silent.Load() {
		<-ctx.Done()
		return store.Page{}, ctx.Err()
	}
	return store.Page{Position: deployment.Position{Revision: 1}}, nil
}

// Guards against a request to an endpoint 2.15 s after its leave was accepted,
// where 2 s are allowed: a hung watch must fail early enough for another node to
// read.
func TestHungWatchIsDetectedWithinBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			source, s := &fakeStore{revision: 1, items: []deployment.Item{{Key: "a", Revision: 1}}}, &sink{}
			f := store.NewFollower(store.FollowerConfig{Source: source, Sink: s, Reads: always, Bound: bound})
			defer f.Close()
			time.Sleep(time.Second)
			source.set(func() { source.unresponsive = true })
			// A fifth of the bound is left for another node to read and propagate.
			time.Sleep(bound * 4 / 5)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Equal(t, deployment.Failing, s.access, bound)
		})
	}
}

// Guards against all nodes serving an old configuration for five seconds though the
// store answers reads: one after the other stops reading after its watch hangs.
func TestNodeReadsOnceMoreAfterHungWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 2 * time.Second
		source, s := &fakeStore{revision: 1, items: []deployment.Item{{Key: "a", Revision: 1}}}, &sink{}
		able := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.access != deployment.Failing
		}
		f := store.NewFollower(store.FollowerConfig{Source: source, Sink: s, Reads: able, Bound: bound})
		defer f.Close()
		time.Sleep(time.Second)
		source.set(func() {
			source.hung, source.revision = true, 2
			source.items = []deployment.Item{{Key: "a", Revision: 2}}
		})
		time.Sleep(bound)
		require.Equal(t, uint64(2), s.last().Revision)
	})
}

// Guards against a reader that keeps its state though other nodes have a different
// one.
func TestReadForcesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, s := &fakeStore{revision: 1}, &sink{}
		f := store.NewFollower(store.FollowerConfig{Source: source, Sink: s, Reads: always})
		defer f.Close()
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.fullReads())
		f.Reread()
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, s.fullReads())
	})
}
