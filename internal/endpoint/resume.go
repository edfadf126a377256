package endpoint

import (
	"errors"
	"fmt"
	"time"
)

// resumePauses are the delays before each try to resume a stream; their number
// limits the tries for one stream.
var resumePauses = [...]time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

// died adds ErrDied to the error of a broken connection if the endpoint has
// lost the attempt.
func (s *Stream) died(err error) error {
	if s.attemptLost && errors.Is(err, errConnection) {
		return fmt.Errorf("%w: %w", ErrDied, err)
	}
	return err
}

// resume requests the rest of a numbered stream and reports whether the stream
// continues. If no try succeeds, the attempt is lost unless the caller gave up.
// A stream without numbers cannot continue; it is lost if the endpoint no
// longer answers.
func (s *Stream) resume() bool {
	a := s.answer
	if a.client == nil {
		return false
	}
	_ = a.Body.Close()
	for s.resumes < len(resumePauses) {
		pause := resumePauses[s.resumes]
		s.resumes++
		if !sleep(a, pause) {
			return false
		}
		rest, err := a.client.Resume(a.ctx, a.addr, s.attempt, s.next)
		switch {
		case err == nil && s.numbered:
			a.Body = rest.Body
			s.lines.Reset(rest.Body)
			return true
		case err == nil:
			_ = rest.Body.Close()
			return false
		case !s.numbered:
			s.attemptLost = errors.Is(err, errConnection) && a.ctx.Err() == nil
			return false
		}
	}
	s.attemptLost = a.ctx.Err() == nil
	return false
}

func sleep(a *Answer, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}
