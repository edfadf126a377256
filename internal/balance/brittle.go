package balance

import (
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// brittleTTL is how long a service counts as brittle after its endpoints last said
	// so, in an answer to this node or to another one.
	brittleTTL = 3 * time.Second
	// brittleBackoff is how long an endpoint of a brittle service that turned a
	// request away gets no other from this node.
	brittleBackoff = time.Second
	// endpointShare is how many times an even share of one endpoint's load a node may
	// have there.
	endpointShare = 2
	// brittleTurn is how often it is drawn anew whether a node rounds its share up. If
	// there are more nodes than slots, they take turns by this.
	brittleTurn = 50 * time.Millisecond
	// turnShare is the fraction of the share that is used then: what a node has sent
	// outlasts its turn.
	turnShare = 0.6
)

// brittle is what is known of a service whose endpoints fall over if they have to turn
// away more than a few requests within a second, from all nodes together.
type brittle struct {
	// until is until when it counts as brittle, and own the same by the answers that
	// this node got.
	until time.Time
	own   time.Time
}

// SetBrittle records that an endpoint of a service has told this node that it is
// brittle.
func (b *Balancer) SetBrittle(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := now.Add(brittleTTL)
	b.brittle[deployment.ServiceKey(service)] = brittle{until: until, own: until}
}

// Brittle returns the services that have told this node that they are brittle, by their
// Keys, for the other nodes.
func (b *Balancer) Brittle(now time.Time) []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []uint32
	for key, s := range b.brittle {
		if now.Before(s.own) {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// AddBrittle adds the brittle services that another node reports.
func (b *Balancer) AddBrittle(now time.Time, list []uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range list {
		s := b.brittle[key]
		s.until = later(s.until, now.Add(brittleTTL))
		b.brittle[key] = s
	}
}

// isBrittle reports whether the endpoints of a service are brittle.
func (b *Balancer) isBrittle(now time.Time, service string) bool {
	if len(b.brittle) == 0 {
		return false
	}
	return now.Before(b.brittle[deployment.ServiceKey(service)].until)
}

// turnedAway handles a request that a brittle endpoint turned away: this node leaves it
// alone for a while, and others hear at once that it is full.
func (b *Balancer) turnedAway(now time.Time, e *endpointState) {
	e.health.refusedUntil = now.Add(brittleBackoff)
	b.reports.set(e.key, now, max(e.slots, b.inProgress(e)), 0)
	if b.config.Announce != nil {
		b.config.Announce()
	}
}

// brittleLoad returns the mean load of a brittle endpoint at which its slots are rarely
// exceeded. What nodes hear of each other is older than most requests of a plain
// service, so that they are spread about at random: the load varies by its square root.
func brittleLoad(slots int) float64 {
	root := math.Sqrt(float64(slots)+1) - 1
	return root * root
}

// overBrittleShare reports whether this node has its share of the requests that the
// endpoints of a brittle plain service may have, or all nodes have theirs.
func (b *Balancer) overBrittleShare(now time.Time, list []*deployment.Endpoint, states []*endpointState, r Request, f failing) bool {
	var own, all int
	limit := 0.0
	for i, e := range list {
		o := states[i]
		own, all = own+o.active, all+b.inProgress(o)
		if e.AcceptsRequests() && !o.health.gone && !now.Before(o.health.unreachableUntil) && f.failures[i] < minFailures {
			limit += brittleLoad(slots(e, r.Service))
		}
	}
	if now.Sub(b.roundedAt) >= brittleTurn {
		b.rounding, b.roundedAt = b.config.Draw(), now
	}
	share := limit / float64(max(b.config.Nodes(), 1))
	if share < 1 {
		share *= turnShare
	}
	return float64(own) >= math.Floor(share+b.rounding) || float64(all) >= limit
}

// overEndpointShare reports whether this node has its share of the requests that one
// brittle endpoint may have, with room for requests that are spread unevenly.
func (b *Balancer) overEndpointShare(o *endpointState, slots int) bool {
	share := endpointShare * brittleLoad(slots) / float64(max(b.config.Nodes(), 1))
	return float64(o.active) >= max(share, 1)
}

// unseen is how many requests other nodes have probably sent to an endpoint since they
// last reported, if they send as many as this node.
func (b *Balancer) unseen(now time.Time, service string, endpoints int) float64 {
	requests := b.requests[service]
	if requests == nil {
		return 0
	}
	perSecond := requests.Get(now) / failureMemory.Seconds() * float64(b.config.Nodes()-1) / float64(max(endpoints, 1))
	return perSecond * b.config.Loads.Age(now).Seconds()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
