package deployment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// lapseWindow is how long after an outage of the store entries may have
	// lapsed: two seconds by the platform's word, and a quarter for the way.
	lapseWindow = 2250 * time.Millisecond
	// holdMargin is how long before the bound on leaving endpoints a removal that was
	// held back counts: a node may learn of it 0.3 s late, as one that reads the store
	// waits a quarter of a second before it asks a peer, and held removals are looked at
	// every 0.1 s. With less, a request may reach an endpoint after the bound.
	holdMargin = 600 * time.Millisecond
	// sweepInterval is how often held removals are looked at.
	sweepInterval = 100 * time.Millisecond
	updateQueue   = 64
	// largeValue is from which size replaced values are kept, and pastValues
	// how many: a storm brings some ten in a second, a peer is told within half
	// a second, and a value may be a megabyte.
	largeValue = 8 << 10
	// maxBadValue is how much of an entry that cannot be read is kept: ten times
	// a usual one.
	maxBadValue = 4 << 10
	pastValues  = 6
)

// Whether a node reads the platform's store itself.
const (
	// Resting nodes read nothing; their peers tell them.
	Resting Access = iota
	// Reading nodes have had an answer to their last call.
	Reading
	// Failing nodes have had none.
	Failing
)

// SourceStore is the source of an update that the store itself has given.
const SourceStore = "store"

type (
	// Access is whether a node reads the store, and can.
	Access int32

	// StateConfig is the settings of a State.
	StateConfig struct {
		Decoder Decoder
		// Drain is within what time a leaving endpoint must get no more
		// requests.
		Drain time.Duration
		// Regions are the known ones; none if nobody knows them.
		Regions []string
		Log     *decision.Log
	}

	// State keeps what is known of the deployment. One goroutine owns it; all
	// others read its snapshots.
	State struct {
		config   StateConfig
		updates  chan Update
		snapshot atomic.Pointer[Snapshot]
		// contact is when the store itself last answered, as time since start.
		contact atomic.Int64
		access  atomic.Int32
		// lapsing is until when removals may stem from an outage, as time
		// since start.
		lapsing atomic.Int64
		// doubted is until when a peer's reading may have been made during an
		// outage, as time since start.
		doubted atomic.Int64
		// settling is until when the store may lack what it was told before it was
		// restored, as time since start.
		settling atomic.Int64
		news     chan struct{}
		// configured is closed with the first configuration.
		configured chan struct{}
		start      time.Time
		record     atomic.Pointer[Record]
		// past are large values that were replaced, newest last.
		past atomic.Pointer[[]Item]
		// announcements are what endpoints have said of themselves.
		announcements *announcements
		cancel        context.CancelFunc
		running       sync.WaitGroup
	}

	// Update is a set of items, from the store or from a peer.
	Update struct {
		Items []Item
		// Position is the store's at which the items were read.
		Position
		// Whole says that the items are everything there is, so that entries
		// that are missing are gone.
		Whole bool
		// Regained says that the store was away before this update: entries may
		// have lapsed though their endpoints live.
		Regained bool
		// Lapsing is for how much longer that may be so, as a peer says.
		Lapsing time.Duration
		// Former are items of earlier epochs that still hold, as a peer says, those
		// of endpoints that were gone and of evacuations for the time of Settling.
		Former   []Item
		Settling time.Duration
		// Source is SourceStore or a peer's name.
		Source string
	}
)

// NewState starts a state that knows nothing yet.
func NewState(c StateConfig) *State {
	ctx, cancel := context.WithCancel(context.Background())
	s := &State{config: c, updates: make(chan Update, updateQueue), news: make(chan struct{}, 1), configured: make(chan struct{}), start: time.Now(), cancel: cancel, announcements: newAnnouncements()}
	s.snapshot.Store(&Snapshot{})
	s.record.Store(&Record{})
	s.past.Store(&[]Item{})
	s.contact.Store(-1)
	s.running.Go(func() {
		b := newBook()
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case u := <-s.updates:
				s.apply(b, u, time.Now())
			case <-s.announcements.news:
				s.announce(b, time.Now())
			case now := <-tick.C:
				s.sweep(b, now)
			}
		}
	})
	return s
}

// Apply hands over an update; it waits while many others are waiting.
func (s *State) Apply(ctx context.Context, u Update) {
	select {
	case s.updates <- u:
	case <-ctx.Done():
	}
}

// Configured is closed once a configuration is known.
func (s *State) Configured() <-chan struct{} { return s.configured }

// Snapshot returns the newest snapshot, never nil.
func (s *State) Snapshot() *Snapshot { return s.snapshot.Load() }

// Record returns what was read of the store, for peers; it is never nil, and at
// least as new as the snapshot.
func (s *State) Record() *Record { return s.record.Load() }

// Items returns all known items, removed ones too.
func (s *State) Items() []Item { return s.Record().Items }

// Past returns large values that were replaced lately: what a peer may still
// have, and can be told a change of in few bytes.
func (s *State) Past() []Item { return *s.past.Load() }

// Noted takes how the last call to the store ended, or that none is made.
func (s *State) Noted(a Access) {
	if a == Reading {
		s.Confirm()
	}
	s.access.Store(int32(a))
}

// Access returns whether this node reads the store.
func (s *State) Access() Access { return Access(s.access.Load()) }

// Confirm notes that nothing newer was known to the store just now.
func (s *State) Confirm() { s.contact.Store(int64(time.Since(s.start))) }

// Lapsing returns for how much longer removals may stem from an outage of the
// store, 0 if they do not.
//
// It is told to peers as a rest of time. Were they told only that there was an
// outage, each would count anew, and hold removals back for as long as there is
// news.
func (s *State) Lapsing() time.Duration {
	return max(time.Duration(s.lapsing.Load())-time.Since(s.start), 0)
}

// Settling returns for how much longer the store may lack what it was told before
// it was restored, 0 if it does not.
func (s *State) Settling() time.Duration {
	return max(time.Duration(s.settling.Load())-time.Since(s.start), 0)
}

// Doubt notes that a node which should read the store cannot.
//
// A node that starts just after an outage finds the entries that have not lapsed,
// and cannot know of the outage. Were a reading of its taken as it is, one would
// see all requests refused for lack of endpoints for a second or two. For some
// time after this, what is missing of a peer's reading is held back.
func (s *State) Doubt() { s.doubted.Store(int64(time.Since(s.start) + lapseWindow)) }

// News tells when the store itself has told something new.
func (s *State) News() <-chan struct{} { return s.news }

// Age returns how long ago the store, or a node that reads it, last confirmed
// what is known, and whether that ever was.
func (s *State) Age() (time.Duration, bool) {
	at := s.contact.Load()
	if at < 0 {
		return time.Since(s.start), false
	}
	return time.Since(s.start) - time.Duration(at), true
}

// Close stops the owner goroutine.
func (s *State) Close() {
	s.cancel()
	s.running.Wait()
}
