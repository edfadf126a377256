package atmostonce

import "time"

const (
	blockSerials   = 1024
	serialsPerByte = 4
	bitsPerSerial  = 2
	bitMask        = 1<<bitsPerSerial - 1
)

const (
	codeUnused = iota
	codeUnknown
	codeDone
	codeVoid
)

type (
	// ledger stores the state of used serials in two bits each. It never drops a
	// serial whose ticket could still be redeemed, since a late copy of the
	// request would then run a second time. When it is full, it rejects new
	// serials instead.
	ledger struct {
		limit  int
		blocks map[uint64]*block
	}

	block struct {
		codes [blockSerials / serialsPerByte]byte
		// until is the time after which no ticket of the block can be redeemed
		// or queried.
		until time.Duration
	}
)

func newLedger(limit int) ledger {
	return ledger{limit: limit, blocks: map[uint64]*block{}}
}

// set stores the state of a serial and keeps it at least until the given time.
// It returns false if the ledger is full.
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
	i, shift := position(serial)
	b.codes[i] = b.codes[i]&^(bitMask<<shift) | code(s)<<shift
	return true
}

// get returns the state of a serial, or false if it is not in use.
func (l *ledger) get(serial uint64) (State, bool) {
	b := l.blocks[serial/blockSerials]
	if b == nil {
		return "", false
	}
	i, shift := position(serial)
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

// position returns the index of a serial's byte in its block and the shift within
// the byte.
func position(serial uint64) (index, shift uint64) {
	offset := serial % blockSerials
	return offset / serialsPerByte, offset % serialsPerByte * bitsPerSerial
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
