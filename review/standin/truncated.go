package main

import "time"

const (
	truncatedPause = 10 * time.Millisecond
	// leaveAfter is when the first worker reports that it is draining, and crashAfter
	// how long after the store's confirmation it crashes: within drain_ms, for which a
	// sound worker goes on serving.
	leaveAfter = 4 * time.Second
	crashAfter = time.Second
)

func init() { cases["truncated"] = truncated }

// truncated plays a planned replacement of one worker of four, one of whose answers in
// twenty has neither a length nor chunks: a new worker starts and the old one drains.
// With the disruption, the old one crashes while it drains. No client may get a part of
// an answer as a whole one.
func truncated(s *system, trouble bool) (bool, error) {
	c := workerConfig{service: counter, pause: answerPause, slots: answerSlots}
	first := c
	first.unframed = unframedOne
	if err := s.startCounter(first, c, c, c); err != nil {
		return false, err
	}
	cut, err := s.countCut(truncatedPause, func() error {
		time.Sleep(leaveAfter)
		if _, err := s.startWorker("w5", c); err != nil {
			return err
		}
		s.register("w1", c, "draining")
		time.Sleep(crashAfter)
		if trouble {
			s.kill("w1")
		}
		return nil
	})
	return cut > 0, err
}
