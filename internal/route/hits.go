package route

import (
	"math/bits"
	"time"
)

// ageBuckets is the number of age classes; each is twice as long as the one before.
const ageBuckets = 20

// hitRates learns which fraction of a chat its holder still has, by the time since
// the chat's last turn.
//
// Engines evict what was not used recently, and report it late or not at all. A node
// that trusts every hint sends a chat to a loaded endpoint for a prefix that was
// evicted, and requests permits that are too small; endpoints would exceed their
// bound in tokens.
type hitRates struct {
	rates [ageBuckets]float64
}

func newHitRates() *hitRates {
	h := &hitRates{}
	for i := range h.rates {
		h.rates[i] = 1
	}
	return h
}

func bucketOf(age time.Duration) int {
	seconds := uint(max(age, 0) / time.Second)
	return min(bits.Len(seconds), ageBuckets-1)
}

// rate is the fraction of a prefix that is probably still held at an age.
func (h *hitRates) rate(age time.Duration) float64 { return h.rates[bucketOf(age)] }

// learn records the fraction of a prefix that was still held at an age.
func (h *hitRates) learn(age time.Duration, rate float64) {
	r := &h.rates[bucketOf(age)]
	*r += sampleWeight * (min(rate, 1) - *r)
}
