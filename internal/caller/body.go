package caller

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// hold is the share that one request's body has of the memory for bodies.
	hold struct {
		slots *slots
		bytes int64
	}

	// seat is a request with its body and its place among those that wait.
	seat struct {
		body []byte
		held *hold
		// seated gives back the place of a request that waits.
		seated func()
	}
)

// seat takes a place for a request and reads its body.
func (h *Handler) seat(w http.ResponseWriter, r *http.Request, account string) (*seat, *problem) {
	done, p := h.slots.wait(account)
	if p != nil {
		return nil, p
	}
	data, held, p := h.body(w, r)
	if p != nil {
		done()
		return nil, p
	}
	return &seat{body: data, held: held, seated: done}, nil
}

// leave gives back all that the request holds.
func (s *seat) leave() {
	s.seated()
	s.held.release()
}

// body reads a request's body.
//
// A caller that sends its body a byte at a time would hold memory and a place
// on the node without end; the read deadline ends it. It is cleared afterwards,
// as the server reads on to notice callers that hang up.
func (h *Handler) body(w http.ResponseWriter, r *http.Request) ([]byte, *hold, *problem) {
	size := r.ContentLength
	if size < 0 {
		size = h.config.MaxBody
	}
	if size > h.config.MaxBody {
		return nil, nil, largeBody(h.config.MaxBody)
	}
	held, ok := h.slots.hold(size)
	if !ok {
		return nil, nil, fullOfBodies()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(h.config.ReadTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.config.MaxBody))
	if err != nil {
		held.release()
		p := badRequest(err)
		p.close = true
		return nil, nil, p
	}
	_ = control.SetReadDeadline(time.Time{})
	held.shrink(int64(len(data)))
	return data, held, nil
}

// hold reserves memory for a body.
//
// Limits on each body and on the number of requests still allow many gigabytes
// together: the node would be killed for its memory, and every request in
// progress with it. Where the memory for bodies is taken, a request is refused
// before its body is read.
func (s *slots) hold(bytes int64) (*hold, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held+bytes > s.maxHeld {
		return nil, false
	}
	s.held += bytes
	return &hold{slots: s, bytes: bytes}, true
}

// empty returns a hold of nothing yet.
func (s *slots) empty() *hold { return &hold{slots: s} }

// shrink gives back what the body did not need.
func (h *hold) shrink(bytes int64) {
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	h.slots.held -= h.bytes - bytes
	h.bytes = bytes
}

// grow takes more, for an answer that is kept until it is whole.
func (h *hold) grow(bytes int) error {
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	if h.slots.held+int64(bytes) > h.slots.maxHeld {
		return endpoint.ErrFull
	}
	h.slots.held += int64(bytes)
	h.bytes += int64(bytes)
	return nil
}

// release gives back all of it.
func (h *hold) release() { h.shrink(0) }

func largeBody(limit int64) *problem {
	return &problem{
		status: http.StatusRequestEntityTooLarge, kind: "too_large",
		text: fmt.Sprintf("the body is over %d bytes", limit), ran: RanNot, close: true,
	}
}

func fullOfBodies() *problem {
	p := busy(http.StatusServiceUnavailable, "the node holds too many large requests")
	p.close = true
	return p
}
