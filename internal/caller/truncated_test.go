package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

const plainPath = "/v1/services/prices/x"

// fakeRelayer fakes the answer of a ticket's node: a header, pieces and an error.
type fakeRelayer struct {
	header http.Header
	pieces []string
	err    error
}

// contextReader is a Reader that fails once its context has ended.
type contextReader struct {
	ctx context.Context
	io.Reader
}

// Read returns the context's error if there is one.
func (u contextReader) Read(data []byte) (int, error) {
	if err := u.ctx.Err(); err != nil {
		return 0, err
	}
	return u.Reader.Read(data)
}

// Relay writes the answer.
func (r *fakeRelayer) Relay(_ context.Context, _ netip.AddrPort, _ peer.RelayedRequest, w http.ResponseWriter) (bool, error) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(http.StatusOK)
	for _, piece := range r.pieces {
		if _, err := w.Write([]byte(piece)); err != nil {
			return true, err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return true, err
		}
	}
	return true, r.err
}

// Guards against an answer of a ticket's node that is truncated without an error event, or
// that the caller takes for a complete one, when the connection to that node breaks.
func TestTruncatedAnswerOfTicketNode(t *testing.T) {
	stream := http.Header{"Content-Type": {"text/event-stream"}}
	plain := http.Header{"Content-Length": {"8"}, "Etag": {"theirs"}}
	first, second := "data: {\"id\":\"a\"}\n\n", "data: {\"id\":\"b\"}\n\n"
	errorEvent := `data: {"error":{"type":"cut","ran":"unknown"}}` + "\n\n"
	tests := map[string]struct {
		relays fakeRelayer
		broken bool
		status int
		events string
		kind   string
	}{
		"stream lost":                 {fakeRelayer{stream, []string{first}, peer.ErrRelay}, true, 200, first, "cut"},
		"stream lost within an event": {fakeRelayer{stream, []string{first, second[:9]}, peer.ErrRelay}, true, 200, first, "cut"},
		"event in two pieces":         {fakeRelayer{stream, []string{first[:9], first[9:] + second}, peer.ErrRelay}, true, 200, first + second, "cut"},
		"time is up":                  {fakeRelayer{stream, []string{first}, fmt.Errorf("%w: %w", peer.ErrRelay, context.DeadlineExceeded)}, true, 200, first, "deadline"},
		"ended by the other node":     {fakeRelayer{stream, []string{first, errorEvent}, peer.ErrRelay}, true, 200, first + errorEvent, ""},
		"ended, then time is up":      {fakeRelayer{stream, []string{first + errorEvent}, fmt.Errorf("%w: %w", peer.ErrRelay, context.DeadlineExceeded)}, true, 200, first + errorEvent, ""},
		"plain answer lost":           {fakeRelayer{plain, []string{"half"}, peer.ErrRelay}, false, 409, "", "ticket_unknown"},
		"too large":                   {fakeRelayer{plain, []string{strings.Repeat("x", 2<<10)}, nil}, false, 503, "", "busy"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := view()
			v.Nodes = []kernel.Node{{Name: "n2"}}
			s, _ := serveView(t, &endpoints{}, v, caller.Config{Relays: &test.relays, MaxHeld: 1 << 10})
			theirs := ticket.Ticket{Node: "n2", Incarnation: 1, Serial: 1}
			resp, text, err := do(t, request(t, "POST", s.URL+plainPath, "{}", entry.HeaderOnce, "true", entry.HeaderTicket, theirs.String()))
			require.Equal(t, test.broken, err != nil, "an answer that has started must break its connection: %v", err)
			require.Equal(t, test.status, resp.StatusCode)
			require.Empty(t, resp.Header.Get("Etag"))
			rest, begun := strings.CutPrefix(text, test.events)
			require.True(t, begun, text)
			if test.kind == "" {
				require.Empty(t, rest)
				return
			}
			require.Contains(t, rest, `"type":"`+test.kind+`"`)
			require.NotContains(t, rest, `"ran":"not_run"`)
			require.Equal(t, 1, strings.Count(rest, `"error"`))
		})
	}
}

// Guards against a caller with a ticket that stops reading and occupies its request's slot on
// the node.
func TestSlowReaderWithTicketIsDisconnected(t *testing.T) {
	e := &endpoints{answer: func(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		a := streamed("")
		a.Body = newBody(contextReader{ctx, endless(events(call.Attempt))})
		return a, nil
	}}
	s, h := serve(t, e, caller.Config{WriteTimeout: 50 * time.Millisecond})
	resp, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, entry.HeaderOnce, "true"))
	require.NoError(t, err)
	c := dial(t, s)
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: true\r\n%s: %s\r\n%s: 300ms\r\nContent-Length: %d\r\n\r\n%s",
		entry.PathChat, secret, entry.HeaderOnce, entry.HeaderTicket, resp.Header.Get(entry.HeaderTicket), entry.HeaderTimeout, len(chatBody), chatBody)
	require.NoError(t, err)
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, h.Wait(ctx))
}

// Guards against callers who retry in vain with the ticket of a run whose answer was
// truncated: that ticket runs nothing again.
func TestTruncatedRunIsNotRetriedWithTicket(t *testing.T) {
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		return streamed(events(call.Attempt)), nil
	}}
	s, _ := serve(t, e, caller.Config{})
	resp, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, entry.HeaderOnce, "true"))
	require.NoError(t, err)
	for range 2 {
		_, text, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, entry.HeaderOnce, "true", entry.HeaderTicket, resp.Header.Get(entry.HeaderTicket)))
		require.Error(t, err, "the connection breaks")
		require.Equal(t, 1, strings.Count(text, `"error"`), text)
		require.Contains(t, text, `"type":"cut"`)
		require.Contains(t, text, `"ran":"unknown"`)
		require.Contains(t, text, "ask the service")
		require.NotContains(t, text, "retry_after_ms")
	}
	require.EqualValues(t, 1, e.calls.Load())
}
