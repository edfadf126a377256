package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// maxMessageBytes is the size of the largest message between two nodes: a
// relayed request with its body and headers.
const maxMessageBytes = 8 << 20

const maxStatus = 599

// ErrRelay is returned where a relayed answer did not come whole. Whether the
// request was run is unknown.
var ErrRelay = errors.New("peer: relay cut")

type (
	// Relayed is a caller's request as it came to another node.
	Relayed struct {
		Method string
		URI    string
		Header http.Header
		Body   []byte
	}

	// Relays serves relayed requests as if their callers had come themselves.
	Relays interface {
		Relay(ctx context.Context, r Relayed, w http.ResponseWriter)
	}

	relayWriter struct {
		stream peerpb.DRPCPeer_RelayStream
		header http.Header
		sent   bool
		err    error
	}
)

// Relay passes a request to another node and copies its answer to w. It reports
// whether the answer's head was written before an error.
func (c *Client) Relay(ctx context.Context, to netip.AddrPort, r Relayed, w http.ResponseWriter) (started bool, err error) {
	stream, err := c.peer(ctx, to).Relay(ctx, &peerpb.RelayRequest{
		Method: r.Method, Uri: r.URI, Headers: encodeHeader(r.Header), Body: r.Body,
	})
	if err != nil {
		return false, unreachable(to, err)
	}
	defer stream.Close()
	for {
		part, err := stream.Recv()
		if err != nil {
			return started, fmt.Errorf("%w: %v: %w", ErrRelay, to, err)
		}
		if part.End {
			return started, nil
		}
		wrote, err := copyPart(w, part)
		started = started || wrote
		if err != nil {
			return started, err
		}
	}
}

// Relay serves a relayed request.
func (h *handler) Relay(r *peerpb.RelayRequest, stream peerpb.DRPCPeer_RelayStream) (err error) {
	w := &relayWriter{stream: stream, header: http.Header{}}
	defer func() {
		// A handler gives an answer up by this panic, as under net/http; the
		// other node must see the answer cut, not ended.
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrRelay, p)
		}
	}()
	h.config.Relays.Relay(stream.Context(), Relayed{
		Method: r.Method, URI: r.Uri, Header: decodeHeader(r.Headers), Body: r.Body,
	}, w)
	if w.err != nil {
		return w.err
	}
	return stream.Send(&peerpb.RelayPart{End: true})
}

// Header returns the header of the answer.
func (w *relayWriter) Header() http.Header { return w.header }

// WriteHeader sends the head of the answer.
func (w *relayWriter) WriteHeader(status int) {
	if w.sent {
		return
	}
	w.sent = true
	w.send(&peerpb.RelayPart{Status: uint32(status), Headers: encodeHeader(w.header)})
}

// Write sends a piece of the answer.
func (w *relayWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.send(&peerpb.RelayPart{Data: data})
	if w.err != nil {
		return 0, w.err
	}
	return len(data), nil
}

// Flush does nothing: every piece is sent at once.
func (w *relayWriter) Flush() {}

func (w *relayWriter) send(p *peerpb.RelayPart) {
	if w.err == nil {
		w.err = w.stream.Send(p)
	}
}

func copyPart(w http.ResponseWriter, p *peerpb.RelayPart) (wrote bool, err error) {
	if p.Status == 0 {
		return true, copyData(w, p.Data)
	}
	if p.Status < http.StatusOK || p.Status > maxStatus {
		return false, fmt.Errorf("%w: status %d", ErrRelay, p.Status)
	}
	for name, values := range decodeHeader(p.Headers) {
		w.Header()[name] = values
	}
	w.WriteHeader(int(p.Status))
	return true, nil
}

func copyData(w http.ResponseWriter, data []byte) error {
	if _, err := w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func encodeHeader(h http.Header) []*peerpb.RelayHeader {
	list := make([]*peerpb.RelayHeader, 0, len(h))
	for name, values := range h {
		list = append(list, &peerpb.RelayHeader{Name: name, Values: values})
	}
	return list
}

func decodeHeader(list []*peerpb.RelayHeader) http.Header {
	h := make(http.Header, len(list))
	for _, entry := range list {
		h[http.CanonicalHeaderKey(entry.Name)] = entry.Values
	}
	return h
}

func options() drpcserver.Options {
	return drpcserver.Options{Manager: managed()}
}

// managed returns the settings of both sides of a connection.
//
// By default a call that times out closes its connection. Under overload each
// late heartbeat would then cost a new handshake, which is more load, and nodes
// would lose each other for good. A soft cancel ends the call alone. It waits
// for a write in progress, which would cost the connection too.
func managed() drpcmanager.Options {
	return drpcmanager.Options{
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}
