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
	// ErrLarge is returned when an answer exceeds the reader's limit.
	ErrLarge = errors.New("endpoint: answer too large")
	// ErrFull is returned when the reader has no memory left for an answer.
	ErrFull = errors.New("endpoint: no memory for the answer")
)

// Answer is an endpoint's response. The caller closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser

	// Framed is set if the body's end is marked, by its length or by a last
	// chunk, so that a truncated body can be told from a complete one.
	Framed bool

	// Meter is called before ReadAll or a Stream keeps a piece of the answer; an
	// error, ErrFull, ends the read. Nil keeps all.
	Meter func(bytes int) error

	// complete is set once the answer was read to its proper end.
	complete bool
	attempt  string
	client   *Client
	addr     netip.AddrPort
	ctx      context.Context
}

// meteredReader is a body that reports its size to meter as it is read.
type meteredReader struct {
	io.Reader
	meter func(bytes int) error
}

// ReadAll reads a complete body of at most limit bytes. If the connection
// breaks, it requests the answer once more from the beginning. It returns
// ErrCut if the body may be truncated: it ended early, or its end was marked
// neither by a length nor by a last chunk, so that a broken connection looks
// like its end.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	data, err := a.read(limit)
	if errors.Is(err, ErrFull) {
		return nil, err
	}
	if err != nil && a.client != nil && a.ctx.Err() == nil {
		data, err = a.resumeRead(limit, err)
	}
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrCut, err)
	case int64(len(data)) > limit:
		return nil, fmt.Errorf("%w: over %d bytes", ErrLarge, limit)
	case !a.Framed:
		return nil, fmt.Errorf("%w: length unknown", ErrCut)
	}
	a.complete = true
	return data, nil
}

// Close ends the answer and cancels the call if it may still run: the endpoint
// cannot tell a caller that gave up from a broken connection, after which the
// stream is resumed.
func (a *Answer) Close() error {
	err := a.Body.Close()
	if !a.complete && a.client != nil {
		a.client.cancelInBackground(a.addr, a.attempt)
	}
	return err
}

func (a *Answer) resumeRead(limit int64, broken error) ([]byte, error) {
	_ = a.Body.Close()
	again, err := a.client.Resume(a.ctx, a.addr, a.attempt, 0)
	if errors.Is(err, errConnection) && a.ctx.Err() == nil {
		return nil, fmt.Errorf("%w: %v", ErrDied, broken)
	}
	if err != nil {
		return nil, broken
	}
	a.Body, a.Framed = again.Body, again.Framed
	return a.read(limit)
}

func (a *Answer) read(limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(&meteredReader{Reader: a.Body, meter: a.Meter}, limit+1))
}

// Read reads a piece, which it discards if meter returns an error.
func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	if m.meter == nil || n == 0 {
		return n, err
	}
	if full := m.meter(n); full != nil {
		return 0, full
	}
	return n, err
}
