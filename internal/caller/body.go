package caller

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// reservation is memory that is reserved for one request's body or answer.
	reservation struct {
		slots *slots
		bytes int64
	}

	// pendingRequest is a received request with its body, the memory reserved for
	// it and its slot among the waiting requests.
	pendingRequest struct {
		body []byte
		held *reservation
		// stopWaiting frees the slot of the waiting request.
		stopWaiting func()
	}
)

// receive takes a slot among the waiting requests and reads the request's body.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request, account string) (*pendingRequest, *problem) {
	done, p := h.slots.startWaiting(account)
	if p != nil {
		return nil, p
	}
	data, held, p := h.readBody(w, r)
	if p != nil {
		done()
		return nil, p
	}
	return &pendingRequest{body: data, held: held, stopWaiting: done}, nil
}

// release frees the slot and the memory of the request.
func (s *pendingRequest) release() {
	s.stopWaiting()
	s.held.release()
}

// readBody reads a request's body.
//
// The read deadline keeps a caller that sends its body byte by byte from
// occupying memory and a slot indefinitely. It is cleared afterwards, since the
// server keeps reading to detect callers that disconnect.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *reservation, *problem) {
	size := r.ContentLength
	if size < 0 {
		size = h.config.MaxBody
	}
	if size > h.config.MaxBody {
		return nil, nil, bodyTooLarge(h.config.MaxBody)
	}
	held, ok := h.slots.reserve(size)
	if !ok {
		return nil, nil, bodyMemoryFull()
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

// reserve reserves memory for a body. If it returns false, the request is refused
// before its body is read.
//
// The limits on the size of a body and on the number of requests still allow many
// gigabytes in total. The node would run out of memory and be killed with all
// requests in progress.
func (s *slots) reserve(bytes int64) (*reservation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held+bytes > s.maxHeld {
		return nil, false
	}
	s.held += bytes
	return &reservation{slots: s, bytes: bytes}, true
}

// emptyReservation returns a reservation of zero bytes.
func (s *slots) emptyReservation() *reservation { return &reservation{slots: s} }

// shrink reduces the reservation to the given size.
func (h *reservation) shrink(bytes int64) {
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	h.slots.held -= h.bytes - bytes
	h.bytes = bytes
}

// grow reserves more memory, for an answer that is buffered until it is complete.
// It returns endpoint.ErrFull if there is not enough.
func (h *reservation) grow(bytes int) error {
	h.slots.mu.Lock()
	defer h.slots.mu.Unlock()
	if h.slots.held+int64(bytes) > h.slots.maxHeld {
		return endpoint.ErrFull
	}
	h.slots.held += int64(bytes)
	h.bytes += int64(bytes)
	return nil
}

// release frees the whole reservation.
func (h *reservation) release() { h.shrink(0) }

func bodyTooLarge(limit int64) *problem {
	return &problem{
		status: http.StatusRequestEntityTooLarge, kind: "too_large",
		text: fmt.Sprintf("the body is over %d bytes", limit), ran: RanNot, close: true,
	}
}

func bodyMemoryFull() *problem {
	p := busy(http.StatusServiceUnavailable, "the node holds too many large requests")
	p.close = true
	return p
}
