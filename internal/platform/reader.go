package platform

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	retryFirst = 100 * time.Millisecond
	retryLast  = 5 * time.Second
)

type (
	// Source reads and watches values; a Client is one.
	Source interface {
		Get(ctx context.Context, key string) (Value, error)
		Watch(ctx context.Context, key string, after uint64) (Value, bool, error)
	}

	// Sink takes what was read.
	Sink interface {
		Offer(ev kernel.Event)
	}

	// ReaderConfig is the settings of a Reader.
	ReaderConfig struct {
		Source Source
		Sink   Sink
		// Operators are the keys whose records are accepted.
		Operators []ed25519.PublicKey
		Log       logrus.FieldLogger
	}

	// Reader watches the platform and offers what it reads to a Sink. While
	// the platform does not answer it tries again with growing pauses.
	Reader struct {
		config ReaderConfig
		cancel context.CancelFunc
		done   sync.WaitGroup
		mu     sync.Mutex
		values map[string][]byte
	}
)

// NewReader starts watching.
func NewReader(c ReaderConfig) *Reader {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{config: c, cancel: cancel, values: map[string][]byte{}}
	watch := func(key string, take func(context.Context, Value) error) {
		r.done.Go(func() { r.watch(ctx, key, take) })
	}
	watch(KeyInstances, r.instances)
	watch(KeyAccepted, r.accepted)
	return r
}

// Close stops watching.
func (r *Reader) Close() {
	r.cancel()
	r.done.Wait()
}

// Value returns a value of the configuration in force by its key, for peers
// that cannot read it from the platform.
func (r *Reader) Value(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func (r *Reader) watch(ctx context.Context, key string, take func(context.Context, Value) error) {
	var after uint64
	pause := retryFirst
	for ctx.Err() == nil {
		v, changed, err := r.config.Source.Watch(ctx, key, after)
		if err == nil && changed {
			err = take(ctx, v)
		}
		if err != nil {
			r.config.Log.WithError(err).WithField("key", key).Warn("platform read failed")
			sleep(ctx, pause)
			pause = min(2*pause, retryLast)
			continue
		}
		if changed {
			after = v.Version
		}
		pause = retryFirst
	}
}

func (r *Reader) instances(_ context.Context, v Value) error {
	list, err := ParseInstances(v.Data)
	if err != nil {
		return err
	}
	r.config.Sink.Offer(kernel.Instances{Version: v.Version, List: list})
	return nil
}

// accepted reads what an accepted record names and offers it whole.
func (r *Reader) accepted(ctx context.Context, v Value) error {
	record, err := manifest.ParseRecord(v.Data)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrValue, err)
	}
	if err := record.Verify(r.config.Operators); err != nil {
		return fmt.Errorf("%w: %v", ErrValue, err)
	}
	root, err := r.config.Source.Get(ctx, PrefixManifest+string(record.Digest))
	if err != nil {
		return err
	}
	if manifest.Sum(root.Data) != record.Digest {
		return fmt.Errorf("%w: manifest does not match its digest", ErrValue)
	}
	m, err := manifest.Parse(root.Data)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrValue, err)
	}
	if m.Revision != record.Revision {
		return fmt.Errorf("%w: manifest is of revision %d, record of %d", ErrValue, m.Revision, record.Revision)
	}
	r.keep(record, v.Data, root.Data)
	r.config.Sink.Offer(kernel.Accepted{Manifest: m})
	return nil
}

func (r *Reader) keep(record manifest.Record, accepted, root []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[KeyAccepted] = accepted
	r.values[PrefixManifest+string(record.Digest)] = root
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
