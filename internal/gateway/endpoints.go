package gateway

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

type (
	// residence is where a request may run.
	residence struct {
		// bound says that it may run in the regions only.
		bound   bool
		regions []string
	}
)

// reside returns where a request of a route and client account may run. Where
// both name regions, both bind; there may be none that both allow.
func reside(r *deployment.Route, a *deployment.Account) residence {
	var account []string
	if a != nil {
		account = a.Homes
	}
	switch {
	case len(account) == 0:
		return residence{bound: len(r.Homes) > 0, regions: r.Homes}
	case len(r.Homes) == 0:
		return residence{bound: true, regions: account}
	}
	return residence{bound: true, regions: slices.DeleteFunc(slices.Clone(r.Homes), func(region string) bool {
		return !slices.Contains(account, region)
	})}
}

// endpoints returns the endpoints of the call's service that are in its homes.
// The region of an endpoint may be unknown; it is then no home.
func (c *call) endpoints() []*deployment.Endpoint {
	h := c.handler.config
	list := h.Deployment.Snapshot().Endpoints[c.service.Name]
	if !c.homes.bound {
		return list
	}
	var at []*deployment.Endpoint
	for _, e := range list {
		if region, ok := h.Regions[e.Zone]; ok && slices.Contains(c.homes.regions, region) {
			at = append(at, e)
		}
	}
	return at
}

// barred tells why no endpoint may be sent the call, however long it waits; it is
// empty if one may.
//
// Endpoints that are about to be known again after an outage are no such reason,
// nor is the want of room.
func (c *call) barred() string {
	list := c.endpoints()
	if c.homes.bound && len(list) == 0 {
		return reasonHomes
	}
	evacuated := false
	for _, e := range list {
		if e.Takes() {
			return ""
		}
		evacuated = evacuated || e.Evacuated && !e.Draining
	}
	switch {
	case evacuated:
		return reasonEvacuated
	case len(list) > 0:
		return reasonLeaving
	}
	return ""
}

// open reports whether an endpoint may still be sent a request.
//
// Between the choice and the sending lie a question for a place and the opening
// of a connection. The endpoint may leave, or its zone be evacuated, in between.
func (c *call) open(e *deployment.Endpoint) bool {
	h := c.handler.config
	now := h.Deployment.Snapshot().Find(c.service.Name, e.Start())
	if now == nil || !now.Takes() {
		return false
	}
	_, rests := h.Balancer.Resting(time.Now(), now)
	return !rests
}

// resting returns the refusal of a call that may wait until a time, if all endpoints
// rest for longer; otherwise nil.
func (c *call) resting(until time.Time) *refusal {
	now := time.Now()
	first, all := c.handler.config.Balancer.Resting(now, c.endpoints()...)
	if !all || !first.After(until) {
		return nil
	}
	ref := c.given(reasonResting)
	if ref.after > 0 {
		latest := time.Duration(returnLatest * float64(c.deadline.Sub(now)))
		ref.after = max(min(first.Sub(now), latest), ref.after)
	}
	return ref
}
