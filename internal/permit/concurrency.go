package permit

import (
	"math"
	"time"
)

// Parameters of the concurrency limit.
const (
	// LeaseSlack is how much longer than the request's deadline its permit counts,
	// to cover the time that the release is under way.
	LeaseSlack = time.Second

	// cutFactor is the part of the running requests that the limit is cut to when a
	// request misses its deadline. cutInterval is the least time between two cuts,
	// so that requests that miss their deadlines together count once.
	cutFactor   = 0.6
	cutInterval = 100 * time.Millisecond
	// bestDecay is the factor by which bestPace slows down with each request, so
	// that it follows an endpoint that became slower.
	bestDecay = 1.001
	// minTimeFactor is the least time allowed for a request, as a multiple of its
	// best time, for a miss to count: a request with less had hardly a chance.
	minTimeFactor = 2.0
	// paceHalfLife is the time in which the assumed time per token halves while no
	// request ends. Without it, an endpoint that was slow for a moment would be
	// considered too slow for every request, and none would be admitted to show
	// that it is not.
	paceHalfLife = time.Second
)

// concurrencyLimit is the number of requests that one endpoint can run and still
// finish in time, learned from those that finish in time and those that do not.
//
// It guards against the following failure under overload: engines take in more than
// they can finish before the deadlines, so all their work goes into answers that
// come too late, and hardly any request is answered although every engine is busy.
// The mean load does not show it, since every endpoint is equally late. Like a
// congestion window, the limit is cut when requests miss their deadlines and grows
// by one for each round of requests that end in time.
type concurrencyLimit struct {
	// limit is the number of requests; 0 is no limit.
	limit   float64
	lastCut time.Time
	// bestPace is the shortest time for one token, in seconds. Prompt tokens take
	// far less than generated ones, so only the minimum is certain.
	bestPace    float64
	lastSuccess time.Time
}

// admits reports whether one more request fits the limit.
func (c *concurrencyLimit) admits(requests int) bool {
	return c.limit == 0 || float64(requests+1) <= max(c.limit, 1)
}

// tooLate reports whether a request cannot finish in the remaining time even at the
// best pace.
func (c *concurrencyLimit) tooLate(now time.Time, tokens int, remaining time.Duration) bool {
	halfLives := now.Sub(c.lastSuccess).Seconds() / paceHalfLife.Seconds()
	best := c.bestPace * math.Exp2(-halfLives)
	return remaining.Seconds() < best*float64(tokens)
}

// observe updates the limit with a request that ended while the endpoint ran the
// given number.
func (c *concurrencyLimit) observe(now time.Time, p permit, took time.Duration, requests int) {
	allowed := p.lease - LeaseSlack
	if took < allowed {
		c.recordSuccess(now, p, took, requests)
		return
	}
	if allowed.Seconds() < minTimeFactor*c.bestPace*float64(p.tokens) || now.Sub(c.lastCut) < cutInterval {
		return
	}
	c.lastCut = now
	c.limit = max(cutFactor*float64(requests), 1)
}

func (c *concurrencyLimit) recordSuccess(now time.Time, p permit, took time.Duration, requests int) {
	if c.limit > 0 && float64(requests+1) > c.limit {
		c.limit += 1 / c.limit
	}
	c.lastSuccess = now
	pace := took.Seconds() / float64(max(p.tokens, 1))
	if c.bestPace == 0 {
		c.bestPace = pace
	}
	c.bestPace = min(c.bestPace*bestDecay, pace)
}
