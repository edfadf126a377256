// Package store follows the platform's store: it reads everything once, then
// watches for changes, and starts over if the store has lost its history.
package store

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// defaultBound is the time within which a change must be in force if the
	// configuration does not say.
	defaultBound = 2 * time.Second
	// watchShare is the part of the bound for which the store may hold a watch
	// open, and slackShare the part by which its answer may be late: a store that
	// is ninety times slower than usual takes 0.4 s.
	watchShare = 0.5
	slackShare = 0.25
	// watchJitter is the random part of the wait, so that the nodes' watches do not
	// end together.
	watchJitter = 0.2
	// watchPause is how long a node waits after a change before it watches again:
	// changes often come in bursts, and one watch then returns several.
	watchPause = 250 * time.Millisecond
	// readTimeout bounds a read. The store answers within 4 ms, and 60 times slower
	// in bad cases.
	readTimeout = 1500 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failure: all nodes retry within
	// two seconds of the store's return, but not all at once.
	minRetry = 150 * time.Millisecond
	maxRetry = 1200 * time.Millisecond
	// lostAfter is how many failures in a row make the store count as lost.
	lostAfter = 2
	// roleCheck is how often a node that does not read checks whether it should.
	roleCheck = 100 * time.Millisecond
	// failHold is how long a node that has stopped reading after a failure reports
	// so, and leaves the reading to others.
	failHold = 5 * time.Second
)

var (
	// ErrCompacted is returned by a Source that no longer has the requested
	// history.
	ErrCompacted = errors.New("store: history is gone")
	// ErrOutdated is returned if the store answers from an earlier epoch than the
	// known one.
	ErrOutdated = errors.New("store: outdated answer")
)

type (
	// Source reads the store. Its errors are those of the network, statuses
	// other than success, and ErrCompacted.
	Source interface {
		// Range returns one page of all items, starting after a key.
		Range(ctx context.Context, after string) (Page, error)
		// Watch returns the changes after a revision as soon as there are any, or
		// none after the wait.
		Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	}

	// Page is an answer of the store.
	Page struct {
		Items []deployment.Item
		// More says that another page follows after the last item.
		More bool
		// Position is the store's at the answer. With ErrCompacted, only its epoch
		// is set.
		deployment.Position
	}

	// Sink receives what was read.
	Sink interface {
		Apply(ctx context.Context, u deployment.Update)
		// SetAccess records how the last call ended, or that none is made.
		SetAccess(a deployment.Access)
		// Snapshot returns the known state.
		Snapshot() *deployment.Snapshot
	}

	// FollowerConfig is the settings of a Follower.
	FollowerConfig struct {
		Source Source
		Sink   Sink
		// Reads reports whether this node is one of the few that read the store and
		// propagate its changes to the others.
		Reads func() bool
		// Bound is the time within which a change must be in force, 0 for two
		// seconds.
		Bound time.Duration
		// Metrics counts calls; it may be nil.
		Metrics *Metrics
		Log     *decision.Log
	}

	// Follower keeps a Sink up to date with the store, as long as this node is
	// one of those that read it.
	Follower struct {
		config  FollowerConfig
		wake    chan struct{}
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// cursor is the state of the follower's goroutine.
	cursor struct {
		// position is that of the last answer that was applied, and epoch that of
		// the last answer.
		position deployment.Position
		epoch    uint64
		fresh    bool
		// compacted is how many watches in a row had no history.
		compacted int
		failures  int
		lost      bool
		failed    time.Time
	}
)

// NewFollower starts a Follower.
func NewFollower(c FollowerConfig) *Follower {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{config: c, wake: make(chan struct{}, 1), cancel: cancel}
	f.running.Go(func() {
		cur := &cursor{}
		for ctx.Err() == nil {
			if f.waitUnlessReader(ctx, cur) {
				continue
			}
			err := f.step(ctx, cur)
			if err != nil && ctx.Err() == nil {
				f.failed(ctx, cur, err)
			}
		}
	})
	return f
}

// Reread makes the node read the whole store once, also if others read it for this
// node.
func (f *Follower) Reread() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Close stops the follower.
func (f *Follower) Close() {
	f.cancel()
	f.running.Wait()
}

// waitUnlessReader waits for roleCheck if others read the store for this node, and
// reports whether it did.
//
// A node that has failed once goes on reading: watches may hang while the store answers reads.
// If it stopped reading then, the next readers would fail in the same way, and all
// of them would serve an old configuration while no node reads.
func (f *Follower) waitUnlessReader(ctx context.Context, cur *cursor) bool {
	if f.config.Reads() || cur.failures == 1 {
		return false
	}
	if time.Since(cur.failed) > failHold {
		f.config.Sink.SetAccess(deployment.NotReading)
		cur.failures = 0
	}
	select {
	case <-f.wake:
		cur.fresh = false
		return false
	case <-time.After(roleCheck):
	case <-ctx.Done():
	}
	return true
}

func (f *Follower) step(ctx context.Context, cur *cursor) error {
	select {
	case <-f.wake:
		cur.fresh = false
	default:
	}
	if !cur.fresh {
		return f.read(ctx, cur)
	}
	cur.position = deployment.Later(cur.position, f.config.Sink.Snapshot().Position)
	wait := f.watchTime()
	limited, cancel := context.WithTimeout(ctx, wait+f.shareOfBound(slackShare))
	defer cancel()
	page, err := f.config.Source.Watch(limited, cur.position.Revision, wait)
	f.config.Metrics.watches.count(err)
	if err != nil && !errors.Is(err, ErrCompacted) {
		return err
	}
	f.noteEpoch(cur, page)
	if err != nil || page.Epoch != cur.position.Epoch {
		f.restart(ctx, cur, page)
		return nil
	}
	cur.compacted = 0
	f.regained(cur)
	f.config.Sink.Apply(ctx, deployment.Update{Items: page.Items, Position: page.Position, Source: deployment.SourceStore})
	cur.position = deployment.Later(cur.position, page.Position)
	if len(page.Items) > 0 {
		pause(ctx, watchPause)
	}
	return nil
}

// restart makes the next call a full read: the store has lost its history, or was
// restored from a copy, after which revisions name other changes.
//
// A store that discards its history again and again is read with pauses in between.
func (f *Follower) restart(ctx context.Context, cur *cursor, page Page) {
	f.config.Log.Event("store.compacted", decision.Fields{"epoch": cur.position.Epoch, "revision": cur.position.Revision, "answered": page.Epoch})
	cur.fresh = false
	if cur.compacted > 0 {
		pause(ctx, backoff(cur.compacted))
	}
	cur.compacted++
}

// watchTime draws how long the store may hold the next watch open.
//
// A watch may miss all changes, and only its end shows that. If the store stops
// answering the few nodes that read it, and none of the others, no node would learn
// of changes. The readers must notice soon enough for another node to read and to
// send the changes to the rest.
func (f *Follower) watchTime() time.Duration {
	wait := f.shareOfBound(watchShare)
	return wait - time.Duration(rand.Float64()*watchJitter*float64(wait))
}

// shareOfBound returns a part of the bound.
func (f *Follower) shareOfBound(share float64) time.Duration {
	return time.Duration(share * float64(cmp.Or(f.config.Bound, defaultBound)))
}

// read reads everything, page by page. The pages are no snapshot; the watch
// continues from the first page's revision, so that no change in between is missed.
func (f *Follower) read(ctx context.Context, cur *cursor) error {
	var all []deployment.Item
	var at deployment.Position
	after := ""
	for {
		page, err := f.page(ctx, after)
		f.config.Metrics.reads.count(err)
		if err != nil {
			return err
		}
		f.noteEpoch(cur, page)
		if after == "" {
			at = page.Position
		}
		if page.Epoch != at.Epoch {
			// The store was restored between two pages.
			return nil
		}
		all = append(all, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	if known := f.config.Sink.Snapshot(); at.Epoch < known.Epoch {
		return fmt.Errorf("%w: epoch %d, known %d", ErrOutdated, at.Epoch, known.Epoch)
	}
	failed := cur.failures > 0
	f.regained(cur)
	f.config.Sink.Apply(ctx, deployment.Update{Items: all, Position: at, Whole: true, AfterOutage: failed, Source: deployment.SourceStore})
	cur.position, cur.fresh = at, true
	return nil
}

func (f *Follower) page(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.config.Source.Range(ctx, after)
}

// noteEpoch logs that the store was restored from a copy since its last answer.
func (f *Follower) noteEpoch(cur *cursor, page Page) {
	if page.Epoch == cur.epoch {
		return
	}
	f.config.Metrics.epoch.Set(float64(page.Epoch))
	f.config.Log.Event("store.epoch", decision.Fields{"epoch": page.Epoch, "before": cur.epoch, "revision": page.Revision, "known": cur.position.Revision})
	cur.epoch = page.Epoch
}

func (f *Follower) regained(cur *cursor) {
	f.config.Sink.SetAccess(deployment.Reading)
	if cur.lost {
		f.config.Log.Event("store.regained", decision.Fields{"failures": cur.failures, "epoch": cur.position.Epoch, "revision": cur.position.Revision})
	}
	cur.failures, cur.lost = 0, false
}

// failed waits before the next try, which is a full read: entries may have lapsed
// meanwhile, and a read fails within its short timeout where a watch of an
// unresponsive store would hang for seconds after the store's return.
func (f *Follower) failed(ctx context.Context, cur *cursor, err error) {
	cur.failures++
	cur.fresh = false
	cur.failed = time.Now()
	f.config.Sink.SetAccess(deployment.Failing)
	if cur.failures >= lostAfter && !cur.lost {
		cur.lost = true
		f.config.Log.Event("store.lost", decision.Fields{"error": err.Error(), "epoch": cur.position.Epoch, "revision": cur.position.Revision})
	}
	pause(ctx, backoff(cur.failures))
}

// backoff draws the pause after a number of failures in a row.
func backoff(failures int) time.Duration {
	most := min(minRetry<<min(failures-1, 3), maxRetry)
	return most/2 + rand.N(most/2)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
