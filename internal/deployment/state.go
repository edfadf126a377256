package deployment

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// lapseWindow is how long after a store outage entries may have lapsed: two
	// seconds as the platform specifies, and a quarter for propagation.
	lapseWindow = 2250 * time.Millisecond
	// holdMargin is how long before the bound on leaving endpoints a held removal
	// takes effect: a node may learn of it 0.3 s late, as a node that reads the
	// store waits a quarter of a second before it asks a peer, and held removals
	// are checked every 0.1 s. With less, a request may reach an endpoint after the
	// bound.
	holdMargin = 600 * time.Millisecond
	// sweepInterval is how often held removals are checked.
	sweepInterval = 100 * time.Millisecond
	updateQueue   = 64
	// largeValue is the size from which replaced values are kept, and replacedKept
	// how many: a burst brings some ten in a second, a peer is updated within half
	// a second, and a value may be a megabyte.
	largeValue = 8 << 10
	// maxBadValue is the size up to which the value of an invalid entry is kept:
	// ten times that of a usual one.
	maxBadValue  = 4 << 10
	replacedKept = 6
)

// Whether a node reads the platform's store itself.
const (
	// NotReading nodes do not read the store; their peers send them its changes.
	NotReading Access = iota
	// Reading nodes got an answer to their last call.
	Reading
	// Failing nodes got no answer to their last call.
	Failing
)

// SourceStore is the source of an update that was read from the store itself.
const SourceStore = "store"

type (
	// Access says whether a node reads the store, and whether it succeeds.
	Access int32

	// StateConfig is the settings of a State.
	StateConfig struct {
		Decoder Decoder
		// Drain is the time after which a leaving endpoint must get no more
		// requests.
		Drain time.Duration
		// Regions are the known regions; empty if they are unknown.
		Regions []string
		Log     *decision.Log
	}

	// State holds the node's view of the deployment. One goroutine owns it; all
	// others read its snapshots.
	State struct {
		config   StateConfig
		updates  chan Update
		snapshot atomic.Pointer[Snapshot]
		// confirmed is when the store, or a node that reads it, last confirmed the
		// state, as time since start; -1 if never.
		confirmed atomic.Int64
		access    atomic.Int32
		// lapsing is until when removals may stem from a store outage, as time
		// since start.
		lapsing atomic.Int64
		// readerFailed is until when a peer's full read may have been made during
		// an outage, as time since start.
		readerFailed atomic.Int64
		// settling is until when the store may lack changes from before its
		// restore, as time since start.
		settling atomic.Int64
		changed  chan struct{}
		// configured is closed with the first configuration.
		configured chan struct{}
		start      time.Time
		record     atomic.Pointer[Record]
		// replaced are large values that were replaced, newest last.
		replaced atomic.Pointer[[]Item]
		// leaves are the leaves that endpoints themselves have announced, not yet
		// applied.
		leaves  *leaveQueue
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// Update is a set of items, from the store or from a peer.
	Update struct {
		Items []Item
		// Position is the store's when the items were read.
		Position
		// Whole says that the items are a full read, so that entries that are
		// missing are gone.
		Whole bool
		// AfterOutage says that the store was unavailable before this update:
		// entries may have lapsed though their endpoints live.
		AfterOutage bool
		// Lapsing is how much longer that may be the case, as a peer reports.
		Lapsing time.Duration
		// Previous are items of earlier epochs that still apply, as a peer reports;
		// those of removed endpoints and of evacuations apply for the time of
		// Settling.
		Previous []Item
		Settling time.Duration
		// Source is SourceStore or a peer's name.
		Source string
	}
)

// NewState returns an empty State and starts its owner goroutine.
func NewState(c StateConfig) *State {
	ctx, cancel := context.WithCancel(context.Background())
	s := &State{config: c, updates: make(chan Update, updateQueue), changed: make(chan struct{}, 1), configured: make(chan struct{}), start: time.Now(), cancel: cancel, leaves: newLeaveQueue()}
	s.snapshot.Store(&Snapshot{})
	s.record.Store(&Record{})
	s.replaced.Store(&[]Item{})
	s.confirmed.Store(-1)
	s.running.Go(func() {
		b := newBuilder()
		tick := time.NewTicker(sweepInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case u := <-s.updates:
				s.apply(b, u, time.Now())
			case <-s.leaves.wake:
				s.applyLeaves(b, time.Now())
			case now := <-tick.C:
				s.sweep(b, now)
			}
		}
	})
	return s
}

// Apply queues an update; it blocks while the queue is full.
func (s *State) Apply(ctx context.Context, u Update) {
	select {
	case s.updates <- u:
	case <-ctx.Done():
	}
}

// Configured returns a channel that is closed once a configuration is known.
func (s *State) Configured() <-chan struct{} { return s.configured }

// Snapshot returns the newest snapshot, never nil.
func (s *State) Snapshot() *Snapshot { return s.snapshot.Load() }

// Record returns the store's known content, for peers; it is never nil, and at
// least as new as the snapshot.
func (s *State) Record() *Record { return s.record.Load() }

// Items returns all known items, including removed ones.
func (s *State) Items() []Item { return s.Record().Items }

// Replaced returns large values that were replaced recently: a peer may still have one,
// and can be sent a change of it in few bytes.
func (s *State) Replaced() []Item { return *s.replaced.Load() }

// SetAccess records how the last call to the store ended, or that none is made.
func (s *State) SetAccess(a Access) {
	if a == Reading {
		s.Confirm()
	}
	s.access.Store(int32(a))
}

// Access returns whether this node reads the store.
func (s *State) Access() Access { return Access(s.access.Load()) }

// Confirm records that the state has just been confirmed as current.
func (s *State) Confirm() { s.confirmed.Store(int64(time.Since(s.start))) }

// Lapsing returns how much longer removals may stem from a store outage, 0 if they
// do not.
//
// Peers are sent this remaining time. If they were sent only that there was an
// outage, each would start the time anew, and removals would be held back for as
// long as changes arrive.
func (s *State) Lapsing() time.Duration {
	return max(time.Duration(s.lapsing.Load())-time.Since(s.start), 0)
}

// Settling returns how much longer the store may lack changes from before its
// restore, 0 if it does not.
func (s *State) Settling() time.Duration {
	return max(time.Duration(s.settling.Load())-time.Since(s.start), 0)
}

// ReaderFailed records that a node which should read the store cannot.
//
// A node that starts just after an outage finds only the entries that have not
// lapsed, and cannot know of the outage. If its read were applied as it is, all
// requests would be refused for lack of endpoints for a second or two. For
// lapseWindow after this, removals that a peer's full read implies are therefore
// held back.
func (s *State) ReaderFailed() { s.readerFailed.Store(int64(time.Since(s.start) + lapseWindow)) }

// Updates returns a channel that signals a change read from the store itself.
func (s *State) Updates() <-chan struct{} { return s.changed }

// Age returns how long ago the store, or a node that reads it, last confirmed the
// state, and whether that ever happened.
func (s *State) Age() (time.Duration, bool) {
	at := s.confirmed.Load()
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
