package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

func (b *Balancer) pick(all []candidate, m means, r Request) *candidate {
	if r.Key != "" {
		c := b.pickKeyed(all, m, r)
		if r.Stay && c != nil && c.leaves(all) {
			return nil
		}
		return c
	}
	return b.pickPlain(all)
}

// pickKeyed takes the first endpoint of the key's rendezvous order that is
// under the bound, so that all nodes send what shares a prompt to one endpoint.
// Endpoints that keep the prompt's part go before all others: one that has just
// joined would have to fetch it. One that is busy reading gives way to another.
// Past the bound it takes the least loaded with room.
func (b *Balancer) pickKeyed(all []candidate, m means, r Request) *candidate {
	bound := b.bound(m)
	var best, least, last *candidate
	for i := range all {
		c := &all[i]
		if c.closed {
			continue
		}
		if last == nil || c.load < last.load {
			last = c
		}
		if c.suspect {
			continue
		}
		c.ahead = c.holds && float64(c.load) < stayRatio*m.usable+staySlack
		if float64(c.load) < bound && c.before(best) {
			best = c
		}
		if least == nil || c.load < least.load {
			least = c
		}
	}
	if best != nil {
		return b.quicker(all, best, bound, r)
	}
	return cmp.Or(least, last)
}

// bound is the load from which an endpoint is passed over. The endpoints of an
// evacuated zone count in the mean that it is a multiple of.
func (b *Balancer) bound(m means) float64 {
	return capShare*cmp.Or(b.config.Cap, defaultCap)*m.all + boundSlack
}

// leaves reports whether a prompt would leave the engines that keep it for one
// of the last places of another.
//
// Where places are short, a place comes free somewhere every few milliseconds,
// and rarely where the prompt is kept. Most prompts would move with each request.
// A short wait brings a place at the right engine, and the other goes to somebody
// else.
func (c *candidate) leaves(all []candidate) bool {
	return !c.holds && c.scarce() && slices.ContainsFunc(all, func(o candidate) bool { return o.holds })
}

// scarce reports whether the engine may be full by now.
func (c *candidate) scarce() bool { return float64(c.load) >= scarceShare*float64(c.slots) }

// before reports whether the candidate is preferred to another for a key.
func (c *candidate) before(o *candidate) bool {
	if o == nil || c.ahead != o.ahead {
		return o == nil || c.ahead
	}
	return c.score > o.score
}

// pickPlain takes the better of two endpoints that it draws, by their load for
// their slots. Were the least loaded of all taken, all nodes would take the same
// one until they hear of each other again.
func (b *Balancer) pickPlain(all []candidate) *candidate {
	var sound, rest []*candidate
	for i := range all {
		c := &all[i]
		switch {
		case c.closed:
		case c.suspect:
			rest = append(rest, c)
		default:
			sound = append(sound, c)
		}
	}
	return cmp.Or(b.better(sound), b.better(rest))
}

// better returns the less loaded of two that it draws.
func (b *Balancer) better(list []*candidate) *candidate {
	if len(list) < 2 {
		return slices.Concat(list, []*candidate{nil})[0]
	}
	i := rand.IntN(len(list))
	j := rand.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if b.plainCost(list[j]) < b.plainCost(list[i]) {
		return list[j]
	}
	return list[i]
}

func (b *Balancer) plainCost(c *candidate) float64 {
	cost := float64(c.load) / float64(c.slots)
	if c.endpoint.Zone != b.config.Zone {
		cost += remoteCost
	}
	return cost
}
