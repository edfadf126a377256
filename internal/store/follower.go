// Package store follows the platform's store: it reads everything once, then
// watches for changes, and begins anew where the store has lost its history.
package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// watchSoon is how long the store may hold the watch of a node open that
	// must notice missed changes: a watch may never be told of them, and
	// nothing shows it but its end. The installations allow three seconds.
	// Each watch that ends is a call that is paid for.
	watchSoon = 2 * time.Second
	// watchLong is the same for the other nodes, which are told by their peers.
	watchLong = 20 * time.Second
	// watchJitter is the part of the wait that is drawn, so that the nodes'
	// watches do not end together.
	watchJitter = 0.2
	// watchSlack is how long after its wait a watch may still be answered.
	watchSlack = time.Second
	// readTimeout bounds a read. The store answers within 4 ms, and 60 times
	// slower on a bad day.
	readTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failure; all nodes ask
	// again within two seconds of the store's return, without a stampede.
	retryMin = 150 * time.Millisecond
	retryMax = 1200 * time.Millisecond
	// refusals is after how many failures in a row the store counts as lost.
	refusals = 2
)

// ErrCompacted is returned by a Source that no longer has the history asked for.
var ErrCompacted = errors.New("store: history is gone")

type (
	// Source reads the store. Its errors are those of the network, statuses
	// other than success, and ErrCompacted.
	Source interface {
		// Range returns one page of all items, from the one after a key on.
		Range(ctx context.Context, after string) (Page, error)
		// Watch returns the changes after a revision as soon as there is one,
		// or none after the wait.
		Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	}

	// Page is an answer of the store.
	Page struct {
		Items []deployment.Item
		// More says that another page follows after the last item.
		More bool
		// Revision is the store's revision of the answer.
		Revision uint64
	}

	// Sink takes what was read.
	Sink interface {
		Apply(ctx context.Context, u deployment.Update)
		// Touched notes that the store has answered, and Missed that it has not.
		Touched()
		Missed()
	}

	// FollowerConfig is the settings of a Follower.
	FollowerConfig struct {
		Source Source
		Sink   Sink
		// Eager reports whether this node is one of the few that notice
		// missed changes soon, and tell the others.
		Eager func() bool
		Log   *decision.Log
	}

	// Follower keeps a Sink up to date with the store.
	Follower struct {
		config  FollowerConfig
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// cursor is what the follower's goroutine knows.
	cursor struct {
		revision uint64
		fresh    bool
		failures int
		lost     bool
	}
)

// NewFollower starts to follow.
func NewFollower(c FollowerConfig) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{config: c, cancel: cancel}
	f.running.Go(func() {
		cur := &cursor{}
		for ctx.Err() == nil {
			err := f.step(ctx, cur)
			if err != nil && ctx.Err() == nil {
				f.failed(ctx, cur, err)
			}
		}
	})
	return f
}

// Close stops the follower.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}

func (f *Follower) step(ctx context.Context, cur *cursor) error {
	if !cur.fresh {
		return f.read(ctx, cur)
	}
	wait := f.wait()
	limited, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	page, err := f.config.Source.Watch(limited, cur.revision, wait)
	if errors.Is(err, ErrCompacted) {
		f.config.Log.Event("store.compacted", decision.Fields{"revision": cur.revision})
		cur.fresh = false
		return nil
	}
	if err != nil {
		return err
	}
	f.regained(cur)
	f.config.Sink.Apply(ctx, deployment.Update{Items: page.Items, Revision: page.Revision, Source: deployment.SourceStore})
	cur.revision = max(cur.revision, page.Revision)
	return nil
}

// wait is how long the next watch is held open.
func (f *Follower) wait() time.Duration {
	wait := watchLong
	if f.config.Eager() {
		wait = watchSoon
	}
	return wait - time.Duration(rand.Float64()*watchJitter*float64(wait))
}

// read takes everything, page by page. The pages are no snapshot; the watch
// goes on from the first page's revision, so that nothing between is missed.
func (f *Follower) read(ctx context.Context, cur *cursor) error {
	var all []deployment.Item
	var revision uint64
	after := ""
	for {
		page, err := f.page(ctx, after)
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	failed := cur.failures > 0
	f.regained(cur)
	f.config.Sink.Apply(ctx, deployment.Update{Items: all, Revision: revision, Whole: true, Regained: failed, Source: deployment.SourceStore})
	cur.revision, cur.fresh = revision, true
	return nil
}

func (f *Follower) page(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.config.Source.Range(ctx, after)
}

func (f *Follower) regained(cur *cursor) {
	f.config.Sink.Touched()
	if cur.lost {
		f.config.Log.Event("store.regained", decision.Fields{"failures": cur.failures, "revision": cur.revision})
	}
	cur.failures, cur.lost = 0, false
}

// failed waits before the next try, which reads everything anew: entries may
// have lapsed meanwhile, and a reading fails within its short timeout where a
// watch of a silent store would hang for seconds after the store's return.
func (f *Follower) failed(ctx context.Context, cur *cursor, err error) {
	cur.failures++
	cur.fresh = false
	f.config.Sink.Missed()
	if cur.failures >= refusals && !cur.lost {
		cur.lost = true
		f.config.Log.Event("store.lost", decision.Fields{"error": err.Error(), "revision": cur.revision})
	}
	pause := min(retryMin<<min(cur.failures-1, 3), retryMax)
	pause = pause/2 + rand.N(pause/2)
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}
