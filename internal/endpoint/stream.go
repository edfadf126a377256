package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// maxResumes bounds how often one stream is asked for again.
const maxResumes = 4

// resumePauses is the time before each try to resume a stream.
var resumePauses = [...]time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}

// Stream reads a streamed chat completion, event by event.
//
// An endpoint numbers the events of an answer from 0 in the id field. By these
// numbers a repeated event is dropped and a gap is found, and after a broken
// connection the stream goes on where it stopped. An answer without numbers is
// read as it comes and cannot be resumed.
type Stream struct {
	answer  *Answer
	attempt string
	events  *events
	// next is the number of the event that comes next.
	next     int
	numbered bool
	finished bool
	resumes  int
	dropped  int
}

// NewStream returns the Stream of an answer to the given attempt.
func NewStream(a *Answer, attempt string) *Stream {
	return &Stream{answer: a, attempt: attempt, events: newEvents(a.Body)}
}

// Next returns the next chunk, io.EOF after the end mark, or ErrCut where the
// answer ended without one. Chunks of other attempts are dropped: a late or
// crossed answer must never reach another caller.
func (s *Stream) Next() (Chunk, error) {
	for {
		c, ok, err := s.read()
		switch {
		case errors.Is(err, ErrCut):
			if !s.resume() {
				return Chunk{}, s.died(err)
			}
		case err != nil:
			return Chunk{}, err
		case ok:
			return c, nil
		}
	}
}

// Dropped returns how many repeated chunks and chunks of other attempts were
// dropped.
func (s *Stream) Dropped() int { return s.dropped }

// Resumes returns how often the stream was asked for again.
func (s *Stream) Resumes() int { return s.resumes }

// Close ends the stream; an endpoint that still runs it is freed.
func (s *Stream) Close() error { return s.answer.Close() }

// read reads one event. It reports whether the event is the next chunk.
func (s *Stream) read() (Chunk, bool, error) {
	e, err := s.events.next()
	if err != nil {
		return Chunk{}, false, err
	}
	repeated, err := s.check(e)
	if err != nil || repeated {
		return Chunk{}, false, err
	}
	if string(e.data) == DoneMark {
		return Chunk{}, false, s.end()
	}
	var c Chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return Chunk{}, false, fmt.Errorf("%w: %v", ErrCut, err)
	}
	if c.ID != s.attempt {
		s.dropped++
		return Chunk{}, false, nil
	}
	s.next++
	for _, choice := range c.Choices {
		s.finished = s.finished || choice.FinishReason != nil
	}
	return c, true, nil
}

// check compares an event's number with the one that comes next.
func (s *Stream) check(e event) (repeated bool, err error) {
	if e.id == "" && !s.numbered {
		return false, nil
	}
	number, err := strconv.Atoi(e.id)
	switch {
	case err != nil:
		return false, fmt.Errorf("%w: event number %q", ErrCut, e.id)
	case number < s.next:
		s.dropped++
		return true, nil
	case number > s.next:
		return false, fmt.Errorf("%w: event %d came where %d was due", ErrCut, number, s.next)
	}
	s.numbered = true
	return false, nil
}

// end takes the end mark. It counts only after a chunk that says why the answer
// finished: an engine that was cut off from its model may still close its
// stream properly.
func (s *Stream) end() error {
	if !s.finished {
		return fmt.Errorf("%w: end mark before the finish", ErrCut)
	}
	s.answer.whole = true
	return io.EOF
}

// died adds ErrDied to the error of a broken connection, unless the caller gave
// the stream up.
func (s *Stream) died(err error) error {
	if s.answer.ctx.Err() == nil && errors.Is(err, errConnection) {
		return fmt.Errorf("%w: %w", ErrDied, err)
	}
	return err
}

// resume asks the endpoint for the rest of a numbered stream and reports
// whether it goes on.
func (s *Stream) resume() bool {
	a := s.answer
	if !s.numbered || a.client == nil {
		return false
	}
	a.Body.Close()
	for s.resumes < maxResumes {
		pause := resumePauses[s.resumes]
		s.resumes++
		if !sleep(a, pause) {
			return false
		}
		rest, err := a.client.Resume(a.ctx, a.addr, s.attempt, s.next)
		if err != nil {
			continue
		}
		a.Body = rest.Body
		s.events = newEvents(rest.Body)
		return true
	}
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
