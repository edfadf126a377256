package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	answerPause = 250 * time.Millisecond
	answerParts = 16
	answerSlots = 128
	// answerTarget is the latency target of plain requests, of which each answer takes
	// answerParts pauses.
	answerTarget  = 8000
	requestLength = 8 * time.Second
	// unframedOne is how many answers a worker sends for each that has neither a length
	// nor chunks.
	unframedOne = 20
	counter     = "counter"
)

// counterRoutes are the routes of safe and unsafe requests and of streams.
func counterRoutes() []fields {
	lookup, booking := route("lookup", "/lookup/", "safe", counter, 2), route("booking", "/booking/", "unsafe", counter, 1)
	lookup["target_latency_ms"], booking["target_latency_ms"] = answerTarget, answerTarget
	return []fields{lookup, booking, route("stream", "/stream/chat/", "streaming", counter, 1)}
}

// startCounter starts a service of some workers, and three nodes.
func (s *system) startCounter(workers ...workerConfig) error {
	s.configure(1, counterRoutes(), []string{counter})
	for i, c := range workers {
		if _, err := s.startWorker(fmt.Sprintf("w%d", i+1), c); err != nil {
			return err
		}
	}
	if err := s.startNodes(3); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// countCut sends requests of all routes at a steady rate, and runs a function meanwhile.
// It returns how many clients got a part of an answer as a whole success.
func (s *system) countCut(pause time.Duration, meanwhile func() error) (int64, error) {
	var cut atomic.Int64
	var running sync.WaitGroup
	for i := range int(requestLength / pause) {
		running.Go(func() {
			time.Sleep(time.Duration(i) * pause)
			path := []string{"/lookup/", "/booking/", "/stream/chat/"}[i/len(s.nodes)%3]
			a := s.send(request{
				node: s.nodes[i%len(s.nodes)], method: "POST", target: fmt.Sprintf("%sitem-%d/%d", path, i, answerParts),
				id: fmt.Sprintf("r%d", i), body: fmt.Sprintf("question %d", i),
			})
			if a.isCut() {
				s.record.add("BROKEN id=r%d: a success whose end is marked, with a part of the server's body", i)
				cut.Add(1)
			}
		})
	}
	err := meanwhile()
	running.Wait()
	return cut.Load(), err
}
