package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

var (
	// ErrLarge is returned where an answer is larger than the reader takes.
	ErrLarge = errors.New("endpoint: answer too large")
	// ErrFull is returned where the reader has no memory left for an answer.
	ErrFull = errors.New("endpoint: no memory for the answer")
)

// Answer is an endpoint's response. The caller closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser

	// Framed says that the body's end is marked, by its length or by a last
	// chunk, so that a cut body can be told from a whole one.
	Framed bool

	// Meter is asked before each piece of a whole answer is kept; an error,
	// ErrFull, ends the reading. Nil keeps all.
	Meter func(bytes int) error

	// whole is set once the answer was read to its proper end.
	whole   bool
	attempt string
	client  *Client
	addr    netip.AddrPort
	ctx     context.Context
}

// metered is a body whose size is accounted for as it is read.
type metered struct {
	io.Reader
	meter func(bytes int) error
}

// ReadAll reads a whole body of at most limit bytes. Where the connection
// breaks, the answer is asked for once more from its beginning. It returns
// ErrCut where the
// body may have been cut: it ended early, or its length was neither announced
// nor marked, so that a broken connection looks like its end.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	data, err := a.read(limit)
	if errors.Is(err, ErrFull) {
		return nil, err
	}
	if err != nil && a.client != nil && a.ctx.Err() == nil {
		data, err = a.readAgain(limit, err)
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCut, err)
	case int64(len(data)) > limit:
		return nil, fmt.Errorf("%w: over %d bytes", ErrLarge, limit)
	case !a.Framed:
		return nil, fmt.Errorf("%w: length unknown", ErrCut)
	}
	a.whole = true
	return data, nil
}

// Close ends the answer. An endpoint that still runs the call is told to stop:
// it cannot tell a caller that gave up from a broken connection, after which
// the stream is asked for again.
func (a *Answer) Close() error {
	err := a.Body.Close()
	if !a.whole && a.client != nil {
		a.client.cancelLater(a.addr, a.attempt)
	}
	return err
}

func (a *Answer) readAgain(limit int64, broken error) ([]byte, error) {
	_ = a.Body.Close()
	again, err := a.client.Resume(a.ctx, a.addr, a.attempt, 0)
	if errors.Is(err, errConnection) {
		return nil, fmt.Errorf("%w: %v", ErrDied, broken)
	}
	if err != nil {
		return nil, broken
	}
	a.Body, a.Framed = again.Body, again.Framed
	return a.read(limit)
}

func (a *Answer) read(limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(&metered{Reader: a.Body, meter: a.Meter}, limit+1))
}

// Read reads a piece and asks whether it may be kept.
func (m *metered) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if m.meter == nil || n == 0 {
		return n, err
	}
	if full := m.meter(n); full != nil {
		return 0, full
	}
	return n, err
}
