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
		// deaf watches are never told of changes.
		deaf bool
		// mute calls are not answered at all, and hung watches neither.
		mute     bool
		hung     bool
		err      error
		epoch    uint64
		revision uint64
		// oldest is the oldest revision that can be watched from.
		oldest uint64
		items  []deployment.Item
		calls  int
	}

	sink struct {
		mu      sync.Mutex
		updates []deployment.Update
		touched int
		access  deployment.Access
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

// at is the store's position; the mutex must be held.
func (f *fakeStore) at() deployment.Position {
	return deployment.Position{Epoch: f.epoch, Revision: f.revision}
}

func (f *fakeStore) silent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mute
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
		s.touched++
	}
}

func (s *sink) Snapshot() *deployment.Snapshot {
	return &deployment.Snapshot{Position: s.last().Position}
}

func (s *sink) answered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.touched
}

// readings returns how many updates said that they were everything.
func (s *sink) readings() int {
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

// Guards against this failure: a node answers 404 for a route that was added five seconds ago.
func TestWatchThatHearsNothingIsAskedAnewWithinSeconds(t *testing.T) {
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

// Most nodes read once, and are then told by the few that go on; a node that
// cannot be told reads for itself.
func TestOtherNodesRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{revision: 10}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: &sink{}, Reads: never})
		defer follower.Close()
		time.Sleep(time.Minute)
		require.Equal(t, 1, f.count())
		follower.Read()
		time.Sleep(time.Second)
		require.Equal(t, 2, f.count())
	})
}

// Guards against this failure: no endpoint is known for seconds after an outage of the store.
func TestReadingAfterAnOutageSaysSo(t *testing.T) {
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

// Guards against this failure: a node follows the store again only three seconds after the
// store's return from a silent outage, while its peers do at once.
func TestSilentStoreIsFoundBackSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &silentStore{}
		s := &sink{}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
		defer follower.Close()
		time.Sleep(time.Second)
		f.silent.Store(true)
		time.Sleep(60 * time.Second)
		f.silent.Store(false)
		before := s.answered()
		time.Sleep(3 * time.Second)
		require.Greater(t, s.answered(), before)
	})
}

// silentStore answers nothing while it is silent: calls made then hang for good.
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

// Guards against this failure: a request reaches an endpoint 2.15 s after its leave was
// accepted, where 2 s are allowed.
func TestSilentWatchIsNoticedWithinTheBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			source, s := &fakeStore{revision: 1, items: []deployment.Item{{Key: "a", Revision: 1}}}, &sink{}
			f := store.NewFollower(store.FollowerConfig{Source: source, Sink: s, Reads: always, Bound: bound})
			defer f.Close()
			time.Sleep(time.Second)
			source.set(func() { source.mute = true })
			// A fifth of the bound is left for another node to read and tell.
			time.Sleep(bound * 4 / 5)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Equal(t, deployment.Failing, s.access, bound)
		})
	}
}

// Guards against this failure: all nodes serve an old configuration for five seconds, and the
// store answers.
func TestNodeWhoseWatchHangsReadsBeforeItRests(t *testing.T) {
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

// Guards against this failure: a node that reads the store goes on with what it knows, though
// others know something else.
func TestNodeThatFollowsReadsAnewWhenTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, s := &fakeStore{revision: 1}, &sink{}
		f := store.NewFollower(store.FollowerConfig{Source: source, Sink: s, Reads: always})
		defer f.Close()
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.readings())
		f.Read()
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, s.readings())
	})
}
