package balance

import (
	"slices"
	"time"
)

const (
	// minSampleTokens is the least number of tokens from which the prefill rate is
	// learned: with fewer, the time to the first byte depends more on the network.
	minSampleTokens = 2000
	// sampleWeight is the weight of the newest prompt in the rate.
	sampleWeight = 0.05
	// busyPrefillShare is the fraction of the latency objective for which an engine
	// may have prompts to process before others are considered.
	busyPrefillShare = 0.25
	// shorterBy is how many times shorter the prefill queue of another engine must be
	// than the first one's for the request to go there.
	shorterBy = 2
	// recomputeFactor is the weight of the tokens of a part that an engine would have
	// to process though another holds it: they occupy the engine and displace other
	// parts from its memory, which it then has to process again.
	recomputeFactor = 4
	// orderDepth is how many engines of a part's rendezvous order may be the first to
	// process it: nodes that do not know of each other's choice yet then often choose
	// the same one.
	orderDepth = 3
)

// Prompt is the size of a prompt, in tokens.
type Prompt struct {
	// Own is the number of tokens of this request alone, which no engine holds.
	Own int
	// Shared is the number of tokens of the part that requests share in memory.
	Shared int
}

// PrefillDone records that an engine has processed a request's prompt, and how long that
// took; 0 means that it will not process it. The time of a cold or slow engine is ignored,
// as it does not apply to others.
func (b *Balancer) PrefillDone(now time.Time, c *Choice, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(c.Endpoint.Start(), now).prefill -= c.prefill
	if !c.Cold && !isSlow(c.Slowdown) {
		b.learnPrefillRate(c.prefill+c.backlog, took)
	}
	c.prefill = 0
}

// PendingPrefill returns the number of prompt tokens that endpoints still have to process
// for this node's requests, by the Key of the endpoint's Start.
func (b *Balancer) PendingPrefill() map[uint32]int {
	return b.counts(func(o *endpointState) int { return o.prefill })
}

func (b *Balancer) learnPrefillRate(tokens int, took time.Duration) {
	if took <= 0 || tokens < minSampleTokens {
		return
	}
	per := took / time.Duration(tokens)
	if b.prefillPerToken == 0 {
		b.prefillPerToken = per
	}
	b.prefillPerToken += time.Duration(sampleWeight * float64(per-b.prefillPerToken))
}

// estimatePrefill sets what the chosen engine has to process, and how long that will
// take.
func (b *Balancer) estimatePrefill(choice *Choice, c *candidate, r Request) {
	choice.backlog, choice.prefill = c.prefill, r.Prompt.Own
	if !c.holds {
		choice.prefill += r.Prompt.Shared
	}
	choice.PrefillTime = time.Duration(choice.backlog+choice.prefill) * b.prefillPerToken
}

// avoidPrefillQueue returns an engine that would begin the answer much sooner than
// best, if best has a long prefill queue, or else best.
//
// Engines process prompts one after another. By its number of requests, an engine
// that has begun on ten thousand tokens looks idle. Short requests would wait behind
// long prompts while neighboring engines have nothing to process.
func (b *Balancer) avoidPrefillQueue(all []candidate, best *candidate, bound float64, r Request) *candidate {
	if b.isSlow(best, r.now) {
		best = b.avoidSlowHolder(all, best, bound, r)
	}
	if b.prefillTime(best, best.prefill, r.now) <= time.Duration(busyPrefillShare*float64(r.Objective)) {
		return best
	}
	held := slices.ContainsFunc(all, func(c candidate) bool { return c.holds })
	var other *candidate
	var shortest time.Duration
	for i := range all {
		c := &all[i]
		if c == best || c.blocked || c.suspect || float64(c.load) >= bound || (!held && rank(all, c) >= orderDepth) {
			continue
		}
		if t := b.prefillTime(c, c.prefill, r.now); other == nil || t < shortest {
			other, shortest = c, t
		}
	}
	if other == nil {
		return best
	}
	tokens := other.prefill
	if held && !other.holds {
		tokens += recomputeFactor * r.Prompt.Shared
	}
	if shorterBy*b.prefillTime(other, tokens, r.now) < b.prefillTime(best, best.prefill, r.now) {
		return other
	}
	return best
}

// rank returns the number of engines that precede one in the part's rendezvous order.
func rank(all []candidate, c *candidate) int {
	n := 0
	for i := range all {
		if all[i].score > c.score {
			n++
		}
	}
	return n
}
