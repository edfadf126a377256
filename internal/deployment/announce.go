package deployment

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// leaveNoticeTTL is how long a leave notice is kept after its endpoint was last
// known.
const leaveNoticeTTL = 10 * time.Minute

type (
	// leaveQueue holds leave notices for the owner goroutine, each with the source
	// that reported it.
	leaveQueue struct {
		mu      sync.Mutex
		sources map[Start]string
		wake    chan struct{}
	}

	// leaveNotice records that an endpoint has announced its leave.
	leaveNotice struct {
		// key is the Key of the endpoint's Start.
		key uint32
		// received is when this node learned of the leave, and lastKnown when the
		// endpoint was last known.
		received, lastKnown time.Time
	}
)

func newLeaveQueue() *leaveQueue {
	return &leaveQueue{sources: map[Start]string{}, wake: make(chan struct{}, 1)}
}

// put queues a leave notice and wakes the owner goroutine.
func (a *leaveQueue) put(start Start, source string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.sources[start]; !ok {
		a.sources[start] = source
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// take empties the queue and returns its notices.
func (a *leaveQueue) take() map[Start]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.sources
	a.sources = map[Start]string{}
	return taken
}

// RecordLeave records that an endpoint has announced its own leave. It gets no new
// requests under this start, whatever the store reports.
func (s *State) RecordLeave(start Start, source string) {
	if _, known := s.Snapshot().leaveNotices[start]; !known {
		s.leaves.put(start, source)
	}
}

// Leaving returns the Keys of the endpoints that have announced their leave while
// the store still lists them as ready, as far as this node learned of it since a
// time.
func (s *State) Leaving(since time.Time) (keys []uint32) {
	for _, a := range s.Snapshot().unstored {
		if !a.received.Before(since) {
			keys = append(keys, a.key)
		}
	}
	return keys
}

// AddLeaving records the leaves that a peer reports. It ignores a Key that two
// endpoints share.
func (s *State) AddLeaving(keys []uint32, source string) {
	snap := s.Snapshot()
	for _, key := range keys {
		if slices.ContainsFunc(snap.unstored, func(a leaveNotice) bool { return a.key == key }) {
			continue
		}
		if list := snap.byKey(key); len(list) == 1 && !list[0].Draining {
			s.RecordLeave(list[0].Start(), source)
		}
	}
}

// byKey returns the endpoints with a Key.
func (s *Snapshot) byKey(key uint32) (list []*Endpoint) {
	for _, service := range s.Endpoints {
		for _, e := range service {
			if e.Start().Key() == key {
				list = append(list, e)
			}
		}
	}
	return list
}

// endpoint returns the endpoint with this start, or nil if it is not known.
func (b *builder) endpoint(start Start) *Endpoint {
	if e := b.endpoints[start.ID]; e != nil && e.Start() == start {
		return e
	}
	return nil
}

// applyLeaves applies the queued leave notices.
func (s *State) applyLeaves(b *builder, now time.Time) {
	changed := false
	for start, source := range s.leaves.take() {
		if _, known := b.leaveNotices[start]; known {
			continue
		}
		b.leaveNotices[start] = leaveNotice{key: start.Key(), received: now, lastKnown: now}
		changed = true
		f := decision.Fields{"endpoint": start.ID, "source": source}
		if !start.Born.IsZero() {
			f["born"] = start.Born.UnixMilli()
		}
		s.config.Log.Event("endpoint.leaving", f)
	}
	if changed {
		s.publish(b)
	}
}

// expireLeaveNotices drops the notices whose endpoints have been unknown for
// leaveNoticeTTL.
func (b *builder) expireLeaveNotices(now time.Time) {
	for start, a := range b.leaveNotices {
		if b.endpoint(start) != nil {
			a.lastKnown = now
			b.leaveNotices[start] = a
		}
	}
	maps.DeleteFunc(b.leaveNotices, func(_ Start, a leaveNotice) bool { return now.Sub(a.lastKnown) >= leaveNoticeTTL })
}

// unstoredLeaves returns the notices that the store does not show yet, for other
// nodes: they read the rest from the store.
func (b *builder) unstoredLeaves() (list []leaveNotice) {
	for start, a := range b.leaveNotices {
		if e := b.endpoint(start); e != nil && !e.Draining {
			list = append(list, a)
		}
	}
	return list
}
