package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
)

type (
	// Request is a call of a plain service.
	Request struct {
		Options
		Service string
		// Method is the HTTP method; empty is POST.
		Method string
		// Path is relative to the service, without a leading slash, with its
		// query.
		Path string
		// Type is the content type of Body.
		Type string
		Body []byte
	}

	// Reply is the complete response of a plain service.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
		// Node is the node that answered.
		Node netip.AddrPort
		// Ticket is the ticket with which the request was sent.
		Ticket string
	}
)

// Call calls a plain service and returns its complete response. The error is a
// *Refusal, or wraps ErrNoNode or ErrCut.
func (c *Client) Call(ctx context.Context, r Request) (*Reply, error) {
	k := call{Options: r.Options, method: r.Method, path: PathServices + r.Service + "/" + r.Path, body: r.Body, header: http.Header{}}
	if k.method == "" {
		k.method = http.MethodPost
	}
	if r.Type != "" {
		k.header.Set("Content-Type", r.Type)
	}
	s, err := c.send(ctx, &c.plainCache, k)
	if err != nil {
		return nil, err
	}
	defer s.resp.Body.Close()
	if s.resp.ContentLength < 0 {
		return nil, fmt.Errorf("%w: no length", ErrCut)
	}
	data, err := io.ReadAll(io.LimitReader(s.resp.Body, maxReplyBytes))
	if err != nil || int64(len(data)) != s.resp.ContentLength {
		return nil, fmt.Errorf("%w: %d of %d bytes: %v", ErrCut, len(data), s.resp.ContentLength, err)
	}
	return &Reply{Status: s.resp.StatusCode, Header: s.resp.Header, Body: data, Node: s.node, Ticket: s.ticket}, nil
}
