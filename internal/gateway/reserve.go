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
	// reserveFor is how long a place is kept for a request that is on its way: a
	// few round trips.
	reserveFor = 300 * time.Millisecond
	// reserveTokens is the memory that is asked for: engines make room for a
	// running request by themselves, and what is set aside for longer than that
	// drives out kept prompts.
	reserveTokens = 1
	// reserveTimeout bounds the asking for a place: some round trips between
	// availability zones.
	reserveTimeout = 100 * time.Millisecond
	// unreservedFor is how long an engine that takes no reservations is not asked
	// for one again.
	unreservedFor = 10 * time.Second
)

var (
	// ErrFull says that an endpoint has no place left.
	ErrFull = errors.New("gateway: endpoint is full")
	// ErrNoReservations says that an endpoint knows no reservations.
	ErrNoReservations = errors.New("gateway: endpoint takes no reservations")
)

type (
	// Reservation is a place at an engine.
	Reservation struct {
		// Tokens is the memory that is kept free for the request.
		Tokens int
		// For is how long the place is kept.
		For time.Duration
	}

	// Place is an engine's answer to a Reservation.
	Place struct {
		// Name is the reservation's, empty where there is none.
		Name string
		// Notice is what the engine says of itself beside.
		Notice Notice
	}

	// Reserver reserves places at engines.
	Reserver interface {
		// Reserve returns the engine's answer, also beside ErrFull and
		// ErrNoReservations, or an error of the connection.
		Reserve(ctx context.Context, e *deployment.Endpoint, r Reservation) (Place, error)
	}

	// places reserves places, but not at engines that take no reservations.
	places struct {
		reserver Reserver
		mu       sync.Mutex
		// without are the engines that take none, until the time given.
		without map[deployment.Start]time.Time
	}
)

func newPlaces(r Reserver) *places {
	return &places{reserver: r, without: map[deployment.Start]time.Time{}}
}

// takes reports whether an engine may take reservations.
func (p *places) takes(e deployment.Start, now time.Time) bool {
	if p.reserver == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.without[e])
}

// refused notes that an engine takes no reservations.
func (p *places) refused(e deployment.Start, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for old, until := range p.without {
		if now.After(until) {
			delete(p.without, old)
		}
	}
	p.without[e] = now.Add(unreservedFor)
}

// reserve makes sure that the chosen engine has a place, and reports whether the
// request may go there.
//
// Nodes hear of each other's requests late. Where places are short, all nodes
// that wait see the same place come free and send to it. Most of what they send
// would wait at that engine, and could have waited here for the next place
// anywhere. The engine itself knows, and gives each place once.
func (c *call) reserve(ctx context.Context, choice *balance.Choice) bool {
	h, start := c.handler.config, choice.Endpoint.Start()
	if !c.service.Model || !choice.Scarce || !c.handler.places.takes(start, time.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	place, err := h.Places.Reserve(ctx, choice.Endpoint, Reservation{Tokens: reserveTokens, For: reserveFor})
	h.Metrics.reserved(err)
	h.Metrics.noticed(place.Notice)
	c.heed(choice.Endpoint, place.Notice)
	if errors.Is(err, ErrFull) {
		c.progress.full++
		h.Balancer.Release(time.Now(), start, balance.Full)
		return false
	}
	if place.Notice.Leaving {
		c.progress.tried = append(c.progress.tried, start)
		h.Balancer.Release(time.Now(), start, balance.Unknown)
		return false
	}
	if err != nil {
		if errors.Is(err, ErrNoReservations) {
			c.handler.places.refused(start, time.Now())
		}
		c.log("reserve.failed", decision.Fields{"endpoint": choice.Endpoint.ID, "error": err.Error()})
	}
	if err == nil {
		h.Balancer.Takes(time.Now(), start)
	}
	c.reserved = place.Name
	return true
}
