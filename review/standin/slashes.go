package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["slashes"] = slashes }

// slashes plays clients that call a route whose prefix is a single slash. With the
// disruption, some of their paths begin with two slashes, as those of clients that
// join a base with a path do. Each request that runs must run with its own path.
func slashes(s *system, trouble bool) (bool, error) {
	const service = "counter"
	s.configure(1, []fields{route("orders", "/orders/", "unsafe", service, 1)}, []string{service})
	for i := range 3 {
		if _, err := s.startWorker(fmt.Sprintf("w%d", i+1), workerConfig{service: service, pause: 20 * time.Millisecond, slots: 6}); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	s.configure(2, []fields{route("orders", "/orders/", "unsafe", service, 1), route("all", "/", "unsafe", service, 1)}, []string{service})
	time.Sleep(3 * time.Second)
	start := "/"
	if trouble {
		start = "//"
	}
	for i := range 12 {
		target := fmt.Sprintf("%scustomers/%d/cancel/2", start, i)
		if i%2 == 0 {
			target = fmt.Sprintf("/orders//%d/2", i)
		}
		id := fmt.Sprintf("r%d", i)
		s.sent(id, "POST "+target)
		s.send(request{node: s.nodes[i%len(s.nodes)], method: "POST", target: target, id: id, body: fmt.Sprintf("order %d", i)})
	}
	return s.ranChanged(), nil
}

// sent keeps the method and target that a client sends.
func (s *system) sent(id, line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines[id] = line
}

// ranChanged reports whether a worker has run a request with another method or target
// than its client's.
func (s *system) ranChanged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, run := range s.runs {
		id, rest, _ := strings.Cut(strings.TrimPrefix(run, "run "), " ")
		if line, ok := s.lines[id]; ok && !strings.HasPrefix(rest, fmt.Sprintf("line=%q ", line)) {
			s.record.add("BROKEN id=%s: sent %q, %s", id, line, rest)
			changed = true
		}
	}
	return changed
}
