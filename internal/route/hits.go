package route

import (
	"math/bits"
	"time"
)

// hitBuckets is how many classes of age are told apart; each is twice as long
// as the one before.
const hitBuckets = 20

// hits learns how much of a chat its holder still has, by the time since the
// chat's last turn.
//
// Engines drop what was not used of late, and say so late or not at all. A node
// that takes every hint for true sends a chat to a loaded endpoint for a prefix
// that is gone, and asks for permits that are too small; endpoints would exceed
// their bound in tokens.
type hits struct {
	shares [hitBuckets]float64
}

func newHits() *hits {
	h := &hits{}
	for i := range h.shares {
		h.shares[i] = 1
	}
	return h
}

func bucketOf(age time.Duration) int {
	seconds := uint(max(age, 0) / time.Second)
	return min(bits.Len(seconds), hitBuckets-1)
}

// share is the part of a prefix that is probably held after some time.
func (h *hits) share(age time.Duration) float64 { return h.shares[bucketOf(age)] }

// learn notes what part of a prefix was held.
func (h *hits) learn(age time.Duration, share float64) {
	s := &h.shares[bucketOf(age)]
	*s += learnShare * (min(share, 1) - *s)
}
