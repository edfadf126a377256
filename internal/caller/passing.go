package caller

import (
	"bytes"
	"errors"
	"maps"
	"net/http"
)

var (
	errNoAnswer = errors.New("caller: the other node gave no answer")

	eventEnd   = []byte("\n\n")
	errorEvent = []byte(`data: {"error":`)
)

// passing is the writer of an answer that comes piece by piece from the run of a
// ticket, at this node or another. It passes a stream on by whole events, so that
// one more can follow wherever it ends, and any other answer once that is whole:
// one that breaks off cannot say so.
type passing struct {
	http.ResponseWriter
	events *events
	held   *hold
	// header is that of the answer; a refusal in its place has none of it.
	header http.Header
	status int
	// rest is what is not passed on yet.
	rest []byte
	// begun is set once the caller was given some of the answer, told while the
	// last event of a stream says why it ends early.
	begun bool
	told  bool
}

func (h *Handler) newPassing(w http.ResponseWriter) *passing {
	return &passing{ResponseWriter: w, events: newEvents(w, h.config.WriteTimeout), held: h.slots.empty(), header: http.Header{}}
}

// Unwrap returns the writer below, for http.ResponseController.
func (p *passing) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// Header returns the header of the answer.
func (p *passing) Header() http.Header { return p.header }

// WriteHeader takes the head of the answer.
func (p *passing) WriteHeader(status int) {
	p.status = status
	if p.streams() {
		p.begin()
	}
}

// Write takes a piece of the answer.
func (p *passing) Write(data []byte) (int, error) {
	if !p.streams() {
		if err := p.held.grow(len(data)); err != nil {
			return 0, err
		}
	}
	p.rest = append(p.rest, data...)
	if !p.streams() {
		return len(data), nil
	}
	whole := bytes.LastIndex(p.rest, eventEnd)
	if whole < 0 {
		return len(data), nil
	}
	whole += len(eventEnd)
	if err := p.pass(p.rest[:whole]); err != nil {
		return 0, err
	}
	p.rest = append(p.rest[:0], p.rest[whole:]...)
	return len(data), nil
}

// FlushError sends what was passed on.
func (p *passing) FlushError() error {
	if !p.begun {
		return nil
	}
	return p.events.flush()
}

// finish passes on the rest of an answer that came whole.
func (p *passing) finish() error {
	if p.status == 0 {
		return errNoAnswer
	}
	if !p.begun {
		p.begin()
	}
	return p.pass(p.rest)
}

// release gives back the memory of an answer that is not a stream.
func (p *passing) release() { p.held.release() }

func (p *passing) streams() bool {
	return isStream(p.header)
}

func (p *passing) begin() {
	p.begun = true
	maps.Copy(p.ResponseWriter.Header(), p.header)
	p.ResponseWriter.WriteHeader(p.status)
}

func (p *passing) pass(data []byte) error {
	p.events.keepAlive()
	p.told = bytes.HasPrefix(lastEvent(data), errorEvent)
	_, err := p.ResponseWriter.Write(data)
	return err
}

// lastEvent returns the last of some whole events.
func lastEvent(data []byte) []byte {
	data = bytes.TrimSuffix(data, eventEnd)
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		return data[i+len(eventEnd):]
	}
	return data
}
