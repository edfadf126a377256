package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

	joinTimeout = 2 * time.Second
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
		// Heard is the newest version of the instance list of which peers told,
		// Listed the version that the node has.
		Heard  uint64
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
		// Join are nodes that tell the instance list to one that starts while
		// the platform does not answer.
		Join []Getter
		// Reread asks for new readings at once; nil never does.
		Reread <-chan struct{}
		// Poll and Check are 0 for their defaults; both are jittered.
		Poll  time.Duration
		Check time.Duration
		// Rand returns a random time below the given one; it is safe for
		// concurrent use. Nil is the process's own generator.
		Rand func(time.Duration) time.Duration
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
		rereads  *rereads
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
	if c.Rand == nil {
		c.Rand = rand.N[time.Duration]
	}
	if c.Meter == nil {
		c.Meter = noMeter{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{config: c, cancel: cancel, rereads: newRereads()}
	r.done.Go(func() { r.rereads.follow(ctx, c.Reread) })
	follow := func(t *topic) {
		t.reader = r
		t.status = r.statuses.add(t.key)
		r.done.Go(func() { t.follow(ctx) })
	}
	follow(&topic{key: KeyInstances, take: r.instances, heard: r.missed, older: r.olderList, join: r.join})
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

// join takes the instance list from a node, in random order until one tells it,
// and returns its version.
//
// A node that starts while the platform is down knows no other node, and would
// serve nothing until the platform is back, which may be hours; the fleet would
// shrink with every instance that is replaced meanwhile.
func (r *Reader) join(ctx context.Context) uint64 {
	for _, i := range rand.Perm(len(r.config.Join)) {
		l, err := listFrom(ctx, r.config.Join[i])
		if err == nil {
			r.config.Log.WithField("version", l.Version).Info("instance list taken from a peer")
			r.config.Sink.Offer(l)
			return l.Version
		}
		r.config.Log.WithError(err).Warn("no instance list from a peer to join")
	}
	return 0
}

func listFrom(ctx context.Context, g Getter) (kernel.Instances, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	values, err := g.Values(ctx, []string{KeyInstances})
	if err != nil {
		return kernel.Instances{}, err
	}
	data, ok := values[KeyInstances]
	if !ok {
		return kernel.Instances{}, fmt.Errorf("%w: %s", ErrNotFound, KeyInstances)
	}
	return ParseList(data)
}

// missed returns the version of the instance list that the node heard of but
// does not have; 0 is none.
func (r *Reader) missed() uint64 {
	role := r.config.Role()
	if role.Heard <= role.Listed {
		return 0
	}
	return role.Heard
}

func (r *Reader) olderList(v Value) bool {
	role := r.config.Role()
	return v.Version < max(role.Heard, role.Listed)
}

func (r *Reader) olderRecord(v Value) bool {
	record, err := manifest.ParseRecord(v.Data)
	return err == nil && record.Revision < r.config.Cache.Revision()
}

func none() uint64 { return 0 }

func (noMeter) PlatformRead(string, error) {}
