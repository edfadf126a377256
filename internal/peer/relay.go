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

	"bulrushhinge.example/bulrushhinge/internal/panics"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// maxMessageBytes is the size of the largest message between two nodes: a
// relayed request with its body and headers.
const maxMessageBytes = 8 << 20

const maxStatus = 599

// ErrRelay is returned if a relayed response is incomplete or invalid. Whether the
// request ran is unknown.
var ErrRelay = errors.New("peer: relay failed")

type (
	// RelayedRequest is a caller's request as received by another node.
	RelayedRequest struct {
		Method string
		URI    string
		Header http.Header
		Body   []byte
	}

	// RelayHandler serves relayed requests like those that callers send directly.
	RelayHandler interface {
		Relay(ctx context.Context, r RelayedRequest, w http.ResponseWriter)
	}

	relayWriter struct {
		stream      peerpb.DRPCPeer_RelayStream
		header      http.Header
		wroteHeader bool
		err         error
	}
)

// Relay forwards a request to another node and copies the response to w. It reports
// whether the response's header was written before an error.
func (c *Client) Relay(ctx context.Context, to netip.AddrPort, r RelayedRequest, w http.ResponseWriter) (started bool, err error) {
	stream, err := c.rpcClient(ctx, to).Relay(ctx, &peerpb.RelayRequest{
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
		// A handler panics to abort a response, as with net/http. The other node
		// must see an aborted response, not a complete one.
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panics.Report(h.config.Log, p)
			}
			err = fmt.Errorf("%w: %v", ErrRelay, p)
		}
	}()
	h.config.Relays.Relay(stream.Context(), RelayedRequest{
		Method: r.Method, URI: r.Uri, Header: decodeHeader(r.Headers), Body: r.Body,
	}, w)
	if w.err != nil {
		return w.err
	}
	return stream.Send(&peerpb.RelayPart{End: true})
}

// Header returns the header of the response.
func (w *relayWriter) Header() http.Header { return w.header }

// WriteHeader sends the status and header of the response.
func (w *relayWriter) WriteHeader(status int) {
	if w.wroteHeader {
		return
	}
	w.wroteHeader = true
	w.send(&peerpb.RelayPart{Status: uint32(status), Headers: encodeHeader(w.header)})
}

// Write sends a part of the response body.
func (w *relayWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.send(&peerpb.RelayPart{Data: data})
	if w.err != nil {
		return 0, w.err
	}
	return len(data), nil
}

// Flush does nothing because every part is sent at once.
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

func serverOptions() drpcserver.Options {
	return drpcserver.Options{Manager: managerOptions()}
}

// managerOptions returns the settings for both sides of a connection.
//
// By default a call that times out closes its connection. Under overload, each late
// heartbeat would then cause a new handshake and more load, and nodes would lose
// each other permanently. A soft cancel ends only the call. It waits for a write in
// progress, because interrupting it would close the connection too.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		SoftCancel:      true,
		SoftCancelGrace: cancelGrace,
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}
