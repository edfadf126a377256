package gateway

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

type (
	// Reach knows which services this node reaches.
	Reach interface {
		// Opened records that a connection to an endpoint of a service was opened.
		Opened(service string)
		// Failed records that an attempt at an endpoint, begun at a time, could not
		// connect or broke.
		Failed(e *deployment.Endpoint, began time.Time)
		// Reaches reports whether this node reaches a service.
		Reaches(service string) bool
	}

	// reachesAll is the Reach of a handler that has none.
	reachesAll struct{}
)

// Opened implements Reach.
func (reachesAll) Opened(string) {}

// Failed implements Reach.
func (reachesAll) Failed(*deployment.Endpoint, time.Time) {}

// Reaches implements Reach.
func (reachesAll) Reaches(string) bool { return true }
