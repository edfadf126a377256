package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxEventBytes = 1 << 20
	// maxSkippedBytes bounds what is skipped between two events of the attempt: other
	// fields, repeated events and those of other attempts. Once that many bytes more
	// were skipped than the whole answer has had so far, the answer has no end.
	maxSkippedBytes = 1 << 20
	// noNumber stands for the number of an event that has none.
	noNumber         = -1
	streamBufferSize = 4 << 10
)

var (
	dataField   = []byte("data:")
	idField     = []byte("id:")
	finishField = []byte(`"finish_reason"`)
	null        = []byte("null")

	droppedEvents = metrics.GetOrCreateCounter("bulrushhinge_endpoint_dropped_events_total")
)

// Stream reads a streamed chat completion, event by event.
//
// An endpoint numbers the events of an answer from 0 in the id field, including
// the end mark. With the numbers, Stream drops repeated events, detects gaps and
// resumes where a broken connection stopped it. An answer without numbers is
// read as received and cannot be resumed.
type Stream struct {
	answer *Answer
	// prefix is the start of the data of nearly every event.
	prefix  []byte
	attempt string
	lines   *bufio.Reader
	// long collects a line that exceeds the buffer.
	long    []byte
	dropped int
	// accepted is the size of the events that were accepted, and skipped that of the
	// lines since the last of them.
	accepted int
	skipped  int
	// next is the number of the next expected event.
	next int
	// numbered is set once the endpoint numbered an event.
	numbered bool
	// finished is set once an event had a finish reason.
	finished bool
	// passed counts the events that Next returned.
	passed  int
	resumes int
	// attemptLost is set once the endpoint no longer knows the attempt or no
	// longer answers.
	attemptLost bool
}

// NewStream returns the Stream of an answer to the given attempt.
func NewStream(a *Answer, attempt string) *Stream {
	return &Stream{
		answer:  a,
		attempt: attempt,
		prefix:  []byte(`{"id":"` + attempt + `"`),
		lines:   bufio.NewReaderSize(a.Body, streamBufferSize),
	}
}

// Next returns the data of the next event as the endpoint wrote it, valid until
// the next call; io.EOF after the end mark; ErrFull if the answer's Meter refuses
// the memory for a long line; or ErrCut if the answer ended without an end mark or
// had a bad event, and could not be resumed. Repeated events and
// those of other attempts are dropped and counted: a late answer, or one to
// another attempt, must never reach another caller.
func (s *Stream) Next() ([]byte, error) {
	for {
		data, err := s.event()
		switch {
		case err == nil:
			s.passed++
			return data, nil
		case errors.Is(err, io.EOF):
			s.answer.complete = true
			return nil, io.EOF
		case errors.Is(err, ErrFull):
			return nil, err
		case !s.resume():
			return nil, s.died(err)
		}
	}
}

// More reports whether the data of a further event is already buffered.
func (s *Stream) More() bool {
	_, after, ok := bytes.Cut(s.peek(), dataField)
	return ok && bytes.IndexByte(after, '\n') >= 0
}

// Passed returns how many events Next returned, roughly the answer's tokens.
func (s *Stream) Passed() int { return s.passed }

// Dropped returns how many repeated events and events of other attempts were
// dropped.
func (s *Stream) Dropped() int { return s.dropped }

// Resumes returns how often a resume of the stream was tried.
func (s *Stream) Resumes() int { return s.resumes }

// Close ends the stream and cancels the attempt if it may still run.
func (s *Stream) Close() error { return s.answer.Close() }

// Decode reads the data of an event.
func Decode(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("%w: %v", ErrCut, err)
	}
	return c, nil
}

// event reads one event: its data, io.EOF for the end mark, or ErrCut.
func (s *Stream) event() ([]byte, error) {
	id := noNumber
	for {
		line, err := s.line()
		data, isData := bytes.CutPrefix(line, dataField)
		data = bytes.TrimSpace(data)
		if s.skipped += len(line); s.skipped > maxSkippedBytes+s.accepted {
			return nil, fmt.Errorf("%w: no event of the attempt in %d bytes", ErrCut, s.skipped)
		}
		switch {
		case isData && string(data) == DoneMark:
			return nil, s.end(id)
		case err == io.EOF:
			return nil, fmt.Errorf("%w: no end mark", ErrCut)
		case errors.Is(err, ErrFull):
			return nil, err
		case err != nil:
			return nil, fmt.Errorf("%w: %w: %v", ErrCut, errConnection, err)
		case !isData:
			if id, err = eventNumber(line, id); err != nil {
				return nil, err
			}
			continue
		}
		accepted, err := s.accept(id, data)
		if accepted || err != nil {
			return data, err
		}
		s.drop()
	}
}

// accept checks an event and reports whether it is the next of the attempt.
func (s *Stream) accept(id int, data []byte) (bool, error) {
	if due, err := s.due(id); err != nil || !due {
		return false, err
	}
	belongs, err := s.belongs(data)
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrCut, err)
	}
	if !belongs {
		return false, nil
	}
	s.next++
	s.accepted += len(data)
	s.skipped = 0
	s.numbered = id != noNumber
	s.finished = s.finished || finishes(data)
	return true, nil
}

// due reports whether an event is the next expected one. It returns false for a
// repeated event and ErrCut for a gap or a missing number.
func (s *Stream) due(id int) (bool, error) {
	switch {
	case id == noNumber && s.numbered:
		return false, fmt.Errorf("%w: event without a number", ErrCut)
	case id == noNumber:
		return true, nil
	case id > s.next:
		return false, fmt.Errorf("%w: got event %d, expected %d", ErrCut, id, s.next)
	}
	return id == s.next, nil
}

// end checks the end mark. It is valid only after an event with a finish reason:
// an engine that lost the connection to its model may still close its stream
// properly.
func (s *Stream) end(id int) error {
	if due, err := s.due(id); err != nil {
		return err
	} else if !due || !s.finished {
		return fmt.Errorf("%w: end mark before the end", ErrCut)
	}
	return io.EOF
}

func (s *Stream) drop() {
	s.dropped++
	droppedEvents.Inc()
}

// belongs reports whether an event belongs to the attempt. Decoding each event
// would be most of a node's cost per token, so only an event that does not begin
// with prefix is decoded.
func (s *Stream) belongs(data []byte) (bool, error) {
	if bytes.HasPrefix(data, s.prefix) && data[len(data)-1] == '}' {
		return true, nil
	}
	var head struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return false, err
	}
	return head.ID == s.attempt, nil
}

// line returns the next line. It returns a last line without a newline together
// with an error, as the line may be truncated anywhere.
func (s *Stream) line() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && len(s.long) == 0 {
			return part, nil
		}
		if full := s.keep(part); full != nil {
			return nil, full
		}
		switch {
		case !errors.Is(err, bufio.ErrBufferFull):
			return s.long, err
		case len(s.long) > maxEventBytes:
			return nil, errors.New("event is too long")
		}
	}
}

// keep adds a part of a line that exceeds the buffer. It reports the memory that this
// takes to the answer's Meter.
func (s *Stream) keep(part []byte) error {
	before := cap(s.long)
	s.long = append(s.long, part...)
	if grown := cap(s.long) - before; grown > 0 && s.answer.Meter != nil {
		return s.answer.Meter(grown)
	}
	return nil
}

// peek returns what is buffered beyond the blank line that ends an event.
func (s *Stream) peek() []byte {
	ahead, err := s.lines.Peek(s.lines.Buffered())
	if err != nil {
		return nil
	}
	return bytes.TrimLeft(ahead, "\r\n")
}

// eventNumber returns the number in an id line, or otherwise for a line with
// another field.
func eventNumber(line []byte, otherwise int) (int, error) {
	text, ok := bytes.CutPrefix(line, idField)
	if !ok {
		return otherwise, nil
	}
	number, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil || number < 0 {
		return 0, fmt.Errorf("%w: event number %q", ErrCut, text)
	}
	return number, nil
}

// finishes reports whether an event has a finish reason. It does not decode the
// event, which would be most of a node's cost per token.
func finishes(data []byte) bool {
	_, after, ok := bytes.Cut(data, finishField)
	return ok && !bytes.HasPrefix(bytes.TrimLeft(after, " :"), null)
}
