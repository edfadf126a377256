package platform

import (
	"sync"
	"time"
)

type (
	// Status is the state of one key that a Reader follows, for operators.
	Status struct {
		Key string `json:"key"`
		// Version is the newest version that was applied.
		Version uint64 `json:"version"`
		// Answered is when the platform last answered; zero if it never did.
		Answered time.Time `json:"answered,omitzero"`
		// Changed is when a new version was last applied.
		Changed time.Time `json:"changed,omitzero"`
		// Failures is the number of failed reads since the last successful one.
		Failures int `json:"failures"`
		// Error is the last failure; empty after a successful read.
		Error string `json:"error,omitempty"`
		// Refused is why the newest value is not used; empty if it is.
		Refused string `json:"refused,omitempty"`
		// Behind is set if the platform last returned an older state than the
		// node has.
		Behind bool `json:"behind"`
	}

	// Meter counts reads, for operators.
	Meter interface {
		// PlatformRead counts one read of a key and its error, nil for none.
		PlatformRead(key string, err error)
	}

	// statuses is the Status of each key. It is safe for concurrent use.
	statuses struct {
		mu   sync.Mutex
		list []*Status
	}
)

func (s *statuses) add(key string) *Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &Status{Key: key}
	s.list = append(s.list, st)
	return st
}

func (s *statuses) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *statuses) all() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Status, len(s.list))
	for i, st := range s.list {
		list[i] = *st
	}
	return list
}
