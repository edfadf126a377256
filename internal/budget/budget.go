// Package budget limits retries to a service across the fleet, although each node
// sees only its own part of the requests.
package budget

import (
	"sync"
	"time"
)

const (
	// margin is the fraction of the fleet's budget that is used. The rest allows
	// for windows that start at different times on different nodes.
	margin = 0.8
	// buckets is the number of steps in which the window slides.
	buckets = 10
)

type (
	// Config configures a Budget.
	Config struct {
		// Ratio and Slack limit the retries in a Window to Ratio times the
		// service's requests plus Slack.
		Ratio  float64
		Window time.Duration
		Slack  int
		// Nodes returns the number of nodes that share Slack.
		Nodes func() int
	}

	// Budget counts requests and retries of each service.
	Budget struct {
		config   Config
		start    time.Time
		mu       sync.Mutex
		services map[string]*window
	}

	// window counts per time bucket. The oldest bucket is only partly within the
	// window but still counts.
	window struct {
		requests [buckets + 1]int
		retries  [buckets + 1]int
		bucket   int64
	}
)

// New returns an unused budget.
func New(c Config) *Budget {
	return &Budget{config: c, start: time.Now(), services: map[string]*window{}}
}

// Request counts a caller's request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.slot()]++
}

// Allows reports whether a retry is left.
func (b *Budget) Allows(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.window(now, service))
}

// Retry takes one retry from the budget, or returns false if none is left.
func (b *Budget) Retry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if !b.allows(w) {
		return false
	}
	w.retries[w.slot()]++
	return true
}

// Return returns a retry that was taken and not sent. After a step of the window it is
// kept: the step in which it was taken is not known any more.
func (b *Budget) Return(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.retries[w.slot()] = max(w.retries[w.slot()]-1, 0)
}

func (b *Budget) allows(w *window) bool {
	slack := float64(b.config.Slack) / float64(max(b.config.Nodes(), 1))
	return float64(sum(w.retries)+1) <= margin*(b.config.Ratio*float64(sum(w.requests))+slack)
}

func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	// The time since the start is monotonic; the time of day may jump.
	bucket := int64(now.Sub(b.start) / (b.config.Window / buckets))
	for range min(bucket-w.bucket, buckets+1) {
		w.bucket++
		w.requests[w.slot()], w.retries[w.slot()] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

func (w *window) slot() int { return int(w.bucket % (buckets + 1)) }

func sum(list [buckets + 1]int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
