package balance

import (
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// coldShare is the fraction of a cold endpoint's capacity that all nodes together
	// use on average: the number of requests in any one second varies randomly, and
	// nodes that do not know yet that the endpoint is cold send to it as well.
	coldShare = 0.5
	// maxDrawInterval bounds the time since the last draw that counts in a draw.
	// Credit that is saved for longer could be spent by all nodes in the same second.
	maxDrawInterval = 200 * time.Millisecond
	// discoveryPeriod is how long after its start a node may not know all others, and
	// largestFleet the fleet size that it assumes meanwhile.
	discoveryPeriod = 2 * time.Second
	largestFleet    = 330
	// minWarmupMargin is how long an endpoint counts as cold, at least, after the end
	// that it announced; warmupSpread is the time after that over which the nodes
	// return to it.
	minWarmupMargin = 250 * time.Millisecond
	warmupSpread    = 500 * time.Millisecond
)

// pickWarmFirst picks an endpoint, a cold one only if no warm one has room below the
// bound.
//
// A cold endpoint sustains a few requests a second and crashes well above that. All
// nodes see it become free at the same moment, and learn of each other's requests too
// late.
func (b *Balancer) pickWarmFirst(all []candidate, m means, r Request, now time.Time) *candidate {
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

// pickCold returns a cold endpoint to which admitCold lets this node send, preferably
// one that holds the prompt's part. The search starts at a random candidate, so that
// not all nodes begin with the same one.
func (b *Balancer) pickCold(all []candidate, r Request, now time.Time) *candidate {
	offset := int(b.config.Draw() * float64(len(all)))
	var found *candidate
	for i := range all {
		c := &all[(offset+i)%len(all)]
		if !c.cold || c.blocked || c.suspect || found != nil && !c.holds || !b.admitCold(c, r, now) {
			continue
		}
		if c.holds {
			return c
		}
		found = c
	}
	return found
}

// cold reports whether an endpoint sustains only a low request rate at present.
//
// It includes the margin: all nodes know to the millisecond when the endpoint is
// warm. Without a margin all would return within the same 100 ms, and too early if
// the endpoint's clock is a little behind.
func (b *Balancer) cold(e *deployment.Endpoint, o *endpointState, s deployment.Service, now time.Time) bool {
	return s.ColdRate > 0 && e.IsCold(now.Add(-o.warmupMargin))
}

// drawWarmupMargin returns a random margin after the announced end of a cold period.
func (b *Balancer) drawWarmupMargin() time.Duration {
	return minWarmupMargin + time.Duration(b.config.Draw()*float64(warmupSpread))
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

// admitCold reports whether this node may send a request to a cold endpoint now.
//
// It decides at random: each node's admissions form a Poisson process whose rate
// keeps the sum over the fleet at a fraction of the endpoint's capacity, however many
// requests there are. Nodes therefore need not hear from each other, and nodes that
// are partitioned from the rest count in the sum too.
func (b *Balancer) admitCold(c *candidate, r Request, now time.Time) bool {
	o := b.endpoints[c.endpoint.Start()]
	since := min(now.Sub(o.lastDraw), maxDrawInterval)
	o.lastDraw = now
	rate := coldShare * r.Service.ColdRate / float64(b.fleetSize(now))
	return b.config.Draw() >= math.Exp(-rate*since.Seconds())
}

// fleetSize is the number of nodes that may send to an endpoint.
func (b *Balancer) fleetSize(now time.Time) int {
	if now.Sub(b.started) < discoveryPeriod {
		return max(b.config.Nodes(), largestFleet)
	}
	return max(b.config.Nodes(), 1)
}
