package once

import "time"

const (
	blockSerials = 1024
	perByte      = 4
	bitsEach     = 2
	bitMask      = 1<<bitsEach - 1
)

const (
	codeUnused = iota
	codeUnknown
	codeDone
	codeVoid
)

type (
	// ledger remembers the used serials in two bits each. It never drops a
	// serial that could still be redeemed: were it to forget one early, a late
	// copy of the request would run a second time. Where it is full, it
	// refuses further serials instead.
	ledger struct {
		limit  int
		blocks map[uint64]*block
	}

	block struct {
		codes [blockSerials / perByte]byte
		// until is when no ticket of the block can be redeemed or asked about.
		until time.Duration
	}
)

func newLedger(limit int) ledger {
	return ledger{limit: limit, blocks: map[uint64]*block{}}
}

// set notes the state of a serial, which is forgotten not before until. It
// reports whether there was room.
func (l *ledger) set(serial uint64, s State, until time.Duration) bool {
	b := l.blocks[serial/blockSerials]
	if b == nil {
		if len(l.blocks) >= l.limit {
			return false
		}
		b = &block{}
		l.blocks[serial/blockSerials] = b
	}
	b.until = max(b.until, until)
	i, shift := place(serial)
	b.codes[i] = b.codes[i]&^(bitMask<<shift) | code(s)<<shift
	return true
}

// get returns the state of a used serial.
func (l *ledger) get(serial uint64) (State, bool) {
	b := l.blocks[serial/blockSerials]
	if b == nil {
		return "", false
	}
	i, shift := place(serial)
	switch b.codes[i] >> shift & bitMask {
	case codeUnknown:
		return Unknown, true
	case codeDone:
		return Done, true
	case codeVoid:
		return Void, true
	default:
		return "", false
	}
}

func (l *ledger) expire(now time.Duration) {
	for i, b := range l.blocks {
		if now > b.until {
			delete(l.blocks, i)
		}
	}
}

func place(serial uint64) (index, shift uint64) {
	in := serial % blockSerials
	return in / perByte, in % perByte * bitsEach
}

func code(s State) byte {
	switch s {
	case Done:
		return codeDone
	case Void:
		return codeVoid
	default:
		return codeUnknown
	}
}
