// Package store follows the platform's store: it reads everything once, then
// watches for changes, and begins anew where the store has lost its history.
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
	// defaultBound is within what time a change must be in force where nothing
	// says so.
	defaultBound = 2 * time.Second
	// watchShare is the part of the bound for which the store may hold a watch
	// open, and slackShare the part that its answer may come later: a store that
	// is ninety times slower than usual takes 0.4 s.
	watchShare = 0.5
	slackShare = 0.25
	// watchJitter is the part of the wait that is drawn, so that the nodes'
	// watches do not end together.
	watchJitter = 0.2
	// watchPause is how long a node waits after news before it watches again:
	// changes often come in series, and one watch then tells several.
	watchPause = 250 * time.Millisecond
	// readTimeout bounds a read. The store answers within 4 ms, and 60 times
	// slower on a bad day.
	readTimeout = 1500 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failure; all nodes ask
	// again within two seconds of the store's return, without a stampede.
	firstRetry   = 150 * time.Millisecond
	longestRetry = 1200 * time.Millisecond
	// refusals is after how many failures in a row the store counts as lost.
	refusals = 2
	// restPoll is how often a node that does not read looks whether it should.
	restPoll = 100 * time.Millisecond
	// failMemory is how long a node that has stopped reading after a failure
	// says so, and leaves the reading to others.
	failMemory = 5 * time.Second
)

var (
	// ErrCompacted is returned by a Source that no longer has the history asked
	// for.
	ErrCompacted = errors.New("store: history is gone")
	// ErrOutdated is returned where the store answers from an earlier epoch than
	// is known.
	ErrOutdated = errors.New("store: outdated answer")
)

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
		// Position is the store's of the answer. Beside ErrCompacted its epoch is
		// set alone.
		deployment.Position
	}

	// Sink takes what was read.
	Sink interface {
		Apply(ctx context.Context, u deployment.Update)
		// SetAccess takes how the last call ended, or that none is made.
		SetAccess(a deployment.Access)
		// Snapshot returns what is known.
		Snapshot() *deployment.Snapshot
	}

	// FollowerConfig is the settings of a Follower.
	FollowerConfig struct {
		Source Source
		Sink   Sink
		// Reads reports whether this node is one of the few that read the
		// store and tell the others.
		Reads func() bool
		// Bound is within what time a change must be in force, 0 for two
		// seconds.
		Bound time.Duration
		// Metrics counts calls; nil for nowhere.
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

	// cursor is what the follower's goroutine knows.
	cursor struct {
		// position is that of the last answer that was taken, and epoch that of the
		// last answer.
		position deployment.Position
		epoch    uint64
		fresh    bool
		// discarded is how many watches in a row had no history.
		discarded int
		failures  int
		lost      bool
		failed    time.Time
	}
)

// NewFollower starts to follow.
func NewFollower(c FollowerConfig) *Follower {
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{config: c, wake: make(chan struct{}, 1), cancel: cancel}
	f.running.Go(func() {
		cur := &cursor{}
		for ctx.Err() == nil {
			if f.rests(ctx, cur) {
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

// Read makes the node read the store once, though others should tell it.
func (f *Follower) Read() {
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

// rests waits a little where others read the store for this node, and reports
// whether it has. A node that knows nothing yet reads for itself.
//
// So does one that has failed once: watches may hang while the store answers
// readings. Were it to rest, the next nodes would fail in the same way, and one
// would see all of them serve an old configuration while nobody reads.
func (f *Follower) rests(ctx context.Context, cur *cursor) bool {
	if f.config.Reads() || f.config.Sink.Snapshot().IsZero() || cur.failures == 1 {
		return false
	}
	if time.Since(cur.failed) > failMemory {
		f.config.Sink.SetAccess(deployment.NotReading)
		cur.failures = 0
	}
	select {
	case <-f.wake:
		cur.fresh = false
		return false
	case <-time.After(restPoll):
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
	wait := f.wait()
	limited, cancel := context.WithTimeout(ctx, wait+f.part(slackShare))
	defer cancel()
	page, err := f.config.Source.Watch(limited, cur.position.Revision, wait)
	f.config.Metrics.watches.note(err)
	if err != nil && !errors.Is(err, ErrCompacted) {
		return err
	}
	f.noteEpoch(cur, page)
	if err != nil || page.Epoch != cur.position.Epoch {
		f.begin(ctx, cur, page)
		return nil
	}
	cur.discarded = 0
	f.regained(cur)
	f.config.Sink.Apply(ctx, deployment.Update{Items: page.Items, Position: page.Position, Source: deployment.SourceStore})
	cur.position = deployment.Later(cur.position, page.Position)
	if len(page.Items) > 0 {
		pause(ctx, watchPause)
	}
	return nil
}

// begin makes the next call a reading of everything: the store has lost its
// history, or was restored from a copy, after which revisions name other changes.
//
// A store that discards its history again and again is read with pauses between.
func (f *Follower) begin(ctx context.Context, cur *cursor, page Page) {
	f.config.Log.Event("store.compacted", decision.Fields{"epoch": cur.position.Epoch, "revision": cur.position.Revision, "answered": page.Epoch})
	cur.fresh = false
	if cur.discarded > 0 {
		pause(ctx, backoff(cur.discarded))
	}
	cur.discarded++
}

// wait draws how long the store may hold the next watch open.
//
// A watch may never be told of changes, and nothing shows it but its end. Where
// the store falls silent to the few nodes that read it, and to none of the
// others, nobody would hear of changes. These nodes must notice soon enough for
// another one to read and tell the rest.
func (f *Follower) wait() time.Duration {
	wait := f.part(watchShare)
	return wait - time.Duration(rand.Float64()*watchJitter*float64(wait))
}

// part is a part of the bound.
func (f *Follower) part(share float64) time.Duration {
	return time.Duration(share * float64(cmp.Or(f.config.Bound, defaultBound)))
}

// read takes everything, page by page. The pages are no snapshot; the watch
// goes on from the first page's revision, so that nothing between is missed.
func (f *Follower) read(ctx context.Context, cur *cursor) error {
	var all []deployment.Item
	var at deployment.Position
	after := ""
	for {
		page, err := f.page(ctx, after)
		f.config.Metrics.readings.note(err)
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

// failed waits before the next try, which reads everything anew: entries may
// have lapsed meanwhile, and a reading fails within its short timeout where a
// watch of a silent store would hang for seconds after the store's return.
func (f *Follower) failed(ctx context.Context, cur *cursor, err error) {
	cur.failures++
	cur.fresh = false
	cur.failed = time.Now()
	f.config.Sink.SetAccess(deployment.Failing)
	if cur.failures >= refusals && !cur.lost {
		cur.lost = true
		f.config.Log.Event("store.lost", decision.Fields{"error": err.Error(), "epoch": cur.position.Epoch, "revision": cur.position.Revision})
	}
	pause(ctx, backoff(cur.failures))
}

// backoff draws the pause after some failures in a row.
func backoff(failures int) time.Duration {
	most := min(firstRetry<<min(failures-1, 3), longestRetry)
	return most/2 + rand.N(most/2)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
