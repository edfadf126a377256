package limit

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// demandTimeConstant is the time constant of the demand average.
	demandTimeConstant = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller
	// may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// wakeThreshold is the relative change of a rate at which waiting requests
	// recompute their wait.
	wakeThreshold = 0.1
)

type (
	// bucket limits one account at one node.
	bucket struct {
		tokens *rate.Limiter
		share  Share
		demand demand
		queue  []*Entry
	}

	// demand is an exponentially decaying average.
	demand struct {
		sum         float64
		decayedAt   time.Time
		lastRequest time.Time
	}
)

func newBucket(now time.Time, s Share) *bucket {
	b := &bucket{tokens: rate.NewLimiter(rate.Limit(s.Rate), burst(s)), share: s}
	b.demand.decayedAt = now
	return b
}

// burst returns a share's burst as rate.Limiter takes it.
func burst(s Share) int { return max(int(s.Burst), 1) }

// resize sets another share.
func (b *bucket) resize(now time.Time, s Share) {
	before := b.share.Rate
	b.share = s
	b.tokens.SetLimitAt(now, rate.Limit(s.Rate))
	b.tokens.SetBurstAt(now, burst(s))
	if math.Abs(s.Rate-before) <= wakeThreshold*before {
		return
	}
	for _, e := range b.queue {
		e.notify()
	}
}

// insert queues a request by higher priority, then earlier deadline, then earlier
// arrival.
func (b *bucket) insert(e *Entry) {
	at, _ := slices.BinarySearchFunc(b.queue, e, compareEntries)
	b.queue = slices.Insert(b.queue, at, e)
}

// admit admits requests from the head of the queue while there are tokens.
//
// A request may be larger than the burst of a small share. It is admitted with a
// full bucket, and the excess is paid back before the next request.
func (b *bucket) admit(now time.Time) {
	for len(b.queue) > 0 {
		e := b.queue[0]
		if b.tokens.TokensAt(now) < b.required(e) {
			return
		}
		if e.ask.Tokens > burst(b.share) {
			b.tokens.SetBurstAt(now, e.ask.Tokens)
		}
		b.tokens.ReserveN(now, e.ask.Tokens)
		b.tokens.SetBurstAt(now, burst(b.share))
		b.queue = b.queue[1:]
		e.finish(entryAdmitted)
	}
}

// required returns the tokens that must be available to admit a request.
func (b *bucket) required(e *Entry) float64 {
	return float64(min(e.ask.Tokens, burst(b.share)))
}

// waitTime returns how long the request at the given index of the queue has to
// wait.
func (b *bucket) waitTime(now time.Time, index int) time.Duration {
	ahead := 0.0
	for _, e := range b.queue[:index] {
		ahead += float64(e.ask.Tokens)
	}
	return b.timeUntil(now, ahead+b.required(b.queue[index]))
}

// timeUntil returns the time until the given number of tokens is available.
func (b *bucket) timeUntil(now time.Time, tokens float64) time.Duration {
	deficit := tokens - b.tokens.TokensAt(now)
	if deficit <= 0 {
		return 0
	}
	if b.share.Rate <= 0 {
		return math.MaxInt64
	}
	seconds := min(deficit/b.share.Rate, (24 * time.Hour).Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// refuseLate refuses at once the requests that would be admitted after their
// deadlines: a caller that learns it only at its deadline can neither retry nor go
// elsewhere in time.
func (b *bucket) refuseLate(now time.Time) {
	ahead := 0.0
	for i := 0; i < len(b.queue); {
		e := b.queue[i]
		wait := b.timeUntil(now, ahead+b.required(e))
		if wait > e.ask.Deadline.Sub(now) {
			b.refuse(e, wait)
			continue
		}
		ahead += float64(e.ask.Tokens)
		i++
	}
}

func (b *bucket) refuse(e *Entry, wait time.Duration) {
	b.remove(e)
	e.retryAfter = min(max(wait, minRetryAfter), maxRetryAfter)
	e.finish(entryRefused)
}

func (b *bucket) remove(e *Entry) {
	if at := slices.Index(b.queue, e); at >= 0 {
		b.queue = slices.Delete(b.queue, at, at+1)
	}
}

// admitAll admits every waiting request, as the account has no limit any more.
func (b *bucket) admitAll() {
	for _, e := range b.queue {
		e.finish(entryAdmitted)
	}
	b.queue = nil
}

func (d *demand) add(now time.Time, tokens float64) {
	d.decay(now)
	d.sum += tokens
	d.lastRequest = now
}

func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return d.sum / demandTimeConstant.Seconds()
}

func (d *demand) idle(now time.Time) bool {
	return now.Sub(d.lastRequest) >= idleTimeout
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		d.sum *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.decayedAt = now
	}
}
