// Package endpoint speaks to the endpoints that run requests: model engines and
// plain services.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

const (
	dialTimeout  = time.Second
	loadTimeout  = 2 * time.Second
	maxLoadBytes = 1 << 16
	idlePerHost  = 64
)

var (
	// ErrNotRun is returned where the endpoint certainly did not run the call.
	ErrNotRun = errors.New("endpoint: not run")
	// ErrLost is returned where nobody knows whether the endpoint ran the call.
	ErrLost = errors.New("endpoint: lost")
	// ErrCut is returned where an answer ended without its end mark.
	ErrCut = errors.New("endpoint: answer cut")
)

type (
	// Call is one attempt at a request.
	Call struct {
		// Attempt is unique over the fleet; the answer must carry it.
		Attempt string
		Method  string
		Path    string
		Type    string
		// Header is further headers that are passed on.
		Header   http.Header
		Body     []byte
		Chat     string
		Priority int
		Deadline time.Time
		// Once marks a call that must not be sent twice.
		Once bool
	}

	// Answer is an endpoint's response. The caller closes Body.
	Answer struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
		// Framed says that the body's end is marked, by its length or by a last
		// chunk, so that a cut body can be told from a whole one.
		Framed bool
	}

	// Dialer opens connections to endpoints.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// ClientConfig is the settings of a Client.
	ClientConfig struct {
		// Dialer opens connections; nil is a net.Dialer with a short timeout.
		Dialer Dialer
	}

	// Client calls endpoints over HTTP. It is safe for concurrent use.
	Client struct {
		shared *http.Client
		single *http.Client
	}
)

// NewClient returns a Client.
//
// The transport of net/http sends a request again when a kept-alive connection
// breaks before the answer and the request looks repeatable; the endpoint might
// run the call twice. Calls marked Once therefore get a connection of their
// own, on which there is nothing to send again.
func NewClient(c ClientConfig) *Client {
	dialer := c.Dialer
	if dialer == nil {
		dialer = &net.Dialer{Timeout: dialTimeout}
	}
	return &Client{
		shared: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			DisableCompression:  true,
		}},
		single: &http.Client{Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		}},
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Do sends a call and returns the head of the answer. It returns ErrNotRun
// where the connection could not be made or the endpoint said so, and ErrLost
// for every other failure.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, call Call) (*Answer, error) {
	req, err := request(ctx, addr, call)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	client := c.shared
	if call.Once {
		client = c.single
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure(err)
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", ErrNotRun, resp.StatusCode)
	}
	if got := resp.Header.Get(HeaderAttempt); got != call.Attempt {
		resp.Body.Close()
		return nil, fmt.Errorf("%w: answer is of attempt %q", ErrLost, got)
	}
	framed := resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Framed: framed}, nil
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

func failure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	return fmt.Errorf("%w: %v", ErrLost, err)
}
