package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	attemptsNodes   = 44
	attemptsWorkers = 5
	attemptsSlots   = 2
	maxAttempts     = 2
	// mayExceed is how many requests may run on more workers than maxAttempts.
	mayExceed = 3
	// silentFor is how long the workers are silent, and killAfter when the owner is
	// killed, counted from the beginning of their silence.
	silentFor = 1500 * time.Millisecond
	killAfter = 800 * time.Millisecond
	// asked is how many requests are sent in that time, each to another node.
	asked         = 5
	rounds        = 3
	usualRequests = 80
	usualPause    = 40 * time.Millisecond
	metricsPort   = 9464
)

var errNoOwner = errors.New("the service has no owner")

func init() { cases["attempts"] = attempts }

// attempts plays a service that is so small that one node owns it. Three times its workers fall
// silent for a second or so and go on. With the disruption, the owner is killed while they
// are silent. No more than three requests may run on more workers than their route allows.
func attempts(s *system, trouble bool) (bool, error) {
	const service = "counter"
	lookup := route("lookup", "/lookup/", "safe", service, maxAttempts)
	lookup["target_latency_ms"] = 300
	s.configure(1, []fields{lookup}, []string{service})
	for i := range attemptsWorkers {
		if _, err := s.startWorker(fmt.Sprintf("w%d", i+1), workerConfig{service: service, pause: 20 * time.Millisecond, slots: attemptsSlots}); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(attemptsNodes); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		if err := s.silentRound(round, service, trouble); err != nil {
			return false, err
		}
	}
	return s.ranTooOften() > mayExceed, nil
}

// silentRound sends usual requests, and some while the workers are silent.
func (s *system) silentRound(round int, service string, trouble bool) error {
	var running sync.WaitGroup
	for i := range usualRequests {
		time.Sleep(usualPause)
		running.Go(func() { s.send(lookupRequest(s.nodes[i%len(s.nodes)], fmt.Sprintf("u%d-%d", round, i))) })
	}
	running.Wait()
	owner, err := s.owner(service)
	if err != nil {
		return err
	}
	s.record.add("owner=%s", owner.name)
	for _, w := range s.workers {
		s.record.add("silent worker=%s for=%v", w.name, silentFor)
		w.signal(syscall.SIGUSR1)
	}
	began := time.Now()
	// No node is asked in two rounds.
	for i, n := range s.nodes[round*(asked+1) : (round+1)*(asked+1)] {
		if n != owner && i < asked {
			running.Go(func() { s.send(lookupRequest(n, fmt.Sprintf("q%d-%d", round, i))) })
		}
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	if trouble {
		s.record.add("kill node=%s", owner.name)
		owner.signal(syscall.SIGKILL)
		<-owner.done
	}
	running.Wait()
	time.Sleep(3 * time.Second)
	if trouble {
		return s.restart(owner)
	}
	return nil
}

func lookupRequest(node *process, id string) request {
	return request{node: node, method: "POST", target: "/lookup/" + id + "/1", id: id, body: "question " + id}
}

// owner returns the node through which all requests for a service pass.
func (s *system) owner(service string) (*process, error) {
	host, _, err := net.SplitHostPort(s.nodes[len(s.nodes)-1].addr)
	if err != nil {
		return nil, err
	}
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/state", host, metricsPort))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var state struct {
		Owners struct {
			Services map[string]struct{ Owner string } `json:"services"`
		} `json:"owners"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, err
	}
	for _, n := range s.nodes {
		if n.name == state.Owners.Services[service].Owner {
			return n, nil
		}
	}
	return nil, errNoOwner
}

// ranTooOften returns how many requests have run on more than maxAttempts workers.
func (s *system) ranTooOften() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, workers := range s.ranAt {
		if len(workers) > maxAttempts {
			s.record.add("EXCEEDED id=%s: it ran on %d workers", id, len(workers))
			n++
		}
	}
	return n
}
