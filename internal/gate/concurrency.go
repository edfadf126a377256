package gate

import (
	"math"
	"time"
)

// Limits of what is learned about one endpoint.
const (
	// LeaseSlack is how much longer than its deadline a request's permit
	// counts, for the return under way.
	LeaseSlack = time.Second

	// cutFactor is what a limit is cut to when a request ran out of time, and
	// cutPause how long the next cut waits, so that the requests that ran out
	// together count as one sign.
	cutFactor = 0.6
	cutPause  = 100 * time.Millisecond
	// bestDecay is how much slower the best pace gets with each request, so
	// that it follows an endpoint that became slower.
	bestDecay = 1.001
	// hopeless is how many times the best time a request must have had to count
	// as a sign: one with less hardly had a chance.
	hopeless = 2.0
	// forget is the time in which half of what was learned of the pace is
	// forgotten while no request ends. Without it, an endpoint that was slow
	// for a moment would be thought too slow for every request, and none would
	// be let in to show that it is not.
	forget = time.Second
)

// concurrency is how many requests one endpoint finishes in time. It is learned
// from those that do and those that don't.
//
// Guards against this failure: under overload hardly any request is answered, though every
// engine is busy. What goes wrong: engines take in more than they finish before the deadlines,
// so that all their work is on answers that come too late. The mean load does not show it,
// since every endpoint is equally late. The limit is cut when requests run out of time and
// grows by one for each round of requests that end well, as a congestion window does.
type concurrency struct {
	// most is the limit; 0 is none.
	most float64
	cut  time.Time
	// best is the least time for one token, in seconds: tokens of a prompt
	// take far less than those of an answer, so that only the least is sure.
	best  float64
	heard time.Time
}

// takes reports whether one more request fits the limit.
func (c *concurrency) takes(requests int) bool {
	return c.most == 0 || float64(requests+1) <= max(c.most, 1)
}

// late reports whether a request cannot be done in the time left, even at the
// best pace.
func (c *concurrency) late(now time.Time, tokens int, left time.Duration) bool {
	silent := now.Sub(c.heard).Seconds() / forget.Seconds()
	best := c.best * math.Exp2(-silent)
	return left.Seconds() < best*float64(tokens)
}

// learn takes in a request that ended while the endpoint ran the given number.
func (c *concurrency) learn(now time.Time, p permit, took time.Duration, requests int) {
	allowed := p.lease - LeaseSlack
	if took < allowed {
		c.done(now, p, took, requests)
		return
	}
	if allowed.Seconds() < hopeless*c.best*float64(p.tokens) || now.Sub(c.cut) < cutPause {
		return
	}
	c.cut = now
	c.most = max(cutFactor*float64(requests), 1)
}

func (c *concurrency) done(now time.Time, p permit, took time.Duration, requests int) {
	if c.most > 0 && float64(requests+1) > c.most {
		c.most += 1 / c.most
	}
	c.heard = now
	pace := took.Seconds() / float64(max(p.tokens, 1))
	if c.best == 0 {
		c.best = pace
	}
	c.best = min(c.best*bestDecay, pace)
}
