// Package endpoint is the client for the endpoints that run requests: model
// engines and plain services.
package endpoint

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	dialTimeout  = time.Second
	loadTimeout  = 2 * time.Second
	maxLoadBytes = 1 << 16
	idlePerHost  = 64
	// maxHeadBytes bounds the head of an answer, with the informational responses
	// before it. net/http's own limit of 10 MB exceeds a node's memory if many
	// endpoints send a head without end at once.
	maxHeadBytes = 64 << 10
)

var (
	// ErrNotRun is returned when the endpoint certainly did not run the call.
	ErrNotRun = errors.New("endpoint: not run")
	// ErrLost is returned when it is unknown whether the endpoint ran the call.
	ErrLost = errors.New("endpoint: lost")
	// ErrCut is returned when an answer ended without its end mark or may
	// otherwise be truncated.
	ErrCut = errors.New("endpoint: answer cut")
	// ErrDied is returned, with ErrLost or ErrCut, when the connection broke
	// while the call ran and the endpoint no longer answers, or answers but has
	// lost an attempt that it had begun.
	ErrDied = errors.New("endpoint: died")

	errConnection = errors.New("connection broke")
)

type (
	// Call is one attempt at a request.
	Call struct {
		// Attempt is an ID, unique in the fleet, that the answer must repeat.
		Attempt string
		Method  string
		Path    string
		Type    string
		// Header holds further headers to forward.
		Header   http.Header
		Body     []byte
		Chat     string
		Priority int
		Deadline time.Time
		// Once marks a call that must not be sent twice.
		Once bool
	}

	// Dialer opens connections to endpoints.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// ClientConfig is the settings of a Client.
	ClientConfig struct {
		// Dialer opens connections; nil is a net.Dialer with a short timeout.
		Dialer Dialer
		// Resume is the time that an endpoint has to answer when it is asked to
		// resume or cancel an attempt; 0 is DefaultResume.
		Resume time.Duration
		// OnNotice is called with each notice in an endpoint's answer; it may be
		// nil.
		OnNotice func(addr netip.AddrPort, n Notice)
	}

	// Client calls endpoints over HTTP. It is safe for concurrent use.
	Client struct {
		shared  *http.Client
		oneShot *http.Client
		// control resumes and cancels attempts. It has a timeout, so that an
		// endpoint that accepts a request and never answers cannot block the call.
		control *http.Client
		running sync.WaitGroup
		// mu guards closed, after which no cancellation is started.
		mu     sync.Mutex
		closed bool
	}
)

// NewClient returns a Client.
//
// The transport of net/http retries a request when a kept-alive connection
// breaks before the answer and the request looks idempotent, for instance by an
// Idempotency-Key header; the endpoint might run the call twice. Calls marked
// Once therefore each get a new connection, on which the transport does not
// retry. For the same reason no redirect is followed: a 307 or 308 would send
// the body again.
func NewClient(c ClientConfig) *Client {
	if c.OnNotice == nil {
		c.OnNotice = func(netip.AddrPort, Notice) {}
	}
	dialer := c.Dialer
	if dialer == nil {
		dialer = &net.Dialer{Timeout: dialTimeout}
	}
	return &Client{
		shared: newHTTP(c, &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    idlePerHost,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		control: newHTTP(c, &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    idlePerHost,
			DisableCompression:     true,
			ResponseHeaderTimeout:  cmp.Or(c.Resume, DefaultResume),
			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		oneShot: newHTTP(c, &http.Transport{
			DialContext:            dialer.DialContext,
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}),
	}
}

// Close waits for cancellations in progress and closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
	c.shared.CloseIdleConnections()
	c.oneShot.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Do sends a call and returns the answer, whose body is yet to be read. It
// returns ErrNotRun if no connection was made, so that no byte of the call can
// have been sent, or if the endpoint said so, and ErrLost for every other
// failure.
//
// If the connection breaks before the answer's headers, the call may still be
// running; Do requests its answer once more before it gives up.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) (*Answer, error) {
	answer, err := c.send(ctx, addr, call)
	if !errors.Is(err, ErrLost) {
		return answer, err
	}
	if errors.Is(err, errConnection) && ctx.Err() == nil {
		answer, resumeErr := c.Resume(ctx, addr, call.Attempt, 0)
		if resumeErr == nil {
			return answer, nil
		}
		if errors.Is(resumeErr, errConnection) {
			err = fmt.Errorf("%w: %w", ErrDied, err)
		}
	}
	c.cancelInBackground(addr, call.Attempt)
	return nil, err
}

func (c *Client) send(ctx context.Context, addr netip.AddrPort, call Call) (*Answer, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := request(ctx, addr, call)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	client := c.shared
	if call.Once {
		client = c.oneShot
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure(err, connected.Load())
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderNotRun) != "" {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", ErrNotRun, resp.StatusCode)
	}
	return c.answer(ctx, addr, call.Attempt, resp)
}

// answer checks that a response belongs to the attempt: a late response, or one
// to another attempt, must never reach another caller.
func (c *Client) answer(ctx context.Context, addr netip.AddrPort, attempt string, resp *http.Response) (*Answer, error) {
	if got := resp.Header.Get(HeaderAttempt); got != attempt {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: answer is of attempt %q", ErrLost, got)
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: resp.Body,
		Framed:  resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked"),
		attempt: attempt, client: c, addr: addr, ctx: ctx,
	}, nil
}

// Load reads an endpoint's own report of its load, which lags.
func (c *Client) Load(ctx context.Context, addr netip.AddrPort) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/load", nil)
	if err != nil {
		return LoadReport{}, fmt.Errorf("%w: %v", ErrLost, err)
	}
	resp, err := c.shared.Do(req)
	if err != nil {
		return LoadReport{}, fmt.Errorf("%w: %v", ErrLost, err)
	}
	defer resp.Body.Close()
	var report LoadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&report); err != nil {
		return LoadReport{}, fmt.Errorf("%w: load: %v", ErrLost, err)
	}
	return report, nil
}

func request(ctx context.Context, addr netip.AddrPort, call Call) (*http.Request, error) {
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.Once {
		req.GetBody = nil
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if call.Type != "" {
		req.Header.Set("Content-Type", call.Type)
	}
	req.Header.Set(HeaderAttempt, call.Attempt)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	req.Header.Set(HeaderChat, call.Chat)
	if !call.Deadline.IsZero() {
		req.Header.Set(HeaderDeadline, time.Until(call.Deadline).String())
	}
	return req, nil
}

// failure returns ErrNotRun for a call that cannot have been sent and ErrLost
// for one that may have been: once there is a connection, the endpoint may have
// received the whole call even if writing it failed.
func failure(err error, connected bool) error {
	if connected {
		return fmt.Errorf("%w: %w: %v", ErrLost, errConnection, err)
	}
	return fmt.Errorf("%w: %v", ErrNotRun, err)
}

func newHTTP(c ClientConfig, t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     noticeTransport{next: http1.StrictTransport{Transport: t}, onNotice: c.OnNotice},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
