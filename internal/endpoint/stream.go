package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
)

const maxEventBytes = 1 << 20

var dataField = []byte("data:")

// Stream reads a streamed chat completion, event by event.
type Stream struct {
	answer  *Answer
	attempt string
	lines   *bufio.Scanner
	dropped int
}

// NewStream returns the Stream of an answer to the given attempt.
func NewStream(a *Answer, attempt string) *Stream {
	lines := bufio.NewScanner(a.Body)
	lines.Buffer(nil, maxEventBytes)
	return &Stream{answer: a, attempt: attempt, lines: lines}
}

// Next returns the next chunk, io.EOF after the end mark, or ErrCut where the
// answer ended without one. Chunks of other attempts are dropped: a late or
// crossed answer must never reach another caller.
func (s *Stream) Next() (Chunk, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == DoneMark {
			return Chunk{}, io.EOF
		}
		var c Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return Chunk{}, fmt.Errorf("%w: %v", ErrCut, err)
		}
		if c.ID != s.attempt {
			s.dropped++
			continue
		}
		return c, nil
	}
	if err := s.lines.Err(); err != nil {
		return Chunk{}, fmt.Errorf("%w: %v", ErrCut, err)
	}
	return Chunk{}, ErrCut
}

// Dropped returns how many chunks of other attempts were dropped.
func (s *Stream) Dropped() int { return s.dropped }

// Close ends the stream; an endpoint that still runs it is freed.
func (s *Stream) Close() error { return s.answer.Body.Close() }
