package balance

import (
	"cmp"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// decision is the candidate that was picked, if any, and what it was picked from.
type decision struct {
	chosen *candidate
	all    []candidate
	mean   means
}

// decide picks an endpoint among the candidates, or none if none has room. The decision
// is valid until the next call of candidates.
func (b *Balancer) decide(now time.Time, list []*deployment.Endpoint, r Request) decision {
	d := decision{}
	d.all, d.mean = b.candidates(now, list, r)
	d.chosen = b.pickWarmFirst(d.all, d.mean, r, now)
	if d.chosen == nil && r.AllowTried {
		r.Tried = nil
		d.all, d.mean = b.candidates(now, list, r)
		d.chosen = b.pickWarmFirst(d.all, d.mean, r, now)
	}
	return d
}

func (b *Balancer) pick(all []candidate, m means, r Request) *candidate {
	if r.Key != "" {
		c := b.pickKeyed(all, m, r)
		if r.WaitForHolder && c != nil && c.leavesHolders(all) {
			return nil
		}
		return c
	}
	return b.pickPlain(all, r)
}

// pickKeyed takes the first endpoint of the key's rendezvous order that is under the
// bound, so that all nodes send requests that share a prompt to one endpoint.
// Endpoints that hold the prompt's part precede all others: one that has just joined
// would have to fetch it. One with a long prefill queue is passed over for another.
// If all are over the bound, it takes the least loaded with room.
func (b *Balancer) pickKeyed(all []candidate, m means, r Request) *candidate {
	bound := b.bound(m)
	var best, leastLoaded, leastLoadedSuspect *candidate
	for i := range all {
		c := &all[i]
		if c.blocked {
			continue
		}
		if leastLoadedSuspect == nil || c.load < leastLoadedSuspect.load {
			leastLoadedSuspect = c
		}
		if c.suspect {
			continue
		}
		c.preferred = c.prefers(m)
		if float64(c.load) < bound && c.precedes(best) {
			best = c
		}
		if leastLoaded == nil || c.load < leastLoaded.load {
			leastLoaded = c
		}
	}
	if best != nil {
		return b.avoidPrefillQueue(all, best, bound, r)
	}
	return cmp.Or(leastLoaded, leastLoadedSuspect)
}

// bound is the load from which an endpoint is passed over. The mean that it is a
// multiple of includes the endpoints of evacuated zones.
func (b *Balancer) bound(m means) float64 {
	return boundShare*cmp.Or(b.config.LoadFactor, defaultLoadFactor)*m.all + boundSlack
}

// leavesHolders reports whether the request would leave the engines that hold its
// prompt for one of the last slots of another.
//
// When slots are short, one becomes free somewhere every few milliseconds, but rarely
// where the prompt is held. Most prompts would move with each request. After a short
// wait the right engine has a free slot, and another request takes the other one.
func (c *candidate) leavesHolders(all []candidate) bool {
	return !c.holds && c.nearlyFull() && slices.ContainsFunc(all, func(o candidate) bool { return o.holds })
}

// nearlyFull reports whether the engine may be full by now.
func (c *candidate) nearlyFull() bool { return float64(c.load) >= nearlyFullShare*float64(c.slots) }

// prefers reports whether the endpoint precedes those that do not hold the prompt's
// part.
func (c *candidate) prefers(m means) bool {
	return c.holds && float64(c.load) < affinityRatio*m.usable+affinitySlack
}

// precedes reports whether the candidate is preferred to another for a key.
func (c *candidate) precedes(other *candidate) bool {
	if other == nil || c.preferred != other.preferred {
		return other == nil || c.preferred
	}
	return c.score > other.score
}

// pickPlain takes the better of two random endpoints, by load per slot. If nodes took
// the least loaded of all, all would take the same one until they next hear from each
// other. Where all requests pass through this node, it takes the least loaded of all.
func (b *Balancer) pickPlain(all []candidate, r Request) *candidate {
	healthy, suspects := usable(all)
	if r.Exclusive {
		return cmp.Or(b.leastLoaded(healthy, r), b.leastLoaded(suspects, r))
	}
	return cmp.Or(b.lessLoadedOfTwo(healthy, r), b.lessLoadedOfTwo(suspects, r))
}

// usable returns the candidates that may be sent a request now, the suspect ones apart.
func usable(all []candidate) (healthy, suspects []*candidate) {
	for i := range all {
		c := &all[i]
		switch {
		case c.blocked:
		case c.suspect:
			suspects = append(suspects, c)
		default:
			healthy = append(healthy, c)
		}
	}
	return healthy, suspects
}

// lessLoadedOfTwo draws two candidates and returns the one with the lower cost.
func (b *Balancer) lessLoadedOfTwo(list []*candidate, r Request) *candidate {
	if len(list) < 2 {
		return slices.Concat(list, []*candidate{nil})[0]
	}
	i := b.config.IntN(len(list))
	j := b.config.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if b.plainCost(list[j], r) < b.plainCost(list[i], r) {
		return list[j]
	}
	return list[i]
}

// leastLoaded returns the candidate with the lowest load, nil if there is none.
// Of several, one in this node's zone is preferred; the search starts at a random one,
// so that they take turns.
func (b *Balancer) leastLoaded(list []*candidate, r Request) *candidate {
	var best *candidate
	if len(list) == 0 {
		return nil
	}
	offset := b.config.IntN(len(list))
	for i := range list {
		c := list[(offset+i)%len(list)]
		if best == nil || cmp.Or(cmp.Compare(b.plainLoad(c, r), b.plainLoad(best, r)), cmp.Compare(b.plainCost(c, r), b.plainCost(best, r))) < 0 {
			best = c
		}
	}
	return best
}

// plainCost is the load, plus the penalty for another availability zone.
func (b *Balancer) plainCost(c *candidate, r Request) float64 {
	cost := b.plainLoad(c, r)
	if c.endpoint.Zone != b.config.Zone {
		cost += crossZoneCost
	}
	return cost
}

// plainLoad is the load per slot or, where the service's endpoints report slowdowns, the
// expected time.
func (b *Balancer) plainLoad(c *candidate, r Request) float64 {
	if b.speeds[r.Service.Name] {
		return b.expectedTime(c, r.now)
	}
	return float64(c.load) / float64(c.slots)
}
