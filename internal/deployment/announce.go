package deployment

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// announcedFor is how long an endpoint's word that it leaves is kept after the
// endpoint was last known.
const announcedFor = 10 * time.Minute

type (
	// announcements are those that the owner goroutine has not taken yet, by who
	// has told them.
	announcements struct {
		mu      sync.Mutex
		sources map[Start]string
		news    chan struct{}
	}

	// announced is an endpoint's word that it leaves.
	announced struct {
		// key is that of its start.
		key uint32
		// at is when this node learnt of it, and seen when the endpoint was last
		// known.
		at, seen time.Time
	}
)

func newAnnouncements() *announcements {
	return &announcements{sources: map[Start]string{}, news: make(chan struct{}, 1)}
}

// put adds one and wakes the owner goroutine.
func (a *announcements) put(start Start, source string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.sources[start]; !ok {
		a.sources[start] = source
	}
	select {
	case a.news <- struct{}{}:
	default:
	}
}

// take returns all that wait.
func (a *announcements) take() map[Start]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.sources
	a.sources = map[Start]string{}
	return taken
}

// Leaving notes that an endpoint has said itself that it leaves. It never takes
// requests again under this start, whatever the store says.
func (s *State) Leaving(start Start, source string) {
	if _, known := s.Snapshot().announced[start]; !known {
		s.announcements.put(start, source)
	}
}

// Announced returns the Keys of the endpoints that have said that they leave while
// the store has them as ready, as far as this node learnt of it since a time.
func (s *State) Announced(since time.Time) (keys []uint32) {
	for _, a := range s.Snapshot().untold {
		if !a.at.Before(since) {
			keys = append(keys, a.key)
		}
	}
	return keys
}

// LeavingHeard takes the same from a peer. A Key that two endpoints have says
// nothing.
func (s *State) LeavingHeard(keys []uint32, source string) {
	snap := s.Snapshot()
	for _, key := range keys {
		if slices.ContainsFunc(snap.untold, func(a announced) bool { return a.key == key }) {
			continue
		}
		if list := snap.named(key); len(list) == 1 && !list[0].Draining {
			s.Leaving(list[0].Start(), source)
		}
	}
}

// named returns the endpoints with a Key.
func (s *Snapshot) named(key uint32) (list []*Endpoint) {
	for _, service := range s.Endpoints {
		for _, e := range service {
			if e.Start().Key() == key {
				list = append(list, e)
			}
		}
	}
	return list
}

// endpoint returns a start of an endpoint, nil where it is not known.
func (b *book) endpoint(start Start) *Endpoint {
	if e := b.endpoints[start.ID]; e != nil && e.Start() == start {
		return e
	}
	return nil
}

// announce takes what endpoints have said.
func (s *State) announce(b *book, now time.Time) {
	changed := false
	for start, source := range s.announcements.take() {
		if _, known := b.announced[start]; known {
			continue
		}
		b.announced[start] = announced{key: start.Key(), at: now, seen: now}
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

// forgetAnnounced drops the words of endpoints that are long gone.
func (b *book) forgetAnnounced(now time.Time) {
	for start, a := range b.announced {
		if b.endpoint(start) != nil {
			a.seen = now
			b.announced[start] = a
		}
	}
	maps.DeleteFunc(b.announced, func(_ Start, a announced) bool { return now.Sub(a.seen) >= announcedFor })
}

// untold returns what other nodes are to be told: the store tells them the rest.
func (b *book) untold() (list []announced) {
	for start, a := range b.announced {
		if e := b.endpoint(start); e != nil && !e.Draining {
			list = append(list, a)
		}
	}
	return list
}
