package balance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// defaultSlowdownDecay is the time constant with which a reported slowdown decays
	// to usual: endpoints that share their machines are slow for about 0.6 s, so that a
	// report is about half a slow period from its end.
	defaultSlowdownDecay = 300 * time.Millisecond
	// slowdownTTL is the age, in time constants, from which a slowdown is ignored: 2 %
	// of it remain.
	slowdownTTL = 4
	// ownPrecedence is for how long what an endpoint reported to this node is not
	// replaced by what it reported to another, which may be late without the receiver
	// knowing. In the model of plain endpoints at 75 % utilization with slowdowns 1 s
	// late, 92 % of the requests are in time with it, 89 % without, and 91 % by counts.
	ownPrecedence = 150 * time.Millisecond
	// unusualPercent is how far from usual a slowdown is that other nodes should know.
	unusualPercent = 10
	// maxSlowdownPercent is the highest slowdown that is accepted from other nodes.
	maxSlowdownPercent = 10_000
	usualPercent       = 100
	// MaxSlowdowns bounds the slowdowns in one message to 2 KB: a fifth of 1,200
	// endpoints that are slow at the same time.
	MaxSlowdowns = 256
)

type (
	// Report is what an endpoint reports of itself.
	Report struct {
		// Load is the number of its requests, running and waiting.
		Load int
		// Slots is how many it runs at once; 0 if it does not report that.
		Slots int
		// Slowdown is how long work takes there at present, as a multiple of usual; 0
		// if it does not report that.
		Slowdown float64
	}

	// Slowdowns are how long work takes at endpoints at present, in percent of usual, by
	// the Keys of their Starts.
	Slowdowns map[uint32]int

	// slowdown is how long work takes at an endpoint, by its last report.
	slowdown struct {
		// factor is the multiple of usual at a time; 0 if none was reported.
		factor float64
		at     time.Time
		// usualSince is when it was first reported as usual after one that was not.
		usualSince time.Time
	}
)

// SetReport records what an endpoint reports to this node.
func (b *Balancer) SetReport(now time.Time, e *deployment.Endpoint, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := e.Start().Key()
	b.reports.set(key, now, r.Load, r.Slots)
	if r.Slowdown <= 0 {
		return
	}
	b.speeds[e.Service] = true
	local := b.reports.local[key]
	s := slowdown{factor: r.Slowdown, at: now, usualSince: local.slowdown.usualSince}
	if local.slowdown.unusual() && !s.unusual() {
		s.usualSince = now
	}
	local.slowdown, b.reports.latest[key].slowdown = s, s
}

// Slowdowns returns the slowdowns that endpoints have reported to this node since a
// time and that differ from usual, for the other nodes, and those that no longer do.
// They have decayed by their age until now, so that receivers need not know it.
func (b *Balancer) Slowdowns(now, since time.Time) Slowdowns {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := Slowdowns{}
	for key, r := range b.reports.local {
		s := r.slowdown
		if s.factor == 0 || !s.at.After(since) || b.expired(s, now) {
			continue
		}
		if s.unusual() || s.usualSince.After(since) {
			list[key] = percent(b.decayed(s, now))
		}
	}
	return list.Largest(MaxSlowdowns)
}

// AddSlowdowns adds slowdowns received from another node. Invalid ones are ignored, and
// those of endpoints that have just reported to this node.
func (b *Balancer) AddSlowdowns(now time.Time, list Slowdowns) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, p := range list {
		own := b.reports.local[key]
		if !IsSlowdown(p) || own != nil && now.Sub(own.slowdown.at) < ownPrecedence {
			continue
		}
		of(b.reports.latest, key).slowdown = slowdown{factor: float64(p) / usualPercent, at: now}
	}
}

// Slowdown returns how long work probably takes at an endpoint now, as a multiple of
// usual; 1 if nothing is known.
func (b *Balancer) Slowdown(now time.Time, s deployment.Start) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowdown(b.reports.latest[s.Key()], now)
}

// SlowdownsByID returns the known slowdowns that differ from usual, as multiples of it,
// by the IDs of the endpoints, for operators.
func (b *Balancer) SlowdownsByID(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]float64{}
	for s, o := range b.endpoints {
		if p := percent(b.slowdown(b.reports.latest[o.key], now)); p != usualPercent {
			list[s.ID] = float64(p) / usualPercent
		}
	}
	return list
}

// IsSlowdown reports whether a slowdown, in percent of usual, is valid.
func IsSlowdown(percent int) bool { return percent >= 1 && percent <= maxSlowdownPercent }

// DecaySlowdown returns a slowdown, in percent of usual, after a time without a report.
func DecaySlowdown(p int, after time.Duration) int {
	return percent(decay(float64(p)/usualPercent, after, defaultSlowdownDecay))
}

// Largest returns the slowdowns, or a number of those that differ most from usual.
func (s Slowdowns) Largest(most int) Slowdowns {
	if len(s) <= most {
		return s
	}
	keys := slices.SortedFunc(maps.Keys(s), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(deviation(s[b]), deviation(s[a])), cmp.Compare(a, b))
	})
	list := make(Slowdowns, most)
	for _, key := range keys[:most] {
		list[key] = s[key]
	}
	return list
}

func deviation(percent int) int { return max(percent-usualPercent, usualPercent-percent) }

func percent(factor float64) int { return max(int(math.Round(factor*usualPercent)), 1) }

// unusual reports whether the other nodes should know the slowdown.
func (s slowdown) unusual() bool {
	return s.factor > 0 && deviation(percent(s.factor)) >= unusualPercent
}

// slowdown returns how long work probably takes now by a report, which may be nil.
func (b *Balancer) slowdown(r *report, now time.Time) float64 {
	if r == nil {
		return 1
	}
	return b.decayed(r.slowdown, now)
}

// decayed returns how long work probably takes now; 1 if nothing is known.
func (b *Balancer) decayed(s slowdown, now time.Time) float64 {
	if s.factor == 0 || b.expired(s, now) {
		return 1
	}
	return decay(s.factor, now.Sub(s.at), b.config.SlowdownDecay)
}

// knownSlowdown returns how long work probably takes at a candidate now, as a multiple of
// usual, and the age of the report of it; 0 if nothing is known.
func (b *Balancer) knownSlowdown(c *candidate, now time.Time) (factor float64, age time.Duration) {
	r := c.report
	if r == nil || r.slowdown.factor <= 0 || b.expired(r.slowdown, now) {
		return 0, 0
	}
	return b.decayed(r.slowdown, now), now.Sub(r.slowdown.at)
}

func (b *Balancer) expired(s slowdown, now time.Time) bool {
	return now.Sub(s.at) >= slowdownTTL*b.config.SlowdownDecay
}

func decay(factor float64, age, constant time.Duration) float64 {
	return 1 + (factor-1)*math.Exp(-float64(max(age, 0))/float64(constant))
}

// expectedTime returns the expected time until a request would be complete at a candidate
// of a plain service, as a multiple of the usual time of its work. That is the same at
// all endpoints of a service, so that it does not change which is the best.
//
// Reported slots replace the listed ones where they are fewer. An endpoint that reports
// that it is faster than usual is not preferred: it may be fast because it fails.
func (b *Balancer) expectedTime(c *candidate, now time.Time) float64 {
	slots := c.slots
	if r := c.report; r != nil && r.slots > 0 && now.Sub(r.at) < reportTTL {
		slots = min(slots, r.slots)
	}
	return max(b.slowdown(c.report, now), 1) * (1 + float64(c.load)/float64(slots))
}

// isSlow reports whether a slowdown is one that engines are passed over for.
func isSlow(factor float64) bool { return factor >= 1+float64(unusualPercent)/usualPercent }

func (b *Balancer) isSlow(c *candidate, now time.Time) bool { return isSlow(b.slowdown(c.report, now)) }

// prefillTime returns the expected time in which an engine processes some tokens.
//
// A slow period ends while long prompts are processed: with the decay of its report, it
// adds at most the time constant.
func (b *Balancer) prefillTime(c *candidate, tokens int, now time.Time) time.Duration {
	usual := time.Duration(tokens) * b.prefillPerToken
	slowdown := b.slowdown(c.report, now)
	if slowdown <= 1 {
		return usual
	}
	added := min(float64(usual)*(slowdown-1), float64(b.config.SlowdownDecay)*(1-1/slowdown))
	return usual + time.Duration(added)
}

// avoidSlowHolder returns an engine that holds the prompt's part too and would begin the
// answer sooner than best, which is slow at present, or else best. An engine that does
// not hold it would have to process it, which often takes longer than the slow period.
func (b *Balancer) avoidSlowHolder(all []candidate, best *candidate, bound float64, r Request) *candidate {
	if !best.holds {
		return best
	}
	chosen, shortest := best, b.prefillTime(best, best.prefill+r.Prompt.Own, r.now)
	for i := range all {
		c := &all[i]
		if !c.preferred || c.blocked || c.suspect || float64(c.load) >= bound {
			continue
		}
		if t := b.prefillTime(c, c.prefill+r.Prompt.Own, r.now); t < shortest {
			chosen, shortest = c, t
		}
	}
	return chosen
}
