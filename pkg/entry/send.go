package entry

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
	"strconv"
	"time"
)

const (
	// rounds is how often a request asks for nodes: a second answer helps where
	// the nodes of a kept one are gone.
	rounds = 2
	// slackShare is the part of a caller's time that is kept for the way back,
	// and maxSlack the most of it.
	slackShare = 10
	maxSlack   = 500 * time.Millisecond
)

// Types of refusals after which another node may take the request.
var elsewhere = map[string]bool{"stopping": true, "not_ready": true, "busy": true}

type (
	// call is one request, ready to be sent to any node.
	call struct {
		Options
		method string
		path   string
		chat   string
		header http.Header
		body   []byte
	}

	// sent is a request that a node has begun to answer.
	sent struct {
		resp   *http.Response
		node   netip.AddrPort
		ticket string
	}
)

// send sends a call to one node after the other until one answers it.
//
// A request may go to a further node only where the earlier ones certainly did
// not run it, where it may be repeated, or where a ticket holds it to one run.
// Anything else could run it twice; the caller then gets a Refusal that says
// unknown.
func (c *Client) send(ctx context.Context, k *kept, r call) (*sent, error) {
	var last error
	for range rounds {
		a, err := k.get(ctx, c, r.chat)
		if err != nil {
			return nil, errors.Join(last, err)
		}
		if r.Once && r.Ticket == "" {
			r.Ticket = k.ticket()
		}
		for _, addr := range a.Nodes {
			s, err := c.try(ctx, addr, &r)
			if err == nil {
				return s, nil
			}
			last = err
			r.learn(err)
			if ctx.Err() != nil || !r.mayGoOn(err) {
				return nil, err
			}
			k.drop()
		}
	}
	return nil, last
}

// mayGoOn reports whether the call may go to a further node after an error.
func (r *call) mayGoOn(err error) bool {
	var refused *Refusal
	switch {
	case !errors.As(err, &refused):
		return true
	case refused.Ran == RanNot:
		return elsewhere[refused.Type]
	case refused.Status == 0 || elsewhere[refused.Type]:
		return !r.Once || r.Ticket != ""
	default:
		return false
	}
}

// learn takes over the ticket under which to go on. A request that was not run
// has used its ticket up.
func (r *call) learn(err error) {
	var refused *Refusal
	if errors.As(err, &refused) {
		r.Ticket = refused.Ticket
	}
}

// try sends a call to one node. Where the node asks for a ticket, it sends the
// call again under the one that came along.
func (c *Client) try(ctx context.Context, addr netip.AddrPort, r *call) (*sent, error) {
	resp, err := c.roundTrip(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	fresh := resp.Header.Get(HeaderTicket)
	if resp.StatusCode == http.StatusPreconditionRequired && fresh != "" && r.Ticket == "" {
		resp.Body.Close()
		r.Ticket = fresh
		if resp, err = c.roundTrip(ctx, addr, r); err != nil {
			return nil, err
		}
	}
	if resp.Header.Get(HeaderRan) == string(RanYes) && resp.StatusCode < http.StatusInternalServerError {
		return &sent{resp: resp, node: addr, ticket: r.Ticket}, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, lost(err, r.Ticket)
	}
	refused := refusal(resp, data)
	refused.Ticket = r.Ticket
	if refused.Ran == RanNot {
		refused.Ticket = resp.Header.Get(HeaderTicket)
	}
	return nil, refused
}

func (c *Client) roundTrip(ctx context.Context, addr netip.AddrPort, r *call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+addr.String()+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrAnswer, err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", bearer+c.config.Key)
	r.setOptions(ctx, req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failure(err, r.Ticket)
	}
	return resp, nil
}

func (r *call) setOptions(ctx context.Context, h http.Header) {
	if r.Once {
		h.Set(HeaderOnce, "true")
	}
	if r.Ticket != "" {
		h.Set(HeaderTicket, r.Ticket)
	}
	if r.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderTimeout, budget(time.Until(deadline)).String())
	}
}

// budget returns the time that a node gets of the time that is left.
//
// A node that may take all of it refuses at the very moment at which the caller
// gives up; the caller then holds a request for unknown of which the node says
// that it was not run.
func budget(left time.Duration) time.Duration {
	return left - min(left/slackShare, maxSlack)
}

// failure turns the error of an exchange. Where no connection was made, the
// request was not run.
func failure(err error, ticket string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNoNode, err)
	}
	return lost(err, ticket)
}

func lost(err error, ticket string) *Refusal {
	return &Refusal{Type: "lost", Message: err.Error(), Ran: RanUnknown, Ticket: ticket}
}

// refusal reads the refusal of a node.
func refusal(resp *http.Response, data []byte) *Refusal {
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Error.Type == "" {
		p.Error = Refusal{Type: "status", Message: resp.Status, Ran: Ran(resp.Header.Get(HeaderRan))}
	}
	if p.Error.Ran == "" {
		p.Error.Ran = RanUnknown
	}
	p.Error.Status = resp.StatusCode
	return &p.Error
}
