// Package sse reads server-sent events (text/event-stream) one by one.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventSize is the largest size of an event, in bytes.
const MaxEventSize = 256 << 10

var (
	// ErrTruncated is returned if a stream ended within an event.
	ErrTruncated = errors.New("sse: stream ended within an event")
	// ErrTooLarge is returned for an event larger than MaxEventSize.
	ErrTooLarge = errors.New("sse: event too large")
)

type (
	// Event is one event. Raw is the event as it was sent, with its blank line.
	Event struct {
		Raw []byte
		// ID is the event's ID if HasID is true; an ID that is no number is ignored.
		ID    uint64
		HasID bool
	}

	// Reader reads events from a stream.
	Reader struct{ from *bufio.Reader }
)

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{from: bufio.NewReader(r)} }

// Next returns the next event, or io.EOF if the stream ended after a complete event.
// Its other errors are ErrTruncated, ErrTooLarge and those of the underlying reader.
func (r *Reader) Next() (Event, error) {
	var ev Event
	start := 0
	for {
		line, err := r.from.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.Raw)+len(line) < MaxEventSize {
			ev.Raw = append(ev.Raw, line...)
			continue
		}
		if err != nil {
			return Event{}, readError(err, len(ev.Raw)+len(line))
		}
		ev.Raw = append(ev.Raw, line...)
		if len(ev.Raw) > MaxEventSize {
			return Event{}, ErrTooLarge
		}
		text := bytes.TrimRight(ev.Raw[start:], "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		ev.parseField(text)
		start = len(ev.Raw)
	}
}

func (e *Event) parseField(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return
	}
	e.ID, e.HasID = id, true
}

func readError(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return ErrTruncated
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrTooLarge
	}
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return fmt.Errorf("sse: %w", err)
}
