package platform

import (
	"context"
	"errors"
	"time"
)

const (
	retryFirst = 100 * time.Millisecond
	retryLast  = 2 * time.Second
	// retryValue is the time until a value that could not be read is read
	// again, unless it changes before.
	retryValue = 2 * time.Second
	// glance is how often a node that is no watcher looks whether it became
	// one or heard of a newer list.
	glance = 250 * time.Millisecond
)

// topic is one key that a Reader follows.
type topic struct {
	reader *Reader
	status *Status
	key    string
	take   func(context.Context, Value) error
	// heard returns the newest version that peers told of.
	heard func() uint64
	// older reports whether a value is older than what the node has.
	older func(v Value) bool
	// join takes the value from a peer and returns its version, 0 for none; nil
	// where peers are not asked.
	join func(ctx context.Context) uint64
	// signed says that the value itself tells new from old.
	signed bool
	// version is that of the newest value taken, seen that of the newest value
	// read.
	version uint64
	seen    uint64
	// plain is when the next plain reading is due.
	plain  time.Time
	read   time.Time
	failed bool
	// called is closed when a new reading is asked for.
	called <-chan struct{}
}

func (t *topic) follow(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		read, err := t.next(ctx)
		if ctx.Err() != nil {
			return
		}
		if !read {
			continue
		}
		t.note(err)
		if err == nil {
			pause = retryFirst
			continue
		}
		if t.join != nil && t.version == 0 {
			t.version = t.join(ctx)
			t.seen = max(t.seen, t.version)
		}
		sleep(ctx, t.reader.jitter(pause))
		pause = min(2*pause, retryLast)
	}
}

// next reads the value once, by the way that the node's role asks for, and
// takes it where it is new. It reports false where nothing was due.
func (t *topic) next(ctx context.Context) (bool, error) {
	source, role := t.reader.config.Source, t.reader.config.Role()
	called := t.reader.rereads.channel()
	if t.called != nil && t.called != called {
		t.plain = time.Now()
	}
	t.called = called
	switch {
	case t.due(role):
		v, err := source.Get(ctx, t.key)
		if err != nil {
			t.plain = time.Now()
			return true, err
		}
		return true, t.apply(ctx, v)
	case !role.Watcher:
		sleep(ctx, t.reader.jitter(glance))
		return false, nil
	default:
		waiting, cancel := until(ctx, called)
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

// due reports whether it is time for a plain reading, and sets the time of the
// next.
//
// A platform may lose a watch and answer each new one with "no change"; a node
// that only watched would never hear of the change. Every node therefore reads
// plainly now and then. One that is no watcher also does when peers tell of a
// newer version.
func (t *topic) due(role Role) bool {
	now := time.Now()
	period := t.reader.config.Poll
	if !role.Watcher {
		period = t.reader.config.Check
	}
	first := t.plain.IsZero()
	late := !role.Watcher && t.heard() > t.seen && now.Sub(t.read) >= retryLast
	if !first && !late && now.Before(t.plain) {
		return false
	}
	t.plain = now.Add(t.reader.jitter(period))
	t.read = now
	return !first || !role.Watcher
}

// apply takes a value that is newer than the last one. A platform whose
// replicas disagree shows old and new in turn, and one that is stale shows the
// old for long; an older list would bring back instances that are gone and drop
// those that joined. Only the newest counts. An accepted record tells its own
// age, so that one counts also where the platform began to number its values
// anew.
func (t *topic) apply(ctx context.Context, v Value) error {
	behind := t.older(v) || v.Version < t.version && !t.signed
	t.reader.statuses.update(func() { t.status.Behind = behind })
	if v.Version == t.version || v.Version < t.version && !t.signed {
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

// refuse notes a value that cannot be used. The watch goes on to the next
// version; the value is read again later, since only half of it may have come.
func (t *topic) refuse(v Value, err error) {
	t.seen = max(t.seen, v.Version)
	t.plain = time.Now().Add(t.reader.jitter(retryValue))
	t.reader.statuses.update(func() { t.status.Refused = err.Error() })
}

// note keeps what came of a reading. Only the first failure and the end of
// failures are logged, so that a platform that is down for long does not fill
// the log.
func (t *topic) note(err error) {
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
		log.WithError(err).Warn("platform read failed; carrying on with what is known")
	case err == nil && t.failed:
		log.Info("platform answers again")
	}
	t.failed = err != nil
}
