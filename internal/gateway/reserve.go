package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// reservationTTL is how long a slot is reserved for a request that is on its
	// way: a few round trips.
	reservationTTL = 300 * time.Millisecond
	// reserveTokens is the memory that is reserved: engines make room for a
	// running request by themselves, and memory that is reserved for longer than
	// that evicts cached prompts.
	reserveTokens = 1
	// reserveTimeout bounds the reservation of a slot: some round trips between
	// availability zones.
	reserveTimeout = 100 * time.Millisecond
	// unsupportedTTL is how long an engine that does not support reservations is
	// not asked for one again.
	unsupportedTTL = 10 * time.Second
)

var (
	// ErrFull is returned if an endpoint has no free slot.
	ErrFull = errors.New("gateway: endpoint is full")
	// ErrNoReservations is returned if an endpoint does not support reservations.
	ErrNoReservations = errors.New("gateway: endpoint does not support reservations")
)

type (
	// ReserveRequest is a request to reserve a slot at an engine.
	ReserveRequest struct {
		// Tokens is the memory that is kept free for the request.
		Tokens int
		// TTL is how long the slot is reserved.
		TTL time.Duration
	}

	// ReserveResponse is an engine's response to a ReserveRequest.
	ReserveResponse struct {
		// Name is the reservation's, empty if there is none.
		Name string
		// Notice is the engine's notice in the response.
		Notice Notice
	}

	// slot is a slot at an endpoint as far as the endpoint was asked for it.
	slot struct {
		// reservation names what is reserved, empty if nothing is.
		reservation string
		// denied says that the request must not be sent there, and outcome why.
		denied  bool
		outcome balance.Outcome
	}

	// Reserver reserves slots at engines.
	Reserver interface {
		// Reserve returns the engine's response, also along with ErrFull and
		// ErrNoReservations, or an error of the connection.
		Reserve(ctx context.Context, e *deployment.Endpoint, r ReserveRequest) (ReserveResponse, error)
	}

	// reservations knows which engines do not support reservations.
	reservations struct {
		reserver Reserver
		mu       sync.Mutex
		// unsupported maps these engines to the time until which they are not asked.
		unsupported map[deployment.Start]time.Time
	}
)

func newReservations(r Reserver) *reservations {
	return &reservations{reserver: r, unsupported: map[deployment.Start]time.Time{}}
}

// supported reports whether an engine may support reservations.
func (r *reservations) supported(e deployment.Start, now time.Time) bool {
	if r.reserver == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.unsupported[e])
}

// markUnsupported records that an engine does not support reservations.
func (r *reservations) markUnsupported(e deployment.Start, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for old, until := range r.unsupported {
		if now.After(until) {
			delete(r.unsupported, old)
		}
	}
	r.unsupported[e] = now.Add(unsupportedTTL)
}

// reserve reserves a slot at the chosen engine if it may be full.
//
// Nodes learn of each other's requests late. While slots are scarce, all nodes
// with waiting requests see the same slot become free and send to it. Most of
// these requests would wait at that engine, and could have waited here for the
// next free slot of any engine. The engine itself grants each slot only once.
func (c *call) reserve(ctx context.Context, choice *balance.Choice) slot {
	h, start := c.handler.config, choice.Endpoint.Start()
	if !c.service.Model || !choice.NearlyFull || !c.handler.reservations.supported(start, time.Now()) {
		return slot{}
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	place, err := h.Reserver.Reserve(ctx, choice.Endpoint, ReserveRequest{Tokens: reserveTokens, TTL: reservationTTL})
	h.Metrics.reserved(err)
	h.Metrics.noticed(place.Notice)
	c.applyNotice(choice.Endpoint, place.Notice)
	if errors.Is(err, ErrFull) {
		return slot{denied: true, outcome: balance.ReservationRefused}
	}
	if place.Notice.Leaving {
		return slot{denied: true, outcome: balance.Unknown}
	}
	if err != nil {
		if errors.Is(err, ErrNoReservations) {
			c.handler.reservations.markUnsupported(start, time.Now())
		}
		c.log("reserve.failed", decision.Fields{"endpoint": choice.Endpoint.ID, "error": err.Error()})
	}
	if err == nil {
		h.Balancer.Accepted(time.Now(), start)
	}
	return slot{reservation: place.Name}
}

// release releases the slot of a choice at which no slot could be reserved.
func (c *call) release(choice *balance.Choice, s slot) {
	if s.outcome == balance.ReservationRefused {
		c.progress.full++
	} else {
		c.progress.tried = append(c.progress.tried, choice.Endpoint.Start())
	}
	c.handler.config.Balancer.Release(time.Now(), choice.Endpoint.Start(), s.outcome)
}
