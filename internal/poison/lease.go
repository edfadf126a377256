package poison

import (
	"strconv"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// DefaultCooldown is how long a request that ran on a dying endpoint waits
// before it runs again, so that all nodes have heard of the death by then.
const DefaultCooldown = 2 * time.Second

// goneFor is how long after its return a message that asks for a lease may
// arrive.
const goneFor = 10 * time.Second

type (
	// Lease is the right to run a suspected request.
	Lease struct {
		// Print identifies the request, ID the holder.
		Print uint64
		ID    uint64
		// Duration is how long the lease lasts unless it is given back.
		Duration time.Duration
	}

	// Leases grants at most one lease for each suspected request whose holder
	// the node is. It is safe for concurrent use.
	Leases struct {
		mu       sync.Mutex
		cooldown time.Duration
		held     map[uint64]held
		// gone is when leases were given back that were not held.
		gone map[uint64]time.Time
	}

	held struct {
		id    uint64
		until time.Time
	}
)

// NewLeases returns Leases with the given cooldown; zero is the default.
func NewLeases(cooldown time.Duration) *Leases {
	if cooldown == 0 {
		cooldown = DefaultCooldown
	}
	return &Leases{cooldown: cooldown, held: map[uint64]held{}, gone: map[uint64]time.Time{}}
}

// Acquire grants a lease, or reports false where another holds it or the
// request cools down.
func (l *Leases) Acquire(now time.Time, lease Lease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if _, gone := l.gone[lease.ID]; gone {
		return false
	}
	if h, ok := l.held[lease.Print]; ok {
		return h.id == lease.ID
	}
	l.held[lease.Print] = held{id: lease.ID, until: now.Add(lease.Duration)}
	return true
}

// Release gives a lease back. Where the endpoint died, the request cools down.
//
// A lease may be given back before the message that asks for it arrives; it
// would then be held by nobody until its time ends, and the request would wait
// for it until its deadline. Such a lease is therefore not granted later.
func (l *Leases) Release(now time.Time, lease Lease, died bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.held[lease.Print]; !ok || h.id != lease.ID {
		l.gone[lease.ID] = now.Add(goneFor)
		return
	}
	delete(l.held, lease.Print)
	if died {
		l.held[lease.Print] = held{until: now.Add(l.cooldown)}
	}
}

func (l *Leases) expire(now time.Time) {
	for print, h := range l.held {
		if now.After(h.until) {
			delete(l.held, print)
		}
	}
	for id, until := range l.gone {
		if now.After(until) {
			delete(l.gone, id)
		}
	}
}

// Holder returns the node that grants the leases of a request: the first live
// one in its rendezvous order.
func Holder(request uint64, nodes []kernel.Node) (kernel.Node, bool) {
	for _, n := range kernel.Rendezvous(strconv.FormatUint(request, 16), nodes) {
		if n.State == kernel.Live {
			return n, true
		}
	}
	return kernel.Node{}, false
}
