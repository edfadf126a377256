package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

const (
	attemptsPath  = "/v1/attempts/"
	cancelTimeout = time.Second

	// DefaultResume is how long an endpoint may take to answer for a broken
	// attempt.
	DefaultResume = 5 * time.Second
)

// Resume asks for the answer to an attempt again, from the given event on. It
// returns ErrLost where the endpoint does not have it: that proves nothing, for
// the call may still be on its way. Where the endpoint does not answer at all,
// the error tells so.
func (c *Client) Resume(ctx context.Context, addr netip.AddrPort, attempt string, from int) (*Answer, error) {
	query := url.Values{"from": {strconv.Itoa(from)}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, attemptURL(addr, attempt)+"?"+query, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrLost, err)
	}
	resp, err := c.control.Do(req)
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
// it does nothing.
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

// cancelLater cancels an attempt in the background, unless the client is closed.
//
// A handler that is still ending while the node closes would otherwise add to
// the cancellations while Close waits for them, which the race detector reports
// and which leaves a cancellation behind.
func (c *Client) cancelLater(addr netip.AddrPort, attempt string) {
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
