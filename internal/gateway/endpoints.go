package gateway

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

type (
	// residency is where a request may run.
	residency struct {
		// restricted says that it may run in the regions only.
		restricted bool
		regions    []string
	}
)

// residencyOf returns where a request of a route and client account may run. If
// both name regions, only those in common are allowed; there may be none.
func residencyOf(r *deployment.Route, a *deployment.Account) residency {
	var account []string
	if a != nil {
		account = a.Regions
	}
	switch {
	case len(account) == 0:
		return residency{restricted: len(r.Regions) > 0, regions: r.Regions}
	case len(r.Regions) == 0:
		return residency{restricted: true, regions: account}
	}
	return residency{restricted: true, regions: slices.DeleteFunc(slices.Clone(r.Regions), func(region string) bool {
		return !slices.Contains(account, region)
	})}
}

// endpoints returns the endpoints of the call's service within its residency
// regions. An endpoint whose region is unknown is in none of them.
func (c *call) endpoints() []*deployment.Endpoint {
	h := c.handler.config
	list := h.Deployment.Snapshot().Endpoints[c.service.Name]
	if !c.residency.restricted {
		return list
	}
	var at []*deployment.Endpoint
	for _, e := range list {
		if region, ok := h.Regions[e.Zone]; ok && slices.Contains(c.residency.regions, region) {
			at = append(at, e)
		}
	}
	return at
}

// blockedReason returns why no endpoint may be sent the call, however long it
// waits, or "" if waiting may help.
//
// A lack of capacity is no such reason, nor is an empty list of endpoints for an
// unrestricted call: they may be about to be known again after an outage.
func (c *call) blockedReason() string {
	list := c.endpoints()
	if c.residency.restricted && len(list) == 0 {
		return reasonResidency
	}
	evacuated := false
	for _, e := range list {
		if e.AcceptsRequests() {
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

// available reports whether an endpoint may still be sent a request.
//
// Reserving a slot and opening a connection come between choosing the endpoint and
// sending. Meanwhile the endpoint may leave, or its zone may be evacuated.
func (c *call) available(e *deployment.Endpoint) bool {
	if !c.listed(e) {
		return false
	}
	_, rests := c.handler.config.Balancer.BackingOff(time.Now(), e)
	return !rests
}

// listed reports whether the platform lists an endpoint as one that takes requests.
func (c *call) listed(e *deployment.Endpoint) bool {
	now := c.handler.config.Deployment.Snapshot().Find(c.service.Name, e.Start())
	return now != nil && now.AcceptsRequests()
}

// backoffRefusal returns the refusal of a call that may wait until a given time if
// all endpoints have asked for a backoff beyond it; otherwise nil.
func (c *call) backoffRefusal(until time.Time) *refusal {
	now := time.Now()
	first, all := c.handler.config.Balancer.BackingOff(now, c.endpoints()...)
	if !all || !first.After(until) {
		return nil
	}
	ref := c.giveUp(reasonBackoff)
	if ref.retryAfter > 0 {
		latest := time.Duration(maxRetryShare * float64(c.deadline.Sub(now)))
		ref.retryAfter = max(min(first.Sub(now), latest), ref.retryAfter)
	}
	return ref
}
