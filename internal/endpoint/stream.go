package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxEventBytes    = 1 << 20
	streamBufferSize = 4 << 10
)

var (
	dataField = []byte("data:")

	droppedEvents = metrics.GetOrCreateCounter("bulrushhinge_endpoint_dropped_events_total")
)

// Stream reads a streamed chat completion, event by event.
type Stream struct {
	answer *Answer
	// prefix is how the data of nearly every event begins.
	prefix  []byte
	attempt string
	lines   *bufio.Reader
	// long collects a line that the buffer cannot hold.
	long    []byte
	dropped int
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
// the next call; io.EOF after the end mark; or ErrCut where the answer ended
// without one. Events of other attempts are dropped and counted: a late or
// crossed answer must never reach another caller.
func (s *Stream) Next() ([]byte, error) {
	for {
		line, err := s.line()
		data, isData := bytes.CutPrefix(line, dataField)
		data = bytes.TrimSpace(data)
		switch {
		case isData && string(data) == DoneMark:
			return nil, io.EOF
		case err != nil:
			return nil, fmt.Errorf("%w: %v", ErrCut, err)
		case !isData:
			continue
		}
		own, err := s.own(data)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCut, err)
		}
		if own {
			return data, nil
		}
		s.dropped++
		droppedEvents.Inc()
	}
}

// More reports whether something of a further event has already arrived.
func (s *Stream) More() bool { return bytes.IndexByte(s.peek(), '\n') >= 0 }

// Dropped returns how many events of other attempts were dropped.
func (s *Stream) Dropped() int { return s.dropped }

// Close ends the stream; an endpoint that still runs it is freed.
func (s *Stream) Close() error { return s.answer.Body.Close() }

// Decode reads the data of an event.
func Decode(data []byte) (Chunk, error) {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("%w: %v", ErrCut, err)
	}
	return c, nil
}

// own reports whether an event belongs to the attempt. Decoding each event
// would cost most of what a token costs on a node, so only one that does not
// begin as expected is decoded.
func (s *Stream) own(data []byte) (bool, error) {
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

// line returns the next line. A last line without its end comes with an error:
// it may have been cut anywhere.
func (s *Stream) line() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && len(s.long) == 0 {
			return part, nil
		}
		s.long = append(s.long, part...)
		switch {
		case !errors.Is(err, bufio.ErrBufferFull):
			return s.long, err
		case len(s.long) > maxEventBytes:
			return nil, errors.New("event is too long")
		}
	}
}

// peek returns what is buffered beyond the blank line that ends an event.
func (s *Stream) peek() []byte {
	ahead, err := s.lines.Peek(s.lines.Buffered())
	if err != nil {
		return nil
	}
	return bytes.TrimLeft(ahead, "\r\n")
}
