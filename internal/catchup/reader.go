package catchup

import "time"

const (
	// MaxReaders is how many nodes read the store on behalf of all: one or two may
	// be cut off before the others notice.
	MaxReaders = 3
	// minDiscovery is how long after its start a node may not know the others yet;
	// that lasts while it meets another one each settleTime, up to maxDiscovery.
	minDiscovery = 300 * time.Millisecond
	settleTime   = 250 * time.Millisecond
	maxDiscovery = 2 * time.Second
	// MinPatience is how long after its start, at least, a node that knows nothing
	// waits for a peer that does, although others should read the store: longer than
	// these take to meet and to read.
	MinPatience = 4 * time.Second
	// MaxPatience is the same at most.
	MaxPatience = 8 * time.Second
)

// Reader is what a node's decision to read the store depends on.
type Reader struct {
	// Age is the time since the node's start, Met that since it has met another one
	// for the first time, and Patience the age from which it reads for itself.
	Age      time.Duration
	Met      time.Duration
	Patience time.Duration
	// Alone reports whether it has met no other node yet; Met is then its Age.
	Alone bool
	// Empty reports whether it knows nothing of the store's content, and Informed
	// whether any living peer does.
	Empty    bool
	Informed bool
	// Seed reports whether other nodes ask this one first when they start, or
	// whether it knows nobody to ask.
	Seed bool
	// Ahead is how many living nodes come before this one as readers.
	Ahead int
}

// Reads reports whether the node reads the store.
//
// Nodes that start together know nobody at first, so that each seems to be the
// first of all readers. If all read, a fleet that restarts as a whole would make as
// many full reads as it has nodes. The seeds read at once, and the others once they
// have met, or have met nobody for as long as that may take.
func (r Reader) Reads() bool {
	if r.discovers() {
		return r.Seed
	}
	if r.Ahead < MaxReaders {
		return true
	}
	return r.Empty && !r.Informed && r.Age >= r.Patience
}

// discovers reports whether the node may not know the others yet.
func (r Reader) discovers() bool {
	return r.Age < minDiscovery || r.Age < maxDiscovery && (r.Alone || r.Met < settleTime)
}
