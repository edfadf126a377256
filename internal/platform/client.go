// Package platform reads the accepted configuration and the instance list, which
// lags, from the operators' platform. It never writes.
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
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"bulrushhinge.example/bulrushhinge/internal/http1"
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
	// HeaderEpoch is the response header that counts how often the platform was
	// restored from a backup; it may be missing.
	HeaderEpoch = "X-Epoch"

	// DefaultWait is how long a watch waits for a change. A watch that the
	// platform silently lost delays a change by at most this plus watchSlack, so
	// that the change is still applied in time.
	DefaultWait = 1500 * time.Millisecond

	configPath = "/v1/config/"
	watchPath  = "/v1/watch/"

	maxValueBytes = 1 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	watchSlack   = time.Second
	readTimeout  = 5 * time.Second
	// readRate and readBurst limit the calls of one node per second, so that 330
	// nodes stay below 2,000. The burst allows the first read of all sections.
	readRate  = 6
	readBurst = 96
	// maxReads is the number of concurrent reads.
	maxReads = 8
)

var (
	// ErrUnavailable is returned when the platform did not answer, or not with
	// an expected status.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrNotFound is returned when the platform has no such value.
	ErrNotFound = errors.New("platform: not found")
	// ErrValue is returned when a value is too large or invalid.
	ErrValue = errors.New("platform: bad value")
)

type (
	// ClientConfig is the settings of a Client.
	ClientConfig struct {
		// Addr is the platform's address.
		Addr netip.AddrPort
		// Wait is how long a watch waits for a change; 0 is DefaultWait.
		Wait time.Duration
		// Dialer opens connections; nil is a plain net.Dialer.
		Dialer Dialer
	}

	// Dialer opens connections to the platform.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Client reads and watches values. It is safe for concurrent use.
	Client struct {
		base  string
		wait  time.Duration
		http  *http.Client
		limit *rate.Limiter
	}

	// Value is one value and its version.
	Value struct {
		// Version increases with each change of the value, even if the platform
		// was restored and reuses its own version numbers.
		Version uint64
		Data    []byte
	}
)

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	if c.Wait == 0 {
		c.Wait = DefaultWait
	}
	if c.Dialer == nil {
		c.Dialer = &net.Dialer{}
	}
	transport := http1.StrictTransport{Transport: &http.Transport{
		DialContext: c.Dialer.DialContext, MaxIdleConnsPerHost: maxReads, MaxResponseHeaderBytes: maxHeadBytes,
	}}
	return &Client{
		base:  "http://" + c.Addr.String(),
		wait:  c.Wait,
		http:  &http.Client{Transport: transport},
		limit: rate.NewLimiter(readRate, readBurst),
	}
}

// Get reads a value.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v, _, err := c.read(ctx, configPath+key)
	return v, err
}

// Values reads values by their keys, up to maxReads at once. It returns the
// values that it read and the first error.
func (c *Client) Values(ctx context.Context, keys []string) (map[string][]byte, error) {
	var mu sync.Mutex
	values := make(map[string][]byte, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReads)
	for _, key := range keys {
		group.Go(func() error {
			v, err := c.Get(ctx, key)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			values[key] = v.Data
			return nil
		})
	}
	err := group.Wait()
	return values, err
}

// Watch waits for a value with a version above after. It returns false if there
// was none within the wait time. A call counts as one read, and as two if the
// platform was restored meanwhile: its version is then not above after, although
// the value may differ, so that Watch reads it.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait+watchSlack)
	defer cancel()
	knownEpoch, number := unpackVersion(after)
	query := url.Values{
		"after": {strconv.FormatUint(number, 10)},
		"wait":  {c.wait.String()},
	}
	v, changed, err := c.read(ctx, watchPath+key+"?"+query.Encode())
	if epoch, _ := unpackVersion(v.Version); err != nil || changed || epoch <= knownEpoch {
		return v, changed, err
	}
	return c.read(ctx, configPath+key)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) read(ctx context.Context, path string) (Value, bool, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return Value{}, false, fmt.Errorf("%w: client rate limit: %v", ErrUnavailable, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %v", ErrValue, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	epoch, err := epochOf(resp.Header)
	if err != nil {
		return Value{}, false, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return value(resp, epoch)
	case http.StatusNotModified:
		version, err := packVersion(epoch, 0)
		return Value{Version: version}, false, err
	case http.StatusNotFound:
		return Value{}, false, fmt.Errorf("%w: %s", ErrNotFound, path)
	default:
		return Value{}, false, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}

func value(resp *http.Response, epoch uint64) (Value, bool, error) {
	number, err := strconv.ParseUint(resp.Header.Get(HeaderVersion), 10, 64)
	if err != nil {
		return Value{}, false, fmt.Errorf("%w: version: %v", ErrValue, err)
	}
	version, err := packVersion(epoch, number)
	if err != nil {
		return Value{}, false, err
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
