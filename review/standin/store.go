package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems   = 500
	historyKept = 20 * time.Second
)

type (
	// store is a stand-in for the platform's store. It keeps its items in memory.
	store struct {
		mu       sync.Mutex
		items    map[string]item
		history  []item
		revision uint64
		era      uint64
		oldest   uint64
		changed  chan struct{}
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision uint64 `json:"revision"`
		Created  uint64 `json:"created_rev"`
		Lease    uint64 `json:"lease"`
		Removed  bool   `json:"removed,omitempty"`

		at time.Time
	}

	page struct {
		Items    []item `json:"items,omitempty"`
		Events   []item `json:"events,omitempty"`
		More     bool   `json:"more_pages"`
		Revision uint64 `json:"store_revision"`
	}
)

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, era: 1, changed: make(chan struct{})}
}

// put writes an item as JSON and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Removed: true}) }

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created, i.at = s.revision, s.revision, time.Now()
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyKept {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

// ServeHTTP serves kv-key, kv-range and kv-watch.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	switch r.URL.Path {
	case "/bulrushhinge/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/bulrushhinge/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after_rev"))
	case "/bulrushhinge/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		item
		Store uint64 `json:"store_revision"`
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	p := page{Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			p.Items = append(p.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Items) > pageItems {
		p.Items, p.More = p.Items[:pageItems], true
	}
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		p, changed := page{Revision: s.revision}, s.changed
		gone := after < s.oldest || after > s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				p.Events = append(p.Events, i)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(p.Events) > 0 {
			_ = json.NewEncoder(w).Encode(p)
			return
		}
		select {
		case <-changed:
		case <-end:
			_ = json.NewEncoder(w).Encode(p)
			return
		case <-r.Context().Done():
			return
		}
	}
}
