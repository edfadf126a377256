package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// extendShare is the part of a write deadline that passes before it is moved.
const extendShare = 4

// events writes a stream of server-sent events.
type events struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	// extend is when the write deadline is moved again.
	extend time.Time
	buffer []byte
	// begun is set once something was written.
	begun bool
}

func newEvents(w http.ResponseWriter, timeout time.Duration) *events {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return &events{w: w, control: http.NewResponseController(w), timeout: timeout}
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
func (e *events) fail(p *problem) {
	data, err := json.Marshal(p.body())
	if err != nil {
		return
	}
	_ = e.write(data)
	_ = e.flush()
}

func (e *events) write(data []byte) error {
	e.begun = true
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
