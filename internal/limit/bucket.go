package limit

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// demandMemory is the time over which demand is averaged.
	demandMemory = 2 * time.Second
	// refuseFirst and refuseLast bound the time after which a refused caller
	// may come back.
	refuseFirst = 100 * time.Millisecond
	refuseLast  = time.Minute
	// wakePart is the change of a rate, as a part of it, at which waiting
	// requests work out their turn anew.
	wakePart = 0.1
)

type (
	// bucket is one account at one node.
	bucket struct {
		tokens *rate.Limiter
		share  Share
		demand demand
		queue  []*Entry
	}

	// demand is an average that fades.
	demand struct {
		sum   float64
		last  time.Time
		added time.Time
	}
)

func newBucket(now time.Time, s Share) *bucket {
	b := &bucket{tokens: rate.NewLimiter(rate.Limit(s.Rate), burst(s)), share: s}
	b.demand.last = now
	return b
}

// burst returns a share's burst as the library takes it.
func burst(s Share) int { return max(int(s.Burst), 1) }

// resize gives the account another share.
func (b *bucket) resize(now time.Time, s Share) {
	before := b.share.Rate
	b.share = s
	b.tokens.SetLimitAt(now, rate.Limit(s.Rate))
	b.tokens.SetBurstAt(now, burst(s))
	if math.Abs(s.Rate-before) <= wakePart*before {
		return
	}
	for _, e := range b.queue {
		e.notify()
	}
}

// insert puts a request in its place: higher priority first, then the earlier
// deadline, then the earlier arrival.
func (b *bucket) insert(e *Entry) {
	at, _ := slices.BinarySearchFunc(b.queue, e, compareEntries)
	b.queue = slices.Insert(b.queue, at, e)
}

// admit lets requests through from the head while there are tokens.
//
// A request may be larger than the burst of a small share. It is let through
// with a full bucket, and what it took too much is paid back before the next.
func (b *bucket) admit(now time.Time) {
	for len(b.queue) > 0 {
		e := b.queue[0]
		if b.tokens.TokensAt(now) < b.need(e) {
			return
		}
		if e.ask.Tokens > burst(b.share) {
			b.tokens.SetBurstAt(now, e.ask.Tokens)
		}
		b.tokens.ReserveN(now, e.ask.Tokens)
		b.tokens.SetBurstAt(now, burst(b.share))
		b.queue = b.queue[1:]
		e.end(entryAdmitted)
	}
}

// need returns the tokens that must be there for a request to go.
func (b *bucket) need(e *Entry) float64 {
	return float64(min(e.ask.Tokens, burst(b.share)))
}

// turn returns how long the request at an index has to wait.
func (b *bucket) turn(now time.Time, index int) time.Duration {
	ahead := 0.0
	for _, e := range b.queue[:index] {
		ahead += float64(e.ask.Tokens)
	}
	return b.after(now, ahead+b.need(b.queue[index]))
}

// after returns the time until so many tokens are there.
func (b *bucket) after(now time.Time, tokens float64) time.Duration {
	missing := tokens - b.tokens.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	if b.share.Rate <= 0 {
		return math.MaxInt64
	}
	seconds := min(missing/b.share.Rate, (24 * time.Hour).Seconds())
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// sweep refuses the requests whose turn comes after their deadline, at once: a
// caller that learns it at its deadline can neither come back nor go elsewhere
// in time.
func (b *bucket) sweep(now time.Time) {
	ahead := 0.0
	for i := 0; i < len(b.queue); {
		e := b.queue[i]
		turn := b.after(now, ahead+b.need(e))
		if turn > e.ask.Deadline.Sub(now) {
			b.refuse(e, turn)
			continue
		}
		ahead += float64(e.ask.Tokens)
		i++
	}
}

func (b *bucket) refuse(e *Entry, turn time.Duration) {
	b.remove(e)
	e.retry = min(max(turn, refuseFirst), refuseLast)
	e.end(entryRefused)
}

func (b *bucket) remove(e *Entry) {
	if at := slices.Index(b.queue, e); at >= 0 {
		b.queue = slices.Delete(b.queue, at, at+1)
	}
}

// release lets every waiting request go: the account has no limit any more.
func (b *bucket) release() {
	for _, e := range b.queue {
		e.end(entryAdmitted)
	}
	b.queue = nil
}

func (d *demand) add(now time.Time, tokens float64) {
	d.fade(now)
	d.sum += tokens
	d.added = now
}

func (d *demand) rate(now time.Time) float64 {
	d.fade(now)
	return d.sum / demandMemory.Seconds()
}

func (d *demand) idle(now time.Time) bool {
	return now.Sub(d.added) >= idleBucket
}

func (d *demand) fade(now time.Time) {
	if passed := now.Sub(d.last); passed > 0 {
		d.sum *= math.Exp(-passed.Seconds() / demandMemory.Seconds())
		d.last = now
	}
}
