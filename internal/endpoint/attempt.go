package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	attemptsPath  = "/v1/attempts/"
	cancelTimeout = time.Second

	// DefaultResume is the default time that an endpoint has to answer when it
	// is asked to resume or cancel an attempt.
	DefaultResume = 5 * time.Second
)

// Resume requests the answer to an attempt again, starting at event number
// from. It returns ErrLost if the endpoint does not have it, which proves
// nothing: the call may still be on its way. If the endpoint does not answer at
// all, the error also wraps errConnection. An endpoint that sends bytes that are no
// answer has not died: its requests are not suspected of having ended it.
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, attempt string, from int) (*Answer, error) {
	var answered atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { answered.Store(true) },
	})
	query := url.Values{"from": {strconv.Itoa(from)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(addr, attempt)+"?"+query, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLost, err)
	}
	resp, err := c.control.Do(req)
	if err != nil && answered.Load() {
		return nil, fmt.Errorf("%w: %v", ErrLost, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w: %v", ErrLost, errConnection, err)
	}
	if resp.Header.Get(HeaderAttempt) == "" {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", ErrLost, resp.StatusCode)
	}
	return c.answer(ctx, addr, attempt, resp)
}

// Cancel tells an endpoint to stop an attempt. An endpoint that does not know
// the attempt does nothing.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, attempt string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, attemptURL(addr, attempt), nil)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrLost, err)
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrLost, err)
	}
	return resp.Body.Close()
}

// cancelInBackground cancels an attempt in the background, unless the client is
// closed.
//
// Otherwise a handler that ends while the node closes could start a
// cancellation while Close waits for the others: the race detector reports
// this, and the cancellation outlives the client.
func (c *Client) cancelInBackground(addr netip.AddrPort, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = c.Cancel(ctx, addr, attempt)
	})
}

func attemptURL(addr netip.AddrPort, attempt string) string {
	return "http://" + addr.String() + attemptsPath + url.PathEscape(attempt)
}
