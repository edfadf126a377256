package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// Kinds of cache events.
const (
	// EventStore means that an engine's cache added a prefix.
	EventStore EventKind = "store"
	// EventEvict means that an engine's cache evicted a prefix.
	EventEvict EventKind = "evict"
)

const (
	cacheTimeout   = 5 * time.Second
	maxEventsBytes = 4 << 20
	maxKVBytes     = 64 << 20
)

// ErrNoKV is returned when an engine has no KV cache of a chat.
var ErrNoKV = errors.New("endpoint: no KV cache of the chat")

type (
	// EventKind is what happened to a cached prefix.
	EventKind string

	// CacheEvent is one change of an engine's prefix cache.
	CacheEvent struct {
		// Serial increases by one with each event; a gap means lost events.
		Serial uint64    `json:"serial"`
		Kind   EventKind `json:"kind"`
		Chat   string    `json:"chat"`
		Tokens int       `json:"tokens,omitempty"`
	}

	// CacheEvents is the events after a serial.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
		// Last is the serial after which to read next.
		Last uint64 `json:"last"`
	}

	// KV is the KV cache of one chat as engines export and import it.
	KV struct {
		Chat   string `json:"chat"`
		Tokens int    `json:"tokens"`
		Data   []byte `json:"data,omitempty"`
	}
)

// Events reads the cache events after a serial. They are delayed and have gaps.
func (c *Client) Events(ctx context.Context, addr netip.AddrPort, after uint64) (CacheEvents, error) {
	var events CacheEvents
	path := "/v1/events?after=" + strconv.FormatUint(after, 10)
	err := c.cacheCall(ctx, http.MethodGet, addr, path, nil, &events)
	return events, err
}

// ExportKV reads the KV cache of a chat, or returns ErrNoKV.
func (c *Client) ExportKV(ctx context.Context, addr netip.AddrPort, chat string) (KV, error) {
	var kv KV
	err := c.cacheCall(ctx, http.MethodGet, addr, "/v1/kv/"+url.PathEscape(chat), nil, &kv)
	return kv, err
}

// ImportKV sends the KV cache of a chat to an engine.
func (c *Client) ImportKV(ctx context.Context, addr netip.AddrPort, kv KV) error {
	data, err := json.Marshal(kv)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	return c.cacheCall(ctx, http.MethodPut, addr, "/v1/kv/"+url.PathEscape(kv.Chat), data, nil)
}

func (c *Client) cacheCall(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotRun, err)
	}
	resp, err := c.shared.Do(req)
	if err != nil {
		return failure(err, !dialFailed(err))
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return ErrNoKV
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("%w: status %d", ErrLost, resp.StatusCode)
	case into == nil:
		return nil
	}
	limit := int64(maxEventsBytes)
	if _, isKV := into.(*KV); isKV {
		limit = maxKVBytes
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, limit)).Decode(into); err != nil {
		return fmt.Errorf("%w: %v", ErrLost, err)
	}
	return nil
}
