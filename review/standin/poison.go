package main

import (
	"fmt"
	"time"
)

const (
	poisonPause = 20 * time.Millisecond
	// poisonAfter is when the request that crashes workers comes.
	poisonAfter = 4500 * time.Millisecond
	// backAfter is how long a worker that has crashed is down.
	backAfter = 3 * time.Second
)

func init() { cases["poison"] = poison }

// poison plays a service of three workers, one of whose answers in twenty has neither a
// length nor chunks. With the disruption, a request comes that crashes each worker that
// begins to run it, and its client retries it once. No client may get a part of an answer
// as a whole one.
func poison(s *system, trouble bool) (bool, error) {
	c := workerConfig{service: counter, pause: answerPause, slots: answerSlots, unframed: unframedOne, backAfter: backAfter}
	if err := s.startCounter(c, c, c); err != nil {
		return false, err
	}
	cut, err := s.countCut(poisonPause, func() error {
		time.Sleep(poisonAfter)
		body := "question 0"
		if trouble {
			body = crashBody
		}
		for try := range 2 {
			a := s.send(request{node: s.nodes[try], method: "POST", target: "/lookup/poison/1", id: fmt.Sprintf("p%d", try), body: body})
			if a.status/100 == 2 {
				break
			}
		}
		return nil
	})
	return cut > 0, err
}
