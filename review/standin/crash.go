package main

import "time"

const (
	crashPause = 10 * time.Millisecond
	crashAt    = 5 * time.Second
)

func init() { cases["crash"] = crash }

// crash is like truncated, but the worker crashes without being about to leave.
func crash(s *system, trouble bool) (bool, error) {
	c := workerConfig{service: counter, pause: answerPause, slots: answerSlots}
	first := c
	first.unframed = unframedOne
	if err := s.startCounter(first, c, c, c); err != nil {
		return false, err
	}
	cut, err := s.countCut(crashPause, func() error {
		time.Sleep(crashAt)
		if trouble {
			s.kill("w1")
		}
		return nil
	})
	return cut > 0, err
}
