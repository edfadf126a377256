package platform

import (
	"context"
	"errors"
	"time"
)

const (
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// retryBadValue is the delay before an invalid value is read again, unless
	// it changes earlier.
	retryBadValue = 2 * time.Second
	// rolePoll is the interval at which a node that is not a watcher checks
	// whether it became one or peers reported a newer list.
	rolePoll = 250 * time.Millisecond
)

// topic is one key that a Reader follows.
type topic struct {
	reader *Reader
	status *Status
	key    string
	take   func(context.Context, Value) error
	// reported returns the newest version that peers reported and the node lacks,
	// 0 for none.
	reported func() uint64
	// older reports whether a value is older than what the node has.
	older func(v Value) bool
	// join takes the value from a peer and returns its version, 0 for none; nil
	// if peers are not asked.
	join func(ctx context.Context) uint64
	// hasRevision is set if the value contains its own revision, by which its age
	// is known without the platform's version.
	hasRevision bool
	// version is the version of the newest value applied, seen that of the newest
	// value read.
	version uint64
	seen    uint64
	// nextRead is when the next Get is due, lastRead when the last one was.
	nextRead time.Time
	lastRead time.Time
	failed   bool
	// rereadSignal is closed when a reread is requested.
	rereadSignal <-chan struct{}
}

func (t *topic) follow(ctx context.Context) {
	pause := minRetry
	for ctx.Err() == nil {
		read, err := t.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if !read {
			continue
		}
		t.recordResult(err)
		if err == nil {
			pause = minRetry
			continue
		}
		if t.join != nil && t.version == 0 {
			t.version = t.join(ctx)
			t.seen = max(t.seen, t.version)
		}
		sleep(ctx, t.reader.jitter(pause))
		pause = min(2*pause, maxRetry)
	}
}

// readOnce reads the value once, with Get or Watch as due and by the node's role,
// and applies it if it is new. It returns false if it read nothing.
func (t *topic) readOnce(ctx context.Context) (bool, error) {
	source, role := t.reader.config.Source, t.reader.config.Role()
	signal := t.reader.rereads.channel()
	if t.rereadSignal != nil && t.rereadSignal != signal {
		t.nextRead = time.Now()
	}
	t.rereadSignal = signal
	switch {
	case t.due(role):
		v, err := source.Get(ctx, t.key)
		if err != nil {
			t.nextRead = time.Now()
			return true, err
		}
		return true, t.apply(ctx, v)
	case !role.Watcher:
		sleep(ctx, t.reader.jitter(rolePoll))
		return false, nil
	default:
		waiting, cancel := cancelOn(ctx, signal)
		defer cancel()
		v, changed, err := source.Watch(waiting, t.key, t.seen)
		if waiting.Err() != nil && ctx.Err() == nil {
			return false, nil
		}
		if err != nil || !changed {
			return true, err
		}
		return true, t.apply(ctx, v)
	}
}

// due reports whether the node should read with Get, and schedules the next such
// read.
//
// A platform may lose a watch and answer each new one with "no change"; a node
// that only watched would never see the change. Every node therefore uses Get
// from time to time. A node that is not a watcher also does so when peers report
// a newer version.
func (t *topic) due(role Role) bool {
	now := time.Now()
	period := t.reader.config.Poll
	if !role.Watcher {
		period = t.reader.config.Check
	}
	first := t.nextRead.IsZero()
	newer := !role.Watcher && t.reported() > t.seen && now.Sub(t.lastRead) >= maxRetry
	if !first && !newer && now.Before(t.nextRead) {
		return false
	}
	t.nextRead = now.Add(t.reader.jitter(period))
	t.lastRead = now
	return !first || !role.Watcher
}

// apply takes a value that is newer than the last one and ignores others. A
// platform whose replicas disagree returns old and new values in turn, and a
// stale one returns old values for long; an older list would bring back instances
// that have left and drop those that joined. An accepted record contains its own
// revision and is therefore also taken if the platform has restarted its version
// numbers.
func (t *topic) apply(ctx context.Context, v Value) error {
	behind := t.older(v) || v.Version < t.version && !t.hasRevision
	t.reader.statuses.update(func() { t.status.Behind = behind })
	if v.Version == t.version || v.Version < t.version && !t.hasRevision {
		return nil
	}
	err := t.take(ctx, v)
	if errors.Is(err, ErrValue) || errors.Is(err, ErrConflict) {
		t.refuse(v, err)
	}
	if err != nil {
		return err
	}
	t.version = max(t.version, v.Version)
	t.seen = max(t.seen, v.Version)
	t.reader.statuses.update(func() {
		t.status.Version = t.version
		t.status.Changed = time.Now()
		t.status.Refused = ""
	})
	return nil
}

// refuse records a value that cannot be used. The watch continues with the next
// version; the value is read again later, since only a part of it may have been
// published or received.
func (t *topic) refuse(v Value, err error) {
	t.seen = max(t.seen, v.Version)
	t.nextRead = time.Now().Add(t.reader.jitter(retryBadValue))
	t.reader.statuses.update(func() { t.status.Refused = err.Error() })
}

// recordResult updates the status after a read. It logs only the first of a run
// of failures and the recovery, so that a long outage of the platform does not
// fill the log.
func (t *topic) recordResult(err error) {
	t.reader.config.Meter.PlatformRead(t.key, err)
	log := t.reader.config.Log.WithField("key", t.key)
	t.reader.statuses.update(func() {
		if err != nil {
			t.status.Failures++
			t.status.Error = err.Error()
			return
		}
		t.status.Failures = 0
		t.status.Error = ""
		t.status.Answered = time.Now()
	})
	switch {
	case err != nil && !t.failed:
		log.WithError(err).Warn("platform read failed; continuing with the last known value")
	case err == nil && t.failed:
		log.Info("platform read succeeded again")
	}
	t.failed = err != nil
}
