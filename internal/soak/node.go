package soak

import (
	"sync"

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
}
