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
	// maxLookups is how often a request looks up nodes: a second lookup helps
	// if the nodes of a cached answer are gone.
	maxLookups = 2
	// marginDivisor sets the part of a caller's time that is reserved for the
	// way back, a tenth, and maxMargin bounds it.
	marginDivisor = 10
	maxMargin     = 500 * time.Millisecond
)

// tryNextTypes are the refusals after which another node may accept the
// request.
var tryNextTypes = map[string]bool{"stopping": true, "not_ready": true, "busy": true}

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

	// response is a node's response that has begun.
	response struct {
		resp   *http.Response
		node   netip.AddrPort
		ticket string
	}
)

// send sends a call to one node after the other until one responds.
//
// A request is sent to a further node only if the earlier ones certainly did
// not run it, if it may be repeated, or if a ticket limits it to one run. In
// all other cases it could run twice; the caller then gets a Refusal with
// RanUnknown.
func (c *Client) send(ctx context.Context, cache *answerCache, r call) (*response, error) {
	var last error
	for range maxLookups {
		a, err := cache.get(ctx, c, r.chat)
		if err != nil {
			return nil, errors.Join(last, err)
		}
		if r.Once && r.Ticket == "" {
			r.Ticket = cache.takeTicket()
		}
		for _, addr := range a.Nodes {
			s, err := c.sendTo(ctx, addr, &r)
			if err == nil {
				return s, nil
			}
			last = err
			r.updateTicket(err)
			if ctx.Err() != nil || !r.mayTryNext(err) {
				return nil, err
			}
			cache.invalidate()
		}
	}
	return nil, last
}

// mayTryNext reports whether the call may be sent to a further node after an
// error.
func (r *call) mayTryNext(err error) bool {
	var refused *Refusal
	switch {
	case !errors.As(err, &refused):
		return true
	case refused.Ran == RanNot:
		return tryNextTypes[refused.Type]
	case refused.Status == 0 || tryNextTypes[refused.Type]:
		return !r.Once || r.Ticket != ""
	default:
		return false
	}
}

// updateTicket sets the ticket for the next try from a refusal. A request that
// was not run has used its ticket up.
func (r *call) updateTicket(err error) {
	var refused *Refusal
	if errors.As(err, &refused) {
		r.Ticket = refused.Ticket
	}
}

// sendTo sends a call to one node. If the node requires a ticket, it sends the
// call again with the one in the refusal.
func (c *Client) sendTo(ctx context.Context, addr netip.AddrPort, r *call) (*response, error) {
	resp, err := c.roundTrip(ctx, addr, r)
	if err != nil {
		return nil, err
	}
	offered := resp.Header.Get(HeaderTicket)
	if resp.StatusCode == http.StatusPreconditionRequired && offered != "" && r.Ticket == "" {
		resp.Body.Close()
		r.Ticket = offered
		if resp, err = c.roundTrip(ctx, addr, r); err != nil {
			return nil, err
		}
	}
	if resp.Header.Get(HeaderRan) == string(RanYes) && resp.StatusCode < http.StatusInternalServerError {
		return &response{resp: resp, node: addr, ticket: r.Ticket}, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, lostRefusal(err, r.Ticket)
	}
	refused := parseRefusal(resp, data)
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
		return nil, transportError(err, r.Ticket)
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
		h.Set(HeaderTimeout, nodeTimeout(time.Until(deadline)).String())
	}
}

// nodeTimeout returns the timeout for a node, given the time that the caller
// has left.
//
// A node that had all of it would refuse at the moment at which the caller
// gives up; to the caller, a request would be unknown that the node reports as
// not run.
func nodeTimeout(left time.Duration) time.Duration {
	return left - min(left/marginDivisor, maxMargin)
}

// transportError converts an error of the HTTP client. If no connection was
// opened, the request was not run.
func transportError(err error, ticket string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNoNode, err)
	}
	return lostRefusal(err, ticket)
}

func lostRefusal(err error, ticket string) *Refusal {
	return &Refusal{Type: "lost", Message: err.Error(), Ran: RanUnknown, Ticket: ticket}
}

// parseRefusal returns the refusal in a node's response.
func parseRefusal(resp *http.Response, data []byte) *Refusal {
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
