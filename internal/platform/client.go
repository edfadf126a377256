// Package platform reads what the operators' platform publishes: the accepted
// configuration and the lagging list of instances. It never writes.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

const (
	// KeyAccepted is the key of the newest accepted record.
	KeyAccepted = "accepted"
	// KeyInstances is the key of the instance list.
	KeyInstances = "instances"
	// PrefixManifest is the prefix of the keys that hold configuration by
	// digest.
	PrefixManifest = "manifest/"

	// HeaderVersion is the response header that holds a value's version.
	HeaderVersion = "X-Version"

	maxValueBytes = 1 << 20
	watchWait     = 30 * time.Second
	watchSlack    = 5 * time.Second
	readTimeout   = 5 * time.Second
)

var (
	// ErrUnavailable is returned where the platform did not answer.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrNotFound is returned where the platform has no such value.
	ErrNotFound = errors.New("platform: not found")
	// ErrValue is returned where a value is too large or cannot be read.
	ErrValue = errors.New("platform: bad value")
)

type (
	// ClientConfig is the settings of a Client.
	ClientConfig struct {
		// Addr is where the platform listens.
		Addr netip.AddrPort
		// Dialer opens connections; nil is a plain net.Dialer.
		Dialer Dialer
	}

	// Dialer opens connections to the platform.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Client reads and watches values. It is safe for concurrent use.
	Client struct {
		base string
		http *http.Client
	}

	// Value is one value and its version.
	Value struct {
		Version uint64
		Data    []byte
	}
)

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	if c.Dialer == nil {
		c.Dialer = &net.Dialer{}
	}
	return &Client{
		base: "http://" + c.Addr.String(),
		http: &http.Client{Transport: &http.Transport{DialContext: c.Dialer.DialContext, MaxIdleConnsPerHost: 4}},
	}
}

// Get reads a value.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v, _, err := c.read(ctx, "/v1/config/"+key)
	return v, err
}

// Watch waits for a value with a version above after. It reports false where
// none came within the platform's waiting time. One call counts as one read.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {watchWait.String()},
	}
	return c.read(ctx, "/v1/watch/"+key+"?"+query.Encode())
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) read(ctx context.Context, path string) (Value, bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %v", ErrValue, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return value(resp)
	case http.StatusNotModified:
		return Value{}, false, nil
	case http.StatusNotFound:
		return Value{}, false, fmt.Errorf("%w: %s", ErrNotFound, path)
	default:
		return Value{}, false, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}

func value(resp *http.Response) (Value, bool, error) {
	version, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: version: %v", ErrValue, err)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if len(data) > maxValueBytes {
		return Value{}, false, fmt.Errorf("%w: over %d bytes", ErrValue, maxValueBytes)
	}
	return Value{Version: version, Data: data}, true, nil
}
