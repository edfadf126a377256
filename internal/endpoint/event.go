package endpoint

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

const maxEventBytes = 1 << 20

type (
	// event is one server-sent event.
	event struct {
		id   string
		data []byte
	}

	// events reads server-sent events.
	events struct {
		lines *bufio.Scanner
	}
)

func newEvents(r io.Reader) *events {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxEventBytes)
	return &events{lines: lines}
}

// next returns the next event that has data. An event without its closing blank
// line was cut and is not returned.
func (s *events) next() (event, error) {
	var e event
	var has bool
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 {
			if has {
				return e, nil
			}
			e = event{}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = string(value)
		case "data":
			if has {
				e.data = append(e.data, '\n')
			}
			has = true
			e.data = append(e.data, value...)
			if len(e.data) > maxEventBytes {
				return event{}, fmt.Errorf("%w: event over %d bytes", ErrCut, maxEventBytes)
			}
		}
	}
	if err := s.lines.Err(); err != nil {
		return event{}, fmt.Errorf("%w: %w: %v", ErrCut, errConnection, err)
	}
	return event{}, fmt.Errorf("%w: no end mark", ErrCut)
}
