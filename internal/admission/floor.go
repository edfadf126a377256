package admission

import (
	"math"
	"time"
)

const (
	// floorShare is the fraction of the served share of all requests below which a
	// kind, an account or a size class is preferred to others. It must not fall below
	// half; the rest is for the time until the preference takes effect.
	floorShare = 0.65
	// kindTolerance is how far the served share of a kind may be behind that of one
	// of equal priority before it is preferred, and urgentMargin how far it is to be
	// ahead of less urgent ones. The gap must not exceed 0.05.
	kindTolerance = 0.01
	urgentMargin  = 0.06
	// floorInterval is how often the floors are compared: often compared with
	// shareWindow.
	floorInterval = 50 * time.Millisecond
	// minCounted is the number of requests over shareWindow from which a served share
	// says something.
	minCounted = 3
	// largeShare and largestShare are the fractions of a kind's requests that are
	// smaller than those of its two size classes.
	largeShare   = 0.7
	largestShare = 0.9
	// quantileStep is the relative change of a learned size per request.
	quantileStep = 0.03
	// sizeFactor is the ratio to the mean from which a request counts as large:
	// requests of about the same size have no classes.
	sizeFactor = 1.25
)

// Size classes of a kind's requests.
const (
	sizeUsual = iota
	// sizeLarge is the fifth of the requests below the largest tenth.
	sizeLarge
	sizeLargest
	sizes
)

type (
	// share counts requests and those of them that were served.
	share struct{ requested, served flow }

	// costKind is the state of one kind of request in a CostQueue.
	costKind struct {
		priority int
		waiting  int
		all      share
		sizes    [sizes]share
		refused  flow
		// latency is the mean time from the slot to the first byte, in seconds.
		latency float64
		// mean is the mean work, and large and largest the sizes from which a request
		// belongs to a class, in seconds.
		mean, large, largest float64
		// below says that the kind, and belowSize that a class, is served too rarely.
		below     bool
		belowSize [sizes]bool
	}
)

func newShare() share {
	return share{requested: flow{window: shareWindow}, served: flow{window: shareWindow}}
}

func newCostKind() *costKind {
	k := &costKind{all: newShare(), refused: flow{window: rateWindow}}
	for i := range k.sizes {
		k.sizes[i] = newShare()
	}
	return k
}

// get returns the fraction that was served, and whether enough was requested to say.
func (s *share) get(now time.Duration) (float64, bool) {
	requested := s.requested.get(now)
	if requested < minCounted {
		return 1, false
	}
	return min(s.served.get(now)/requested, 1), true
}

// learnSize adjusts the sizes of the kind's classes to one request's work, in seconds.
func (k *costKind) learnSize(work float64) {
	const sampleWeight = 0.02
	if work <= 0 {
		return
	}
	if k.mean == 0 {
		k.mean, k.large, k.largest = work, work, work
		return
	}
	k.mean += sampleWeight * (work - k.mean)
	k.large = moveQuantile(k.large, work, largeShare)
	k.largest = max(moveQuantile(k.largest, work, largestShare), k.large)
}

// moveQuantile moves a learned quantile towards that of the values seen.
func moveQuantile(q, value, share float64) float64 {
	if value > q {
		return q * math.Exp(quantileStep*share)
	}
	return q * math.Exp(-quantileStep*(1-share))
}

// size returns the class of a request by its work, in seconds.
func (k *costKind) size(work float64) int {
	switch {
	case work < sizeFactor*k.mean || work < k.large:
		return sizeUsual
	case work < k.largest:
		return sizeLarge
	}
	return sizeLargest
}

// compareShares marks the kinds and size classes that are served too rarely.
func compareShares(now time.Duration, kinds map[string]*costKind, all *share) {
	overall, _ := all.get(now)
	for _, k := range kinds {
		own, known := k.all.get(now)
		k.below = known && (own < floorShare*overall || k.behind(now, own, kinds))
		for i := range k.sizes {
			size, enough := k.sizes[i].get(now)
			k.belowSize[i] = i != sizeUsual && enough && size < floorShare*max(own, overall)
		}
	}
}

// behind reports whether a kind with a served share is served less often than one of
// equal priority, or not more often than a less urgent one.
func (k *costKind) behind(now time.Duration, own float64, kinds map[string]*costKind) bool {
	for _, o := range kinds {
		if o == k || o.priority < k.priority {
			continue
		}
		if other, known := o.all.get(now); known && own < min(other+k.margin(o), 1) {
			return true
		}
	}
	return false
}

// margin is how far the kind's served share is to be ahead of another's.
func (k *costKind) margin(o *costKind) float64 {
	if o.priority > k.priority {
		return urgentMargin
	}
	return -kindTolerance
}

// belowFloor reports whether the account is served so rarely that its requests are
// preferred.
func (a *accounts) belowFloor(now time.Time, name string) bool {
	one := a.byName[name]
	return one != nil && one.requested.Get(now) >= minCounted && one.servedShare(now) < floorShare*a.all.servedShare(now)
}
