package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

const (
	// The write deadline is extended each time 1/extendFraction of the write
	// timeout has passed.
	extendFraction = 4

	headerType = "Content-Type"
	typeStream = "text/event-stream"
)

// eventWriter writes a stream of server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// nextExtension is the time at which the write deadline is next extended.
	nextExtension time.Time
	buffer        []byte
}

// isStream reports whether the header is that of a stream of events.
func isStream(header http.Header) bool {
	return strings.HasPrefix(header.Get(headerType), typeStream)
}

func newEventWriter(w http.ResponseWriter, timeout time.Duration) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// setHeader sets the header fields of a stream.
func (e *eventWriter) setHeader() {
	e.w.Header().Set(headerType, typeStream)
	e.w.Header().Set("Cache-Control", "no-store")
}

// forward writes a stream as it arrives. It writes the end mark only after it has
// received the endpoint's end mark.
func (e *eventWriter) forward(s *endpoint.Stream) error {
	for {
		data, err := s.Next()
		if errors.Is(err, io.EOF) {
			return e.write([]byte(endpoint.DoneMark))
		}
		if err != nil {
			return err
		}
		if err := e.write(data); err != nil {
			return err
		}
		// Events that have already arrived are flushed together.
		if s.More() {
			continue
		}
		if err := e.flush(); err != nil {
			return err
		}
	}
}

// writeProblem ends a truncated stream with an error event.
func (e *eventWriter) writeProblem(p *problem) error {
	data, err := json.Marshal(p.body())
	if err != nil {
		return err
	}
	if err := e.write(data); err != nil {
		return err
	}
	return e.flush()
}

func (e *eventWriter) write(data []byte) error {
	e.extendDeadline()
	e.buffer = append(e.buffer[:0], "data: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	_, err := e.w.Write(e.buffer)
	return err
}

func (e *eventWriter) flush() error { return e.control.Flush() }

// extendDeadline extends the write deadline.
//
// A caller that stops reading would occupy an engine and the node's memory until
// the request's deadline. The write deadline ends such a request sooner.
func (e *eventWriter) extendDeadline() {
	now := time.Now()
	if now.Before(e.nextExtension) {
		return
	}
	e.nextExtension = now.Add(e.timeout / extendFraction)
	_ = e.control.SetWriteDeadline(now.Add(e.timeout))
}
