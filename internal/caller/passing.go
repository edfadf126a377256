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

// ticketWriter writes the answer of a ticket's run, at this node or another, to a
// caller. It forwards a stream by complete events, so that an error event can be
// appended wherever the stream breaks. It buffers any other answer until it is
// complete, since a truncated one has no place for an error.
type ticketWriter struct {
	http.ResponseWriter
	events *eventWriter
	held   *reservation
	// header is the header of the answer. It is kept apart so that a refusal
	// sent instead of the answer has none of its fields.
	header http.Header
	status int
	// buffer is the part of the answer that is not forwarded yet.
	buffer []byte
	// started is set once a part of the answer was sent to the caller. errorSent is
	// set while the last forwarded event is an error event.
	started   bool
	errorSent bool
}

func (h *Handler) newTicketWriter(w http.ResponseWriter) *ticketWriter {
	return &ticketWriter{ResponseWriter: w, events: newEventWriter(w, h.config.WriteTimeout), held: h.slots.emptyReservation(), header: http.Header{}}
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (p *ticketWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// Header returns the header of the answer.
func (p *ticketWriter) Header() http.Header { return p.header }

// WriteHeader sets the status. The head of a stream is sent at once.
func (p *ticketWriter) WriteHeader(status int) {
	p.status = status
	if p.streaming() {
		p.writeHead()
	}
}

// Write forwards or buffers a piece of the answer.
func (p *ticketWriter) Write(data []byte) (int, error) {
	if !p.streaming() {
		if err := p.held.grow(len(data)); err != nil {
			return 0, err
		}
	}
	p.buffer = append(p.buffer, data...)
	if !p.streaming() {
		return len(data), nil
	}
	whole := bytes.LastIndex(p.buffer, eventEnd)
	if whole < 0 {
		return len(data), nil
	}
	whole += len(eventEnd)
	if err := p.forward(p.buffer[:whole]); err != nil {
		return 0, err
	}
	p.buffer = append(p.buffer[:0], p.buffer[whole:]...)
	return len(data), nil
}

// FlushError flushes the forwarded data.
func (p *ticketWriter) FlushError() error {
	if !p.started {
		return nil
	}
	return p.events.flush()
}

// finish forwards the rest of a complete answer.
func (p *ticketWriter) finish() error {
	if p.status == 0 {
		return errNoAnswer
	}
	if !p.started {
		p.writeHead()
	}
	return p.forward(p.buffer)
}

// release frees the memory of a buffered answer.
func (p *ticketWriter) release() { p.held.release() }

func (p *ticketWriter) streaming() bool {
	return isStream(p.header)
}

func (p *ticketWriter) writeHead() {
	p.started = true
	maps.Copy(p.ResponseWriter.Header(), p.header)
	p.ResponseWriter.WriteHeader(p.status)
}

func (p *ticketWriter) forward(data []byte) error {
	p.events.extendDeadline()
	p.errorSent = bytes.HasPrefix(lastEvent(data), errorEvent)
	_, err := p.ResponseWriter.Write(data)
	return err
}

// lastEvent returns the last event of data, which must consist of complete
// events.
func lastEvent(data []byte) []byte {
	data = bytes.TrimSuffix(data, eventEnd)
	if i := bytes.LastIndex(data, eventEnd); i >= 0 {
		return data[i+len(eventEnd):]
	}
	return data
}
