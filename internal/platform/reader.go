package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// Defaults of a ReaderConfig.
const (
	// DefaultPoll is the time between two plain readings of a watcher.
	DefaultPoll = 20 * time.Second
	// DefaultCheck is the time between two readings of a node that is no
	// watcher.
	DefaultCheck = time.Minute
)

type (
	// Source reads and watches values; a Client is one.
	Source interface {
		Getter
		Get(ctx context.Context, key string) (Value, error)
		Watch(ctx context.Context, key string, after uint64) (Value, bool, error)
	}

	// Sink takes what was read.
	Sink interface {
		Offer(ev kernel.Event)
	}

	// Role is what the fleet expects of the reader now.
	Role struct {
		// Watcher says that the node holds waiting watches; others hear of
		// changes from their peers and check rarely.
		Watcher bool
		// Listed is the newest version of the instance list of which the node
		// has heard.
		Listed uint64
	}

	// ReaderConfig is the settings of a Reader.
	ReaderConfig struct {
		Source Source
		Sink   Sink
		// Cache takes accepted records.
		Cache *Cache
		Log   logrus.FieldLogger
		// Role returns the node's role; nil is always a watcher's.
		Role func() Role
		// Poll and Check are 0 for their defaults; both are jittered.
		Poll  time.Duration
		Check time.Duration
		// Meter counts readings; nil counts none.
		Meter Meter
	}

	// Reader follows what the platform publishes and offers it to a Sink. While
	// the platform does not answer it tries again with growing, jittered pauses
	// and the node carries on with what it last knew.
	Reader struct {
		config   ReaderConfig
		cancel   context.CancelFunc
		done     sync.WaitGroup
		statuses statuses
	}

	noMeter struct{}
)

// NewReader starts reading. Zero settings take their defaults.
func NewReader(c ReaderConfig) *Reader {
	if c.Role == nil {
		c.Role = func() Role { return Role{Watcher: true} }
	}
	if c.Poll == 0 {
		c.Poll = DefaultPoll
	}
	if c.Check == 0 {
		c.Check = DefaultCheck
	}
	if c.Meter == nil {
		c.Meter = noMeter{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{config: c, cancel: cancel}
	follow := func(t *topic) {
		t.reader = r
		t.status = r.statuses.add(t.key)
		r.done.Go(func() { t.follow(ctx) })
	}
	follow(&topic{key: KeyInstances, take: r.instances, heard: r.listed, older: r.olderList})
	follow(&topic{key: KeyAccepted, take: r.accepted, heard: none, older: r.olderRecord, signed: true})
	return r
}

// Status returns the state of each key that the reader follows.
func (r *Reader) Status() []Status { return r.statuses.all() }

// Close stops reading.
func (r *Reader) Close() {
	r.cancel()
	r.done.Wait()
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
	m, err := r.config.Cache.Take(ctx, v.Data, patient{reader: r})
	if errors.Is(err, errDelivered) {
		return nil
	}
	if err != nil {
		return err
	}
	if m != nil {
		r.config.Sink.Offer(kernel.Accepted{Manifest: m})
	}
	return nil
}

func (r *Reader) listed() uint64 { return r.config.Role().Listed }

func (r *Reader) olderList(v Value) bool { return v.Version < r.listed() }

func (r *Reader) olderRecord(v Value) bool {
	record, err := manifest.ParseRecord(v.Data)
	return err == nil && record.Revision < r.config.Cache.Revision()
}

func none() uint64 { return 0 }

func (noMeter) PlatformRead(string, error) {}
