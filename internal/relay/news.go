package relay

import (
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
)

const (
	// tellings is how often each piece of news is told to one receiver, as
	// datagrams get lost: 2.5 % of two in a row are 0.06 %.
	tellings = 2
	// newsPerSummary bounds the placements in a summary: some 1.2 KB, 300 new ones
	// a second. What is over waits, newsWaiting at most; the oldest is dropped,
	// as a placement that is told seconds later says little.
	newsPerSummary = 80
	newsWaiting    = 4 * newsPerSummary
	// forgetNews is how long a relay remembers that it has told a placement: the
	// two relays of a zone tell the same, and each node that sends a part of a
	// prompt on tells so again. It is half the time for which a part counts as
	// kept.
	forgetNews = 15 * time.Second
	// seenMost bounds what is remembered: some 600 KB.
	seenMost = 16_384
)

type (
	// outbox is news that waits to be told.
	outbox struct {
		placements []waiting[balance.Placement]
		crashes    []waiting[Crash]
		leaving    []waiting[uint32]
		loads      map[uint32]int
	}

	// waiting is a piece of news and how often it is still to be told.
	waiting[T any] struct {
		news T
		left int
	}

	// seen remembers which news has been passed on lately.
	seen struct {
		placements map[balance.Placement]time.Time
		crashes    map[Crash]time.Time
		leaving    map[uint32]time.Time
	}
)

func newSeen() *seen {
	return &seen{placements: map[balance.Placement]time.Time{}, crashes: map[Crash]time.Time{}, leaving: map[uint32]time.Time{}}
}

// fresh returns what of some news was not seen before, and remembers it.
func (s *seen) fresh(now time.Time, n News) News {
	return News{
		Placements: unseen(s.placements, now, n.Placements), Crashes: unseen(s.crashes, now, n.Crashes),
		Leaving: unseen(s.leaving, now, n.Leaving), EndpointLoads: n.EndpointLoads,
	}
}

func unseen[T comparable](known map[T]time.Time, now time.Time, list []T) []T {
	if len(known) > seenMost {
		clear(known)
	}
	var fresh []T
	for _, item := range list {
		if at, ok := known[item]; ok && now.Sub(at) < forgetNews {
			continue
		}
		known[item] = now
		fresh = append(fresh, item)
	}
	return fresh
}

// forget drops what is too old to matter.
func (s *seen) forget(now time.Time) {
	drop(s.placements, now)
	drop(s.crashes, now)
	drop(s.leaving, now)
}

func drop[T comparable](known map[T]time.Time, now time.Time) {
	for item, at := range known {
		if now.Sub(at) >= forgetNews {
			delete(known, item)
		}
	}
}

// add puts news into the outbox.
func (o *outbox) add(n News) {
	o.placements = wait(o.placements, n.Placements)
	o.crashes = wait(o.crashes, n.Crashes)
	o.leaving = wait(o.leaving, n.Leaving)
	if o.loads == nil {
		o.loads = map[uint32]int{}
	}
	for key, load := range n.EndpointLoads {
		o.loads[key] = load
	}
}

// take returns what is to be told now, once.
func (o *outbox) take() News {
	var n News
	n.Placements, o.placements = told(o.placements)
	n.Crashes, o.crashes = told(o.crashes)
	n.Leaving, o.leaving = told(o.leaving)
	n.EndpointLoads, o.loads = o.loads, nil
	return n
}

// wait adds news to what waits.
func wait[T any](out []waiting[T], list []T) []waiting[T] {
	for _, item := range list {
		out = append(out, waiting[T]{news: item, left: tellings})
	}
	return out[max(len(out)-newsWaiting, 0):]
}

// told returns the news to tell, and what waits after that.
func told[T any](list []waiting[T]) ([]T, []waiting[T]) {
	var now []T
	var rest []waiting[T]
	for i, w := range list {
		if i >= newsPerSummary {
			rest = append(rest, w)
			continue
		}
		now = append(now, w.news)
		if w.left > 1 {
			rest = append(rest, waiting[T]{news: w.news, left: w.left - 1})
		}
	}
	return now, rest
}
