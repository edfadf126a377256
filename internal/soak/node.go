package soak

import (
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/fleet"
)

// node is one real process of the fleet.
type node struct {
	*fleet.Process
	// storeProxy is between the node and the store.
	storeProxy *proxy
	// egress is between the node and the endpoints.
	egress *egress
	// callerProxy is between callers and the node.
	callerProxy *proxy

	// restarting is held from a planned or unplanned exit to the next start: two
	// concurrent restarts of one node would leave a process that nothing ends.
	restarting sync.Mutex

	mu sync.Mutex
	// disturbances are the times in which the process was ended or suspended.
	disturbances []span
}

// disturb records that the process is ended or suspended from a time on, until end is
// called.
func (n *node) disturb(from time.Time) (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.disturbances)
	n.disturbances = append(n.disturbances, span{from: from})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disturbances[i].to = time.Now()
	}
}

// disturbedSince reports whether the process was ended or suspended at some time since
// then.
func (n *node) disturbedSince(t time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return overlaps(n.disturbances, t, time.Now())
}
