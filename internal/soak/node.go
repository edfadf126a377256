package soak

import (
	"sync"

	"bulrushhinge.example/bulrushhinge/internal/fleet"
)

// node is one real process of the fleet.
type node struct {
	*fleet.Process
	// store stands between the node and the store.
	store *proxy
	// front stands between callers and the node.
	front *proxy

	// turn is held from a planned or unplanned end to the next start: two faults
	// that restart one node would leave a process that nobody ends.
	turn sync.Mutex
}
