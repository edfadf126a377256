// Package budget bounds how often requests are sent to a service once more,
// over the whole fleet, though each node sees only its own part.
package budget

import (
	"sync"
	"time"
)

const (
	// margin is the part of the fleet's budget that is used at all. The rest
	// covers that nodes count their windows at different moments.
	margin = 0.8
	// buckets is how finely the window slides.
	buckets = 10
)

type (
	// Config is the settings of a Budget.
	Config struct {
		// Ratio and Slack bound the repeats in a Window: Ratio of the
		// service's requests, plus Slack.
		Ratio  float64
		Window time.Duration
		Slack  int
		// Nodes returns how many nodes share the slack.
		Nodes func() int
	}

	// Budget counts requests and repeats of each service.
	Budget struct {
		config   Config
		start    time.Time
		mu       sync.Mutex
		services map[string]*window
	}

	// window counts by the bucket of time; the oldest bucket is only partly
	// within the window and still counts.
	window struct {
		first    [buckets + 1]int
		repeated [buckets + 1]int
		bucket   int64
	}
)

// New returns a budget that nothing has been taken from.
func New(c Config) *Budget {
	return &Budget{config: c, start: time.Now(), services: map[string]*window{}}
}

// Request counts a request of a caller for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.first[w.slot()]++
}

// Repeat takes one repeat from the budget, or reports that there is none left.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	slack := float64(b.config.Slack) / float64(max(b.config.Nodes(), 1))
	allowed := margin * (b.config.Ratio*float64(sum(w.first)) + slack)
	if float64(sum(w.repeated)+1) > allowed {
		return false
	}
	w.repeated[w.slot()]++
	return true
}

func (b *Budget) window(now time.Time, service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	// The time since the start is steady; the time of day may jump.
	bucket := int64(now.Sub(b.start) / (b.config.Window / buckets))
	for range min(bucket-w.bucket, buckets+1) {
		w.bucket++
		w.first[w.slot()], w.repeated[w.slot()] = 0, 0
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
