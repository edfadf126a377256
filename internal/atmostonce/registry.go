// Package atmostonce gives at-most-once execution to requests that must not be
// repeated, by tickets and without shared state: a ticket can be redeemed only
// in the process that minted it, and only once.
//
// It prevents duplicates when a caller loses its connection and retries at this
// node or another: otherwise, for example, two renewal letters go out. Nodes may
// disagree about membership, be paused or be partitioned, so no node may decide
// for another. The key that verifies a ticket therefore exists only in the
// memory of the process that minted it.
package atmostonce

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

// Defaults of a Config.
const (
	// DefaultLife is how long a ticket can be redeemed.
	DefaultLife = 10 * time.Minute
	// DefaultKeep is how long the answer of an ended run is stored.
	DefaultKeep = 5 * time.Minute
	// DefaultMemory is the maximum total size of running and stored answers, in
	// bytes.
	DefaultMemory = 16 << 20
	// DefaultAnswer is the size of the largest stored answer, in bytes.
	DefaultAnswer = 1 << 20
	// DefaultBlocks is the maximum number of blocks of used serials. A block
	// takes about 300 bytes and holds 1,024 serials.
	DefaultBlocks = 4096
	// DefaultRecords is the maximum number of running and stored answers.
	DefaultRecords = 8192

	sweepInterval = time.Second
)

// States of a ticket.
const (
	// Unused is a ticket that can still be redeemed.
	Unused State = "unused"
	// Running is a ticket whose request is running.
	Running State = "running"
	// Done is a ticket whose request was run and answered.
	Done State = "done"
	// Void is a ticket whose request was not run and never will be.
	Void State = "void"
	// Unknown is a ticket whose state the node does not know.
	Unknown State = "unknown"
)

var (
	// ErrUnknown is returned for a ticket that this incarnation did not mint
	// for the account, or whose outcome it does not know.
	ErrUnknown = errors.New("once: ticket unknown")
	// ErrVoid is returned for a ticket that was voided or has expired: its
	// request was not run and never will be.
	ErrVoid = errors.New("once: ticket void")
	// ErrUsed is returned for a ticket whose answer is no longer stored.
	ErrUsed = errors.New("once: ticket used, answer not kept")
	// ErrOther is returned for a ticket that was used for another request.
	ErrOther = errors.New("once: ticket used for another request")
	// ErrRunning is returned by Void if the request is running.
	ErrRunning = errors.New("once: ticket is running")
	// ErrFull is returned if the registry has no room for another used ticket.
	// The ticket stays unused.
	ErrFull = errors.New("once: registry full")
)

type (
	// State is the state of a ticket.
	State string

	// Print is the fingerprint of the request for which a ticket is used.
	Print [32]byte

	// Config is the settings of a Registry. Zero settings take their defaults.
	Config struct {
		// Node and Incarnation are those of the process.
		Node        string
		Incarnation uint64
		// Now returns the monotonic time since the process started. The default
		// uses the monotonic clock of the time package, which does not follow
		// steps of the wall clock.
		Now     func() time.Duration
		Life    time.Duration
		Keep    time.Duration
		Memory  int
		Answer  int
		Blocks  int
		Records int
	}

	// Registry mints tickets and redeems each at most once. Unused tickets take
	// no memory. It is safe for concurrent use.
	Registry struct {
		config  Config
		key     *ticket.Key
		mu      sync.Mutex
		serial  uint64
		used    ledger
		records map[uint64]*Record
		// ended is the records of ended runs, oldest first.
		ended []*Record
		// memory is the size of running and stored answers, in bytes.
		memory int
		// lastSweep is when expire last dropped old entries.
		lastSweep time.Duration
		active    int
		// idle is closed and replaced whenever a run ends.
		idle chan struct{}
	}
)

// New returns a Registry with a new key.
func New(c Config) *Registry {
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	c.Life = fallback(c.Life, DefaultLife)
	c.Keep = fallback(c.Keep, DefaultKeep)
	c.Memory = fallback(c.Memory, DefaultMemory)
	c.Answer = fallback(c.Answer, DefaultAnswer)
	c.Blocks = fallback(c.Blocks, DefaultBlocks)
	c.Records = fallback(c.Records, DefaultRecords)
	return &Registry{
		config:  c,
		key:     ticket.NewKey(),
		used:    newLedger(c.Blocks),
		records: map[uint64]*Record{},
		idle:    make(chan struct{}),
	}
}

// Mint returns a new ticket for a client account.
func (r *Registry) Mint(account string) (ticket.Ticket, error) {
	r.mu.Lock()
	r.serial++
	t := ticket.Ticket{
		Node: r.config.Node, Incarnation: r.config.Incarnation,
		Serial: r.serial, Expires: r.config.Now() + r.config.Life,
	}
	r.mu.Unlock()
	minted, err := r.key.Mint(t, account)
	if err != nil {
		return minted, fmt.Errorf("once: %w", err)
	}
	return minted, nil
}

// Redeem uses a ticket for a request. The first call returns a new Record and
// true, and the caller must call Run on the record. Later calls with the same
// request return the same record and false, as long as the request runs or its
// answer is stored.
func (r *Registry) Redeem(t ticket.Ticket, account string, p Print) (*Record, bool, error) {
	if !r.minted(t, account) {
		return nil, false, ErrUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	if record := r.records[t.Serial]; record != nil {
		if record.print != p {
			return nil, false, ErrOther
		}
		return record, false, nil
	}
	switch state := r.state(t); state {
	case Unused:
	case Done:
		return nil, false, ErrUsed
	case Void:
		return nil, false, ErrVoid
	default:
		return nil, false, ErrUnknown
	}
	if !r.makeRoom() || !r.used.set(t.Serial, Unknown, r.retainUntil()) {
		return nil, false, ErrFull
	}
	record := newRecord(r, t.Serial, p)
	r.records[t.Serial] = record
	r.active++
	return record, true, nil
}

// State returns the state of a ticket.
func (r *Registry) State(t ticket.Ticket, account string) State {
	if !r.minted(t, account) {
		return Unknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return r.state(t)
}

// Void invalidates an unused ticket. If it returns nil, the ticket's request was
// not run and never will be. Void is idempotent.
func (r *Registry) Void(t ticket.Ticket, account string) error {
	if !r.minted(t, account) {
		return ErrUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	switch r.state(t) {
	case Unused:
		if !r.used.set(t.Serial, Void, r.retainUntil()) {
			return ErrFull
		}
		return nil
	case Void:
		return nil
	case Running:
		return ErrRunning
	case Done:
		return ErrUsed
	default:
		return ErrUnknown
	}
}

// Wait waits until no request is running, or ctx ends.
func (r *Registry) Wait(ctx context.Context) error {
	for {
		r.mu.Lock()
		active, idle := r.active, r.idle
		r.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Stats is the size of a Registry, for operators.
type Stats struct {
	Minted  uint64 `json:"minted"`
	Records int    `json:"records"`
	Ended   int    `json:"ended"`
	Bytes   int    `json:"bytes"`
	Blocks  int    `json:"blocks"`
}

// Stats returns the registry's size.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Stats{Minted: r.serial, Records: len(r.records), Ended: len(r.ended), Bytes: r.memory, Blocks: len(r.used.blocks)}
}

// minted reports whether this process minted the ticket for the account.
func (r *Registry) minted(t ticket.Ticket, account string) bool {
	return t.Node == r.config.Node && t.Incarnation == r.config.Incarnation && r.key.Verify(t, account) == nil
}

// state returns the state of a verified ticket. The lock must be held.
func (r *Registry) state(t ticket.Ticket) State {
	if record := r.records[t.Serial]; record != nil {
		return record.state
	}
	now := r.config.Now()
	if now > t.Expires+r.config.Keep {
		return Unknown
	}
	if state, ok := r.used.get(t.Serial); ok {
		return state
	}
	if now > t.Expires {
		return Void
	}
	return Unused
}

// retainUntil returns the time until which a serial used now must be stored. By then,
// every ticket minted until now has expired, and its outcome could be queried
// for Keep after that.
func (r *Registry) retainUntil() time.Duration {
	return r.config.Now() + r.config.Life + r.config.Keep
}

// makeRoom reports whether another record fits, dropping the oldest ended one if
// necessary.
func (r *Registry) makeRoom() bool {
	if len(r.records) < r.config.Records {
		return true
	}
	return r.dropOldest()
}

// expire drops answers and serials past their retention, at most once per
// sweepInterval.
func (r *Registry) expire() {
	now := r.config.Now()
	if now-r.lastSweep < sweepInterval {
		return
	}
	r.lastSweep = now
	for len(r.ended) > 0 && now > r.ended[0].until {
		r.dropOldest()
	}
	r.used.expire(now)
}

func (r *Registry) dropOldest() bool {
	if len(r.ended) == 0 {
		return false
	}
	oldest := r.ended[0]
	r.ended[0] = nil
	r.ended = r.ended[1:]
	delete(r.records, oldest.serial)
	r.memory -= oldest.held
	oldest.held = 0
	return true
}

func fallback[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}
