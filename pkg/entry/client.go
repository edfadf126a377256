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
	askTimeout     = 2 * time.Second
	maxAnswerBytes = 64 << 10
	maxReplyBytes  = 64 << 20
	bearer         = "Bearer "
)

var (
	// ErrNoNode is returned where no node could be reached. The request was
	// not run.
	ErrNoNode = errors.New("entry: no node could be reached")
	// ErrCut is returned where an answer ended without its mark of
	// completeness.
	ErrCut = errors.New("entry: answer cut")
	// ErrAnswer is returned where a node's answer cannot be read.
	ErrAnswer = errors.New("entry: bad answer")
)

type (
	// Config is the settings of a Client.
	Config struct {
		// Addrs is where to ask which nodes to use: any nodes of the fleet.
		Addrs []netip.AddrPort
		// Key is the client account's secret key.
		Key string
		// Zone is the caller's availability zone; empty where it has none.
		Zone string
		// HTTP sends the requests; nil is a client of its own.
		HTTP *http.Client
	}

	// Client sends requests to the fleet. It is safe for concurrent use.
	Client struct {
		config Config
		http   *http.Client
		plain  kept
	}

	// Options is how a request is to be run; the zero value is a request that
	// may be repeated.
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

	// kept is an entry answer that is kept until it expires.
	kept struct {
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

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Entry asks the fleet which nodes to use for a chat; the empty name is for
// requests of no chat. It tries one address after the other.
func (c *Client) Entry(ctx context.Context, chat string) (Answer, error) {
	return c.entry(ctx, chat, c.config.Addrs)
}

func (c *Client) entry(ctx context.Context, chat string, addrs []netip.AddrPort) (Answer, error) {
	var last error
	for _, addr := range addrs {
		a, err := c.ask(ctx, addr, chat)
		if err == nil {
			return a, nil
		}
		last = err
	}
	return Answer{}, fmt.Errorf("%w: %v", ErrNoNode, last)
}

func (c *Client) ask(ctx context.Context, addr netip.AddrPort, chat string) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := url.Values{"zone": {c.config.Zone}, "chat": {chat}}
	var a Answer
	if err := c.read(ctx, http.MethodGet, addr, PathEntry+"?"+query.Encode(), &a, http.StatusOK); err != nil {
		return a, err
	}
	if len(a.Nodes) == 0 {
		return a, fmt.Errorf("%w: no nodes", ErrAnswer)
	}
	return a, nil
}

// read makes a small call and decodes its answer of one of the statuses.
func (c *Client) read(ctx context.Context, method string, addr netip.AddrPort, path string, into any, statuses ...int) error {
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
		return refusal(resp, data)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%w: %v", ErrAnswer, err)
	}
	return nil
}

// get returns the kept answer, or a new one where it has expired.
func (k *kept) get(ctx context.Context, c *Client, chat string) (Answer, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().Before(k.expires) {
		return k.answer, nil
	}
	// The nodes of the old answer may live on where those of the settings
	// were replaced.
	a, err := c.entry(ctx, chat, slices.Concat(c.config.Addrs, k.answer.Nodes))
	if err != nil {
		return a, err
	}
	k.answer = a
	k.expires = time.Now().Add(a.Keep())
	return a, nil
}

// drop forgets the answer, because its nodes are stopping or gone.
func (k *kept) drop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expires = time.Time{}
}

// ticket takes a ticket of the kept answer; empty where there is none.
func (k *kept) ticket() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.answer.Tickets) == 0 || !time.Now().Before(k.expires) {
		return ""
	}
	t := k.answer.Tickets[0]
	k.answer.Tickets = k.answer.Tickets[1:]
	return t
}
