package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
)

const (
	// sendsPerUpdate is how often each update is sent to one receiver, as
	// datagrams get lost: with 2.5 % lost, both are in 0.06 % of cases.
	sendsPerUpdate = 2
	// sendsPerCrash is the same for crashes, which are rare: a node that misses one
	// goes on to send a request that ends endpoints.
	sendsPerCrash = 4
	// updatesPerSummary bounds the placements in a summary: some 1.2 KB, 300 new
	// ones a second. Up to maxPending more are queued, and the oldest of these
	// dropped: a placement that arrives seconds late is of little use.
	updatesPerSummary = 80
	maxPending        = 4 * updatesPerSummary
	// seenTTL is how long a relay remembers the updates it passed on: the two
	// relays of a zone send the same ones, and each node that sends a part of a
	// prompt again reports the placement again. It is half the time for which a
	// part counts as cached.
	seenTTL = 15 * time.Second
	// maxSeen bounds the remembered updates: some 600 KB.
	maxSeen = 16_384
	// suspected is the number of crashes of a feature from which on followers receive
	// them. Most requests at an endpoint that ends merely shared it.
	suspected = 2
)

type (
	// outbox is the queue of updates to send.
	outbox struct {
		placements []pending[balance.Placement]
		crashes    []pending[Crash]
		cleared    []pending[Crash]
		unproven   []pending[Crash]
		leaving    []pending[uint32]
		loads      map[uint32]int
		slowdowns  map[uint32]heldSlowdown
	}

	// heldSlowdown is an endpoint's slowdown, in percent, and when the relay got it.
	heldSlowdown struct {
		percent int
		at      time.Time
	}

	// pending is an update and how many sends are left.
	pending[T any] struct {
		update T
		sends  int
	}

	// seen remembers which updates were passed on recently.
	seen struct {
		placements map[balance.Placement]time.Time
		crashes    seenCrashes
		cleared    map[Crash]time.Time
		unproven   seenCrashes
		leaving    map[uint32]time.Time
	}

	// seenCrashes are crashes that were passed on recently.
	seenCrashes struct {
		at        map[Crash]time.Time
		byFeature map[uint64][]Crash
	}
)

func newSeen() *seen {
	return &seen{placements: map[balance.Placement]time.Time{}, crashes: newSeenCrashes(), cleared: map[Crash]time.Time{}, unproven: newSeenCrashes(), leaving: map[uint32]time.Time{}}
}

func newSeenCrashes() seenCrashes {
	return seenCrashes{at: map[Crash]time.Time{}, byFeature: map[uint64][]Crash{}}
}

// append adds updates.
func (n *Updates) append(more Updates) {
	n.Placements = append(n.Placements, more.Placements...)
	n.Crashes = append(n.Crashes, more.Crashes...)
	n.Cleared = append(n.Cleared, more.Cleared...)
	n.Unproven = append(n.Unproven, more.Unproven...)
	n.Leaving = append(n.Leaving, more.Leaving...)
	if n.EndpointLoads == nil {
		n.EndpointLoads = map[uint32]int{}
	}
	maps.Copy(n.EndpointLoads, more.EndpointLoads)
	if n.Slowdowns == nil {
		n.Slowdowns = balance.Slowdowns{}
	}
	maps.Copy(n.Slowdowns, more.Slowdowns)
}

// filter returns the updates that were not seen recently, and remembers them.
func (s *seen) filter(now time.Time, n Updates) Updates {
	return Updates{
		Placements: filterSeen(s.placements, now, n.Placements), Crashes: s.crashes.filter(now, n.Crashes),
		Cleared: filterSeen(s.cleared, now, n.Cleared), Unproven: s.unproven.filter(now, n.Unproven),
		Leaving: filterSeen(s.leaving, now, n.Leaving), EndpointLoads: n.EndpointLoads, Slowdowns: n.Slowdowns,
	}
}

// filter returns the crashes that were not seen recently, and remembers them.
func (s seenCrashes) filter(now time.Time, list []Crash) []Crash {
	fresh := filterSeen(s.at, now, list)
	for _, k := range fresh {
		s.byFeature[k.Feature] = append(s.byFeature[k.Feature], k)
	}
	return fresh
}

// suspects returns the known crashes of the suspected features among those of which
// there is a new one: earlier ones may have been dropped. What has no feature is always
// among them, but only once.
func (s seenCrashes) suspects(fresh []Crash) []Crash {
	var list []Crash
	added := map[uint64]bool{0: true}
	for _, k := range fresh {
		if k.Feature == 0 {
			list = append(list, k)
		}
		if known := s.byFeature[k.Feature]; len(known) >= suspected && !added[k.Feature] {
			added[k.Feature] = true
			list = append(list, known...)
		}
	}
	return list
}

func filterSeen[T comparable](known map[T]time.Time, now time.Time, list []T) []T {
	if len(known) > maxSeen {
		clear(known)
	}
	var fresh []T
	for _, item := range list {
		if at, ok := known[item]; ok && now.Sub(at) < seenTTL {
			continue
		}
		known[item] = now
		fresh = append(fresh, item)
	}
	return fresh
}

// sort puts the crashes of the most suspected features first, and of these the ones
// that were not sent yet.
func (s seenCrashes) sort(list []pending[Crash]) {
	slices.SortStableFunc(list, func(a, b pending[Crash]) int {
		return cmp.Or(len(s.byFeature[b.update.Feature])-len(s.byFeature[a.update.Feature]), b.sends-a.sends)
	})
}

// expire forgets updates older than seenTTL.
func (s *seen) expire(now time.Time) {
	expireEntries(s.placements, now)
	s.crashes.expire(now)
	expireEntries(s.cleared, now)
	s.unproven.expire(now)
	expireEntries(s.leaving, now)
}

func (s seenCrashes) expire(now time.Time) {
	expireEntries(s.at, now)
	clear(s.byFeature)
	for k := range s.at {
		s.byFeature[k.Feature] = append(s.byFeature[k.Feature], k)
	}
}

func expireEntries[T comparable](known map[T]time.Time, now time.Time) {
	for item, at := range known {
		if now.Sub(at) >= seenTTL {
			delete(known, item)
		}
	}
}

// add queues updates.
func (o *outbox) add(now time.Time, n Updates, known *seen) {
	o.placements = enqueue(o.placements, n.Placements)
	o.crashes = known.crashes.enqueue(o.crashes, n.Crashes)
	o.unproven = known.unproven.enqueue(o.unproven, n.Unproven)
	o.cleared = enqueue(o.cleared, n.Cleared)
	o.leaving = enqueue(o.leaving, n.Leaving)
	if o.loads == nil {
		o.loads = map[uint32]int{}
	}
	for key, load := range n.EndpointLoads {
		o.loads[key] = load
	}
	if o.slowdowns == nil {
		o.slowdowns = map[uint32]heldSlowdown{}
	}
	for key, p := range n.Slowdowns {
		if !balance.IsSlowdown(p) {
			// Decayed, it might become valid.
			continue
		}
		o.slowdowns[key] = heldSlowdown{percent: p, at: now}
	}
}

// enqueue adds crashes to a queue, and drops those of the least suspected features beyond
// maxPending.
func (s seenCrashes) enqueue(out []pending[Crash], list []Crash) []pending[Crash] {
	for _, k := range list {
		out = append(out, pending[Crash]{update: k, sends: sendsPerCrash})
	}
	s.sort(out)
	return out[:min(len(out), maxPending)]
}

// take removes and returns the updates to send now.
func (o *outbox) take(now time.Time, known *seen) Updates {
	var n Updates
	known.crashes.sort(o.crashes)
	known.unproven.sort(o.unproven)
	n.Placements, o.placements = dequeue(o.placements)
	n.Crashes, o.crashes = dequeue(o.crashes)
	n.Cleared, o.cleared = dequeue(o.cleared)
	n.Unproven, o.unproven = dequeue(o.unproven)
	n.Leaving, o.leaving = dequeue(o.leaving)
	n.EndpointLoads, o.loads = o.loads, nil
	n.Slowdowns, o.slowdowns = decayed(o.slowdowns, now).Largest(balance.MaxSlowdowns), nil
	return n
}

// decayed returns slowdowns as they probably are by now.
func decayed(held map[uint32]heldSlowdown, now time.Time) balance.Slowdowns {
	list := make(balance.Slowdowns, len(held))
	for key, h := range held {
		list[key] = balance.DecaySlowdown(h.percent, now.Sub(h.at))
	}
	return list
}

// enqueue adds updates to a queue and drops the oldest beyond maxPending.
func enqueue[T any](out []pending[T], list []T) []pending[T] {
	for _, item := range list {
		out = append(out, pending[T]{update: item, sends: sendsPerUpdate})
	}
	return out[max(len(out)-maxPending, 0):]
}

// dequeue returns the updates to send now and the remaining queue.
func dequeue[T any](list []pending[T]) ([]T, []pending[T]) {
	var now []T
	var rest []pending[T]
	for i, w := range list {
		if i >= updatesPerSummary {
			rest = append(rest, w)
			continue
		}
		now = append(now, w.update)
		if w.sends > 1 {
			rest = append(rest, pending[T]{update: w.update, sends: w.sends - 1})
		}
	}
	return now, rest
}
