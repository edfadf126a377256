// Package sse reads streams of events (text/event-stream) event by event.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEvent bounds one event.
const MaxEvent = 256 << 10

var (
	// ErrTorn is returned where a stream ended within an event.
	ErrTorn = errors.New("sse: stream ended within an event")
	// ErrLarge is returned for an event over MaxEvent.
	ErrLarge = errors.New("sse: event too large")
)

type (
	// Event is one event as it was sent, its blank line included.
	Event struct {
		Raw []byte
		// ID is the event's ID, if Numbered says that it has one.
		ID       uint64
		Numbered bool
	}

	// Reader reads events.
	Reader struct{ from *bufio.Reader }
)

// NewReader returns a Reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{from: bufio.NewReader(r)} }

// Next returns the next event, and io.EOF at the end between two events. Its
// other errors are those of the stream below, ErrTorn and ErrLarge.
func (r *Reader) Next() (Event, error) {
	var ev Event
	start := 0
	for {
		line, err := r.from.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.Raw)+len(line) < MaxEvent {
			ev.Raw = append(ev.Raw, line...)
			continue
		}
		if err != nil {
			return Event{}, torn(err, len(ev.Raw)+len(line))
		}
		ev.Raw = append(ev.Raw, line...)
		if len(ev.Raw) > MaxEvent {
			return Event{}, ErrLarge
		}
		text := bytes.TrimRight(ev.Raw[start:], "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		ev.field(text)
		start = len(ev.Raw)
	}
}

func (e *Event) field(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return
	}
	e.ID, e.Numbered = id, true
}

func torn(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return ErrTorn
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrLarge
	}
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	return fmt.Errorf("sse: %w", err)
}
