package admission

import (
	"maps"
	"sync"
	"time"
)

const (
	// workSample is the weight of one request in the learned times in a slot: some 50
	// requests determine the mean.
	workSample = 0.02
	// maxWorkRatio bounds how far an estimate is from the mean. The relation of time
	// and tokens is learned from the sizes that occur, and says little about others.
	maxWorkRatio = 10
)

type (
	// WorkEstimator learns how long requests occupy a slot, by kind and number of
	// tokens. It is safe for concurrent use.
	WorkEstimator struct {
		mu    sync.Mutex
		kinds map[string]*workKind
	}

	// workKind holds the moving means of the tokens x and the seconds y of a kind.
	workKind struct {
		x, y, xx, xy float64
		n            int
	}
)

// NewWorkEstimator returns a WorkEstimator that has seen no request.
func NewWorkEstimator() *WorkEstimator { return &WorkEstimator{kinds: map[string]*workKind{}} }

// Observe records how long a request of a kind was in its slot.
func (e *WorkEstimator) Observe(kind string, tokens int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kinds[kind]
	if k == nil {
		if len(e.kinds) >= maxKinds {
			// Kinds that are in use are learned again from their next request.
			maps.DeleteFunc(e.kinds, func(string, *workKind) bool { return true })
		}
		k = &workKind{}
		e.kinds[kind] = k
	}
	k.n++
	x, y, weight := float64(tokens), took.Seconds(), max(workSample, 1/float64(k.n))
	k.x += weight * (x - k.x)
	k.y += weight * (y - k.y)
	k.xx += weight * (x*x - k.xx)
	k.xy += weight * (x*y - k.xy)
}

// Work returns the expected time in a slot of a request; 0 if nothing is known of its
// kind.
func (e *WorkEstimator) Work(kind string, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kinds[kind]
	if k == nil {
		return 0
	}
	work, variance := k.y, k.xx-k.x*k.x
	if slope := k.xy - k.x*k.y; variance > 0 && slope > 0 {
		work += slope / variance * (float64(tokens) - k.x)
	}
	work = min(max(work, k.y/maxWorkRatio), k.y*maxWorkRatio)
	return time.Duration(work * float64(time.Second))
}
