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
	// extendShare is the part of a write deadline that passes before it is moved.
	extendShare = 4

	headerType = "Content-Type"
	typeStream = "text/event-stream"
)

// events writes a stream of server-sent events.
type events struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// extend is when the write deadline is moved again.
	extend time.Time
	buffer []byte
}

// isStream reports whether an answer with a header is a stream of events.
func isStream(header http.Header) bool {
	return strings.HasPrefix(header.Get(headerType), typeStream)
}

func newEvents(w http.ResponseWriter, timeout time.Duration) *events {
	return &events{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// begin sets the head of a stream.
func (e *events) begin() {
	e.w.Header().Set(headerType, typeStream)
	e.w.Header().Set("Cache-Control", "no-store")
}

// relay passes a stream on as it comes. The caller sees the end mark only
// after the endpoint's own.
func (e *events) relay(s *endpoint.Stream) error {
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
		// Where the endpoint is ahead, its events go out together.
		if s.More() {
			continue
		}
		if err := e.flush(); err != nil {
			return err
		}
	}
}

// fail ends a cut stream with an event that says so.
func (e *events) fail(p *problem) error {
	data, err := json.Marshal(p.body())
	if err != nil {
		return err
	}
	if err := e.write(data); err != nil {
		return err
	}
	return e.flush()
}

func (e *events) write(data []byte) error {
	e.keepAlive()
	e.buffer = append(e.buffer[:0], "data: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
	_, err := e.w.Write(e.buffer)
	return err
}

func (e *events) flush() error { return e.control.Flush() }

// keepAlive moves the write deadline.
//
// A caller that stops reading would hold its engine and the node's memory until
// the request's deadline; a write that makes no headway fails sooner.
func (e *events) keepAlive() {
	now := time.Now()
	if now.Before(e.extend) {
		return
	}
	e.extend = now.Add(e.timeout / extendShare)
	_ = e.control.SetWriteDeadline(now.Add(e.timeout))
}
