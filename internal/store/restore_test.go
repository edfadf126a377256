package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/store"
)

// pages answers Range with its pages, one after the other, and never answers Watch.
type pages struct {
	list  []store.Page
	calls int
}

// Range implements store.Source.
func (p *pages) Range(context.Context, string) (store.Page, error) {
	page := p.list[min(p.calls, len(p.list)-1)]
	p.calls++
	return page, nil
}

// Watch implements store.Source.
func (*pages) Watch(ctx context.Context, _ uint64, _ time.Duration) (store.Page, error) {
	<-ctx.Done()
	return store.Page{}, ctx.Err()
}

func in(epoch, revision uint64) deployment.Position {
	return deployment.Position{Epoch: epoch, Revision: revision}
}

// Guards against missing changes of a restored store, since their revisions are at
// or below the one that is watched from.
func TestRestoredStoreIsReread(t *testing.T) {
	cases := []struct {
		name string
		// revision is the store's after the restore; the follower knows 10.
		revision uint64
	}{
		{name: "it lacks the revision watched from", revision: 7},
		{name: "it has reused that revision", revision: 10},
		{name: "its revision is higher", revision: 14},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeStore{epoch: 1, revision: 10, items: []deployment.Item{{Key: "a", Revision: 10}}}
				s := &sink{}
				follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
				defer follower.Close()
				time.Sleep(time.Second)
				f.set(func() {
					f.epoch, f.revision = 2, c.revision
					f.items = []deployment.Item{{Key: "b", Revision: 6}}
				})
				time.Sleep(2 * time.Second)
				require.Equal(t, deployment.Update{
					Items: []deployment.Item{{Key: "b", Revision: 6}}, Position: in(2, c.revision), Whole: true, Source: deployment.SourceStore,
				}, s.lastFullRead())
				require.Less(t, f.count(), 12)
			})
		})
	}
}

// lastFullRead returns the newest full read.
func (s *sink) lastFullRead() deployment.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.updates) - 1; i >= 0; i-- {
		if s.updates[i].Whole {
			return s.updates[i]
		}
	}
	return deployment.Update{}
}

// Guards against a full read that merges items from before a restore with those
// from after it.
func TestPagesOfTwoEpochsAreNotMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		page := func(epoch, revision uint64, more bool, key string) store.Page {
			return store.Page{Items: []deployment.Item{{Key: key, Revision: 1}}, Position: in(epoch, revision), More: more}
		}
		source, s := &pages{list: []store.Page{
			page(1, 9, true, "a"), page(2, 5, false, "lost"), page(2, 5, true, "a"), page(2, 6, false, "b"),
		}}, &sink{}
		f := store.NewFollower(store.FollowerConfig{Source: source, Sink: s, Reads: always})
		defer f.Close()
		time.Sleep(time.Second)
		require.Equal(t, deployment.Update{
			Items: []deployment.Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 1}}, Position: in(2, 5), Whole: true, Source: deployment.SourceStore,
		}, s.lastFullRead())
	})
}

// Guards against a follower that watches the old epoch from a revision of the new
// one, which a peer reported.
func TestEpochReportedByPeerIsWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{epoch: 1, revision: 10}
		s := &sink{}
		follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
		defer follower.Close()
		time.Sleep(time.Second)
		f.set(func() {
			f.epoch, f.revision = 2, 8
			f.items = []deployment.Item{{Key: "told", Revision: 7}, {Key: "next", Revision: 8}}
		})
		s.Apply(t.Context(), deployment.Update{Position: in(2, 7), Whole: true, Source: "peer"})
		time.Sleep(3 * time.Second)
		require.Equal(t, in(2, 8), s.newest())
	})
}

// newest returns the newest position of all updates.
func (s *sink) newest() (newest deployment.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.updates {
		newest = deployment.Later(newest, u.Position)
	}
	return newest
}

// Guards against dozens of calls a second to a store that refuses all watches, or
// answers from an earlier epoch.
func TestStoreWithoutHistoryIsCalledWithBackoff(t *testing.T) {
	cases := []struct {
		name string
		set  func(f *fakeStore, s *sink)
	}{
		{name: "no watch has its history", set: func(f *fakeStore, _ *sink) { f.oldest = 1000 }},
		{name: "the store's epoch is older than a peer's", set: func(_ *fakeStore, s *sink) {
			s.Apply(context.Background(), deployment.Update{Position: in(2, 1), Whole: true, Source: "peer"})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := &fakeStore{epoch: 1, revision: 10}, &sink{}
				c.set(f, s)
				follower := store.NewFollower(store.FollowerConfig{Source: f, Sink: s, Reads: always})
				defer follower.Close()
				time.Sleep(10 * time.Second)
				require.Less(t, f.count(), 40)
				require.Greater(t, f.count(), 5)
			})
		})
	}
}
