package balance

import (
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// coldShare is the part of what a cold endpoint bears that all nodes together
	// send it on the mean: the number in any one second varies by chance, and
	// nodes that do not know yet that it is cold send as well.
	coldShare = 0.5
	// turnFor is for how long a turn at a cold endpoint may be taken. Turns that
	// are kept for longer could all be taken in the same second.
	turnFor = 200 * time.Millisecond
	// settling is how long after its start a node may not know of all others, and
	// largestFleet for how many nodes the fleet is taken meanwhile.
	settling     = 2 * time.Second
	largestFleet = 330
	// coldMargin is for how much longer than it says an endpoint is left alone at
	// least, and coldSpread over which time beyond that the nodes come back to it.
	coldMargin = 250 * time.Millisecond
	coldSpread = 500 * time.Millisecond
)

// pickWarm picks an endpoint, a cold one only where no warm one has room below the
// bound.
//
// A cold endpoint bears few requests a second and crashes well above that; all
// nodes see it come back empty at the same moment, and hear of each other's
// requests too late.
func (b *Balancer) pickWarm(all []candidate, m means, r Request, now time.Time) *candidate {
	if !slices.ContainsFunc(all, func(c candidate) bool { return c.cold }) {
		return b.pick(all, m, r)
	}
	c := b.pick(warm(all), m, r)
	if c != nil && (r.Key == "" || float64(c.load) < b.bound(m)) {
		return c
	}
	if cold := b.pickCold(all, r, now); cold != nil {
		return cold
	}
	return c
}

// pickCold takes a cold endpoint at which this node has a turn, one that keeps the
// prompt's part if there is one. The others are looked at from anywhere on, so that
// not all nodes begin with the same one.
func (b *Balancer) pickCold(all []candidate, r Request, now time.Time) *candidate {
	from := int(b.config.Draw() * float64(len(all)))
	var found *candidate
	for i := range all {
		c := &all[(from+i)%len(all)]
		if !c.cold || c.closed || c.suspect || found != nil && !c.holds || !b.turn(c, r, now) {
			continue
		}
		if c.holds {
			return c
		}
		found = c
	}
	return found
}

// cold reports whether an endpoint bears only few requests now.
//
// All nodes know to the millisecond when it is warm again. All of them would come
// back in the same tenth of a second, and before its time if its clock is a
// little behind.
func (b *Balancer) cold(e *deployment.Endpoint, o *own, s deployment.Service, now time.Time) bool {
	return s.ColdRate > 0 && e.IsCold(now.Add(-o.margin))
}

// drawMargin draws for how much longer than it says a cold endpoint is left alone.
func (b *Balancer) drawMargin() time.Duration {
	return coldMargin + time.Duration(b.config.Draw()*float64(coldSpread))
}

// warm returns the candidates that are not cold.
func warm(all []candidate) []candidate {
	list := make([]candidate, 0, len(all))
	for _, c := range all {
		if !c.cold {
			list = append(list, c)
		}
	}
	return list
}

// turn reports whether this node has a turn at a cold endpoint, and takes it.
//
// Turns come to each node by chance, as often as keeps the sum over the fleet at
// a part of what the endpoint bears, however many requests there are: so the
// nodes need not hear of each other, and those that are cut off from the rest
// count in the sum all the same.
func (b *Balancer) turn(c *candidate, r Request, now time.Time) bool {
	o := b.own[c.endpoint.Start()]
	since := min(now.Sub(o.turned), turnFor)
	o.turned = now
	rate := coldShare * r.Service.ColdRate / float64(b.fleet(now))
	return b.config.Draw() >= math.Exp(-rate*since.Seconds())
}

// fleet is how many nodes may send to an endpoint.
func (b *Balancer) fleet(now time.Time) int {
	if now.Sub(b.began) < settling {
		return max(b.config.Nodes(), largestFleet)
	}
	return max(b.config.Nodes(), 1)
}
