package platform

import (
	"sync"
	"time"
)

type (
	// Status is what a Reader knows of one key, for operators.
	Status struct {
		Key string `json:"key"`
		// Version is the newest version that was taken.
		Version uint64 `json:"version"`
		// Answered is when the platform last answered; zero where it never did.
		Answered time.Time `json:"answered,omitzero"`
		// Changed is when a new version was last taken.
		Changed time.Time `json:"changed,omitzero"`
		// Failures is the number of failed readings since the last good one.
		Failures int `json:"failures"`
		// Error is the last failure; empty once a reading was good again.
		Error string `json:"error,omitempty"`
		// Refused says why the newest value is not used; empty where it is.
		Refused string `json:"refused,omitempty"`
		// Behind is set where the platform last showed an older state than the
		// node has.
		Behind bool `json:"behind"`
	}

	// Meter counts readings, for operators.
	Meter interface {
		// PlatformRead counts one reading of a key and its error, nil for none.
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
