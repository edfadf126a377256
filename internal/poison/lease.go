package poison

import (
	"strconv"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// DefaultCooldown is how long a request that ran on an endpoint that died waits
// before it may run again, so that all nodes have received the report of the death
// by then.
const DefaultCooldown = 2 * time.Second

// tombstoneTTL is how long a lease request may arrive after the release of its
// lease.
const tombstoneTTL = 10 * time.Second

type (
	// Lease is the right to run a suspected request.
	Lease struct {
		// Fingerprint is the fingerprint of the request, ID identifies the holder.
		Fingerprint uint64
		ID          uint64
		// Duration is how long the lease lasts unless it is released.
		Duration time.Duration
	}

	// Leases grants at most one lease at a time for each suspected request that the
	// node is responsible for (see LeaseNode). It is safe for concurrent use.
	Leases struct {
		mu       sync.Mutex
		cooldown time.Duration
		held     map[uint64]held
		// tombstones holds the IDs of leases that were released while not held, and
		// until when they are not granted.
		tombstones map[uint64]time.Time
	}

	held struct {
		id    uint64
		until time.Time
	}
)

// NewLeases returns Leases with the given cooldown; zero is DefaultCooldown.
func NewLeases(cooldown time.Duration) *Leases {
	if cooldown == 0 {
		cooldown = DefaultCooldown
	}
	return &Leases{cooldown: cooldown, held: map[uint64]held{}, tombstones: map[uint64]time.Time{}}
}

// Acquire grants a lease. It returns false if another holder has it, if it was
// released already, or during the cooldown after a death.
func (l *Leases) Acquire(now time.Time, lease Lease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if _, released := l.tombstones[lease.ID]; released {
		return false
	}
	if h, ok := l.held[lease.Fingerprint]; ok {
		return h.id == lease.ID
	}
	l.held[lease.Fingerprint] = held{id: lease.ID, until: now.Add(lease.Duration)}
	return true
}

// Release releases a lease. If the endpoint died, the cooldown of the request
// starts.
//
// A lease may be released before the message that requests it arrives. If it were
// granted then, it would be held by nobody until its time ends, and the request
// would wait for it until its deadline. Such a lease is therefore not granted
// later.
func (l *Leases) Release(now time.Time, lease Lease, died bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.held[lease.Fingerprint]; !ok || h.id != lease.ID {
		l.tombstones[lease.ID] = now.Add(tombstoneTTL)
		return
	}
	delete(l.held, lease.Fingerprint)
	if died {
		l.held[lease.Fingerprint] = held{until: now.Add(l.cooldown)}
	}
}

func (l *Leases) expire(now time.Time) {
	for print, h := range l.held {
		if now.After(h.until) {
			delete(l.held, print)
		}
	}
	for id, until := range l.tombstones {
		if now.After(until) {
			delete(l.tombstones, id)
		}
	}
}

// LeaseNode returns the node that grants the leases of a request: the first live
// one in its rendezvous order.
func LeaseNode(request uint64, nodes []kernel.Node) (kernel.Node, bool) {
	for _, n := range kernel.Rendezvous(strconv.FormatUint(request, 16), nodes) {
		if n.State == kernel.Live {
			return n, true
		}
	}
	return kernel.Node{}, false
}
