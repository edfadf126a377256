package balance

import (
	"slices"
	"time"
)

const (
	// learntFrom is the least number of tokens from which the rate of reading is
	// learnt: with fewer, an answer's beginning says more about the network.
	learntFrom = 2000
	// rateLearning is the weight of the newest prompt in the rate.
	rateLearning = 0.05
	// busyReading is the part of the latency objective for which an engine may be
	// busy reading before others are looked at.
	busyReading = 0.25
	// quickerBy is how many times more the first engine must have to read than
	// another one, for the request to go there.
	quickerBy = 2
	// moveCost is how many times the tokens of a part count that an engine would
	// have to read though another keeps it: that engine is busy with them, keeps
	// them in place of other parts, and has them read again next time.
	moveCost = 4
	// orderDepth is how many engines of a part's order may be the first to read
	// it: nodes that do not know of each other's choice yet meet at one of them.
	orderDepth = 3
)

// Prompt is the size of a prompt, in tokens.
type Prompt struct {
	// Own are those of the request alone, which no engine keeps.
	Own int
	// Shared are those of the part by which requests share memory.
	Shared int
}

// Read notes that an engine has read a request's prompt, and how long that took;
// with 0, that it will not. How long a cold one took says nothing of any engine
// once it is warm.
func (b *Balancer) Read(now time.Time, c *Choice, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(c.Endpoint.Start(), now).reading -= c.tokens
	if !c.Cold {
		b.learn(c.tokens+c.backlog, took)
	}
	c.tokens = 0
}

// Reading returns the prompt tokens that endpoints are still to read for this
// node's requests, by the Keys of the endpoints' starts.
func (b *Balancer) Reading() map[uint32]int {
	return b.counts(func(o *own) int { return o.reading })
}

func (b *Balancer) learn(tokens int, took time.Duration) {
	if took <= 0 || tokens < learntFrom {
		return
	}
	per := took / time.Duration(tokens)
	if b.perToken == 0 {
		b.perToken = per
	}
	b.perToken += time.Duration(rateLearning * float64(per-b.perToken))
}

// estimate notes in a choice what its engine has to read.
func (b *Balancer) estimate(choice *Choice, c *candidate, r Request) {
	choice.backlog, choice.tokens = c.reading, r.Prompt.Own
	if !c.holds {
		choice.tokens += r.Prompt.Shared
	}
	choice.Reading = time.Duration(choice.backlog+choice.tokens) * b.perToken
}

// quicker returns an engine that would begin the answer much sooner than the one
// that comes first, if that is busy reading.
//
// Engines read prompts one after another. Counted in requests, an engine that has
// begun to read ten thousand tokens looks idle. Short requests would wait behind
// long prompts while the engines beside have nothing to read.
func (b *Balancer) quicker(all []candidate, best *candidate, bound float64, r Request) *candidate {
	if time.Duration(best.reading)*b.perToken <= time.Duration(busyReading*float64(r.Objective)) {
		return best
	}
	kept := slices.ContainsFunc(all, func(c candidate) bool { return c.holds })
	var other *candidate
	for i := range all {
		c := &all[i]
		if c == best || c.closed || c.suspect || float64(c.load) >= bound || (!kept && place(all, c) >= orderDepth) {
			continue
		}
		if other == nil || c.reading < other.reading {
			other = c
		}
	}
	if other == nil {
		return best
	}
	tokens := other.reading
	if kept && !other.holds {
		tokens += moveCost * r.Prompt.Shared
	}
	if quickerBy*tokens < best.reading {
		return other
	}
	return best
}

// place returns how many engines are before one in the part's order.
func place(all []candidate, c *candidate) int {
	n := 0
	for i := range all {
		if all[i].score > c.score {
			n++
		}
	}
	return n
}
