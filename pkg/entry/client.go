package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	entryTimeout   = 2 * time.Second
	maxAnswerBytes = 64 << 10
	maxReplyBytes  = 64 << 20
	bearer         = "Bearer "
)

var (
	// ErrNoNode is returned if no node could be reached. The request was not
	// run.
	ErrNoNode = errors.New("entry: no node could be reached")
	// ErrCut is returned if a response ended without its end mark or before its
	// full length.
	ErrCut = errors.New("entry: answer cut")
	// ErrAnswer is returned if a node's response cannot be read.
	ErrAnswer = errors.New("entry: bad answer")
)

type (
	// Config is the settings of a Client.
	Config struct {
		// Addrs are the nodes to ask which nodes to use: any nodes of the
		// fleet.
		Addrs []netip.AddrPort
		// Key is the client account's secret key.
		Key string
		// Zone is the caller's availability zone; empty if it has none.
		Zone string
		// HTTP sends the requests; if nil, the Client has its own.
		HTTP *http.Client
	}

	// Client sends requests to the fleet. It is safe for concurrent use.
	Client struct {
		config     Config
		http       *http.Client
		plainCache answerCache
	}

	// Options are a request's options; the zero value is for a request that may
	// be repeated.
	Options struct {
		// Once marks a request that must not be repeated.
		Once bool
		// Ticket is that of an earlier try of the same request.
		Ticket string
		// Priority orders the account's requests; higher goes first.
		Priority int
		// MaxTokens bounds a chat's answer; 0 leaves it to the engine.
		MaxTokens int
	}

	// answerCache holds an entry answer until it expires.
	answerCache struct {
		mu      sync.Mutex
		answer  Answer
		expires time.Time
	}
)

// New returns a Client.
func New(c Config) *Client {
	client := &Client{config: c, http: c.HTTP}
	if client.http == nil {
		client.http = &http.Client{Transport: &http.Transport{}}
	}
	return client
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entry asks the fleet which nodes to use for a chat; the empty name is for
// requests without a chat. It tries one address after the other.
func (c *Client) Entry(ctx context.Context, chat string) (Answer, error) {
	return c.tryAddrs(ctx, chat, c.config.Addrs)
}

func (c *Client) tryAddrs(ctx context.Context, chat string, addrs []netip.AddrPort) (Answer, error) {
	var last error
	for _, addr := range addrs {
		a, err := c.requestEntry(ctx, addr, chat)
		if err == nil {
			return a, nil
		}
		last = err
	}
	return Answer{}, fmt.Errorf("%w: %v", ErrNoNode, last)
}

func (c *Client) requestEntry(ctx context.Context, addr netip.AddrPort, chat string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	query := url.Values{"zone": {c.config.Zone}, "chat": {chat}}
	var a Answer
	if err := c.fetchJSON(ctx, http.MethodGet, addr, PathEntry+"?"+query.Encode(), &a, http.StatusOK); err != nil {
		return a, err
	}
	if len(a.Nodes) == 0 {
		return a, fmt.Errorf("%w: no nodes", ErrAnswer)
	}
	return a, nil
}

// fetchJSON makes a call with a small response, and decodes it if it has one of
// the statuses.
func (c *Client) fetchJSON(ctx context.Context, method string, addr netip.AddrPort, path string, into any, statuses ...int) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, http.NoBody)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrAnswer, err)
	}
	req.Header.Set("Authorization", bearer+c.config.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNoNode, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrCut, err)
	}
	if !slices.Contains(statuses, resp.StatusCode) {
		return parseRefusal(resp, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %v", ErrAnswer, err)
	}
	return nil
}

// get returns the cached answer, or a new one if it has expired.
func (k *answerCache) get(ctx context.Context, c *Client, chat string) (Answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().Before(k.expires) {
		return k.answer, nil
	}
	// The nodes of the old answer may still run if the configured ones have
	// been replaced.
	a, err := c.tryAddrs(ctx, chat, slices.Concat(c.config.Addrs, k.answer.Nodes))
	if err != nil {
		return a, err
	}
	k.answer = a
	k.expires = time.Now().Add(a.Keep())
	return a, nil
}

// invalidate makes the answer expire, because its nodes are stopping or gone.
func (k *answerCache) invalidate() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expires = time.Time{}
}

// takeTicket removes a ticket from the cached answer and returns it; empty if
// there is none.
func (k *answerCache) takeTicket() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.answer.Tickets) == 0 || !time.Now().Before(k.expires) {
		return ""
	}
	t := k.answer.Tickets[0]
	k.answer.Tickets = k.answer.Tickets[1:]
	return t
}
