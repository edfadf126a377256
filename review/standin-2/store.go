package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the interval at which workers write their entries; an entry
	// lapses after lapseBeats of them.
	heartbeat  = 1200 * time.Millisecond
	lapseBeats = 3
	// entryPath is a private path by which the stand-in workers write their entries.
	entryPath = "/standin/servers/"
)

type (
	// store is a stand-in for the platform's metadata store. All calls are served from
	// memory, and nothing acknowledged is lost.
	store struct {
		mu       sync.Mutex
		items    map[string]item
		log      []item
		revision uint64
		seen     map[string]time.Time
		changed  chan struct{}
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created_rev,omitempty"`
		Removed  bool   `json:"removed,omitempty"`
	}
)

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, seen: map[string]time.Time{}, changed: make(chan struct{})}
}

// put writes an item; the return is the store's confirmation.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) note(i item) {
	s.log = append(s.log, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse removes the entries of workers that have been silent for too long.
func (s *store) lapse() {
	for range time.Tick(100 * time.Millisecond) {
		var gone []string
		s.mu.Lock()
		for key, at := range s.seen {
			if time.Since(at) > lapseBeats*heartbeat {
				gone = append(gone, key)
				delete(s.seen, key)
			}
		}
		s.mu.Unlock()
		for _, key := range gone {
			s.remove(key)
		}
	}
}

// ServeHTTP serves the published read calls, and the workers' writes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id, ok := strings.CutPrefix(r.URL.Path, entryPath); ok {
		value, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		key := "servers/" + id
		s.put(key, value)
		s.mu.Lock()
		s.seen[key] = time.Now()
		s.mu.Unlock()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/bulrushhinge/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after_rev"))
	case "/bulrushhinge/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w io.Writer, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list, "more_pages": false, "store_revision": s.revision})
}

func (s *store) serveWatch(w io.Writer, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.log {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}
