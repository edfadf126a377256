// Package once runs requests that must not be repeated at most once, by
// tickets and without shared state: a ticket can be redeemed only in the
// process that minted it, and there a single time.
//
// What goes wrong without it: a caller that lost its connection sends the
// request again, to this node or to another, and two renewal letters go out.
// Nodes may disagree about membership, be paused or cut off, so no node may
// decide for another. Here none does: the key that verifies a ticket lives in
// one process's memory and ends with it.
package once

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
	// DefaultLife is how long a ticket may be redeemed.
	DefaultLife = 10 * time.Minute
	// DefaultKeep is how long an answer is kept for its caller.
	DefaultKeep = 5 * time.Minute
	// DefaultMemory is the bytes of running and kept answers.
	DefaultMemory = 16 << 20
	// DefaultAnswer is the bytes of the largest answer that is kept.
	DefaultAnswer = 1 << 20
	// DefaultBlocks is how many blocks of used serials are remembered, of
	// about 300 bytes and 1,024 serials each.
	DefaultBlocks = 4096
	// DefaultRecords is how many running and kept answers there may be.
	DefaultRecords = 8192

	sweepInterval = time.Second
)

// States of a ticket.
const (
	// Unused is a ticket that may still be redeemed.
	Unused State = "unused"
	// Running is a ticket whose request is in progress.
	Running State = "running"
	// Done is a ticket whose request was run and answered.
	Done State = "done"
	// Void is a ticket whose request was not run and never will be.
	Void State = "void"
	// Unknown is a ticket of which the node cannot tell.
	Unknown State = "unknown"
)

var (
	// ErrUnknown is returned for a ticket that this incarnation did not mint
	// for the account, or whose outcome it no longer knows.
	ErrUnknown = errors.New("once: ticket unknown")
	// ErrVoid is returned for a ticket that was given up or has expired: its
	// request was not run and never will be.
	ErrVoid = errors.New("once: ticket void")
	// ErrUsed is returned for a ticket whose answer is no longer kept.
	ErrUsed = errors.New("once: ticket used, answer not kept")
	// ErrOther is returned for a ticket that was used for another request.
	ErrOther = errors.New("once: ticket used for another request")
	// ErrRunning is returned where a running ticket is to be voided.
	ErrRunning = errors.New("once: ticket is running")
	// ErrFull is returned where no more can be remembered. The ticket stays
	// unused.
	ErrFull = errors.New("once: registry full")
)

type (
	// State is what is known of a ticket.
	State string

	// Print identifies the request for which a ticket is used.
	Print [32]byte

	// Config is the settings of a Registry. Zero settings take their defaults.
	Config struct {
		// Node and Incarnation are those of the process.
		Node        string
		Incarnation uint64
		// Now is the monotonic time since the process started. The default
		// reads the clock of the time package, which steps of the wall clock
		// do not move.
		Now     func() time.Duration
		Life    time.Duration
		Keep    time.Duration
		Memory  int
		Answer  int
		Blocks  int
		Records int
	}

	// Registry mints tickets and redeems each at most once. It is safe for
	// concurrent use. An unused ticket takes no memory.
	Registry struct {
		config  Config
		key     *ticket.Key
		mu      sync.Mutex
		serial  uint64
		used    ledger
		records map[uint64]*Record
		// ended is the records of ended runs, oldest first.
		ended  []*Record
		memory int
		// swept is when what is past its retention was last dropped.
		swept  time.Duration
		active int
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

// Mint returns a fresh ticket for a client account.
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

// Redeem uses a ticket for a request. For the first call it returns a new
// Record and true: the caller runs the request, writes its answer to the record
// and ends it. Every further call with the same request gets the same record
// and false, whether the request still runs or its answer is kept.
func (r *Registry) Redeem(t ticket.Ticket, account string, p Print) (*Record, bool, error) {
	if !r.mine(t, account) {
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
	if !r.room() || !r.used.set(t.Serial, Unknown, r.forget()) {
		return nil, false, ErrFull
	}
	record := newRecord(r, t.Serial, p)
	r.records[t.Serial] = record
	r.active++
	return record, true, nil
}

// State returns what is known of a ticket.
func (r *Registry) State(t ticket.Ticket, account string) State {
	if !r.mine(t, account) {
		return Unknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return r.state(t)
}

// Void gives up an unused ticket: after it returns nil, the ticket's request
// was not run and never will be. A void ticket may be voided again.
func (r *Registry) Void(t ticket.Ticket, account string) error {
	if !r.mine(t, account) {
		return ErrUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	switch r.state(t) {
	case Unused:
		if !r.used.set(t.Serial, Void, r.forget()) {
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

// Wait waits until no request runs, or ctx ends.
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

func (r *Registry) mine(t ticket.Ticket, account string) bool {
	return t.Node == r.config.Node && t.Incarnation == r.config.Incarnation && r.key.Verify(t, account) == nil
}

// state is called with the lock held, for a genuine ticket.
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

// forget is when a serial used now can be forgotten: every ticket that was
// minted until now has expired by then, and its outcome was told for the
// retention after that.
func (r *Registry) forget() time.Duration {
	return r.config.Now() + r.config.Life + r.config.Keep
}

// room reports whether one more record fits, and drops the oldest ended one
// where that makes it fit.
func (r *Registry) room() bool {
	if len(r.records) < r.config.Records {
		return true
	}
	return r.dropOldest()
}

// expire drops what is past its retention.
func (r *Registry) expire() {
	now := r.config.Now()
	if now-r.swept < sweepInterval {
		return
	}
	r.swept = now
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
