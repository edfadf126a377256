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
	// DefaultPoll is the interval at which a watcher reads without watching.
	DefaultPoll = 20 * time.Second
	// DefaultCheck is the read interval of a node that is not a watcher.
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

	// Sink receives what was read.
	Sink interface {
		Offer(ev kernel.Event)
	}

	// Role is the reader's current role in the fleet.
	Role struct {
		// Watcher is set if the node watches the platform; other nodes receive
		// changes from their peers and read rarely.
		Watcher bool
		// Reported is the newest version of the instance list that peers reported,
		// Listed the version that the node has.
		Reported uint64
		Listed   uint64
	}

	// ReaderConfig is the settings of a Reader.
	ReaderConfig struct {
		Source Source
		Sink   Sink
		// Cache holds accepted records.
		Cache *Cache
		Log   logrus.FieldLogger
		// Role returns the node's role; nil means always a watcher.
		Role func() Role
		// Join are the peers from which the reader takes the instance list if the
		// platform does not answer when the node starts.
		Join []Getter
		// Reread requests an immediate read of all keys; nil never does.
		Reread <-chan struct{}
		// Poll and Check are the read intervals of a watcher and of other nodes,
		// before jitter; 0 is DefaultPoll and DefaultCheck.
		Poll  time.Duration
		Check time.Duration
		// Rand returns a random time below the given one and is safe for
		// concurrent use; nil is math/rand/v2.
		Rand func(time.Duration) time.Duration
		// Meter counts reads; nil counts none.
		Meter Meter
	}

	// Reader follows the platform's keys and offers new values to a Sink. While
	// the platform does not answer, it retries with exponential, jittered delays
	// and the node continues with the last known values.
	Reader struct {
		config   ReaderConfig
		cancel   context.CancelFunc
		done     sync.WaitGroup
		statuses statuses
		rereads  *rereads
	}

	noMeter struct{}
)

// NewReader starts a Reader. Zero settings take their defaults.
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
	follow(&topic{key: KeyInstances, take: r.takeInstances, reported: r.missingList, older: r.olderList, join: r.join})
	follow(&topic{key: KeyAccepted, take: r.takeAccepted, reported: noVersion, older: r.olderRecord, hasRevision: true})
	return r
}

// Status returns the state of each key that the reader follows.
func (r *Reader) Status() []Status { return r.statuses.all() }

// Close stops reading.
func (r *Reader) Close() {
	r.cancel()
	r.done.Wait()
}

func (r *Reader) takeInstances(_ context.Context, v Value) error {
	list, invalid, err := ParseInstances(v.Data)
	if err != nil {
		return err
	}
	if len(invalid) > 0 {
		r.config.Log.WithError(invalid[0]).WithField("entries", len(invalid)).Warn("invalid entries in the instance list")
	}
	r.config.Sink.Offer(kernel.Instances{Version: v.Version, List: list})
	return nil
}

// takeAccepted reads the values that an accepted record refers to and offers the
// complete manifest.
func (r *Reader) takeAccepted(ctx context.Context, v Value) error {
	m, err := r.config.Cache.Take(ctx, v.Data, peersFirst{reader: r})
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

// join takes the instance list from a peer and returns its version, 0 if no peer
// has it. It tries the peers in random order.
//
// A node that starts while the platform is down knows no other node and would
// serve nothing until the platform is back, which may take hours; the fleet
// would shrink with every instance that is replaced meanwhile.
func (r *Reader) join(ctx context.Context) uint64 {
	for _, i := range rand.Perm(len(r.config.Join)) {
		l, err := listFrom(ctx, r.config.Join[i])
		if err == nil {
			r.config.Log.WithField("version", l.Version).Info("instance list taken from a peer")
			r.config.Sink.Offer(l)
			return l.Version
		}
		r.config.Log.WithError(err).Warn("cannot read the instance list from a peer")
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

// missingList returns the version of the instance list that peers reported but
// the node does not have; 0 is none.
func (r *Reader) missingList() uint64 {
	role := r.config.Role()
	if role.Reported <= role.Listed {
		return 0
	}
	return role.Reported
}

func (r *Reader) olderList(v Value) bool {
	role := r.config.Role()
	return v.Version < max(role.Reported, role.Listed)
}

func (r *Reader) olderRecord(v Value) bool {
	record, err := manifest.ParseRecord(v.Data)
	return err == nil && record.Revision < r.config.Cache.Revision()
}

func noVersion() uint64 { return 0 }

func (noMeter) PlatformRead(string, error) {}
