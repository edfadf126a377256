package caller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
	"bulrushhinge.example/bulrushhinge/pkg/ticket"
)

// Guards against requests that end without a complete answer while the log does not show
// why.
func TestCausesAreLogged(t *testing.T) {
	stalled := func(ctx context.Context, call endpoint.Call) *endpoint.Answer {
		a := streamed("")
		a.Body = newBody(io.MultiReader(strings.NewReader(events(call.Attempt)), stalledReader{ctx}))
		return a
	}
	cut := func(_ context.Context, call endpoint.Call) *endpoint.Answer { return streamed(events(call.Attempt)) }
	large := func(context.Context, endpoint.Call) *endpoint.Answer {
		return &endpoint.Answer{Status: 200, Header: http.Header{}, Body: newBody(strings.NewReader(strings.Repeat("x", 2<<10))), Framed: true}
	}
	flood := func(ctx context.Context, call endpoint.Call) *endpoint.Answer {
		a := streamed("")
		a.Body = newBody(contextReader{ctx, endless(events(call.Attempt))})
		return a
	}
	type run struct {
		h *caller.Handler
		c net.Conn
	}
	tests := map[string]struct {
		cause   string
		path    string
		limits  caller.Config
		headers string
		answer  func(ctx context.Context, call endpoint.Call) *endpoint.Answer
		// began is called once the answer has begun.
		began func(r run)
	}{
		"endpoint cut": {cause: "endpoint_cut", answer: cut},
		"memory full":  {cause: "memory_full", path: plainPath, answer: large, limits: caller.Config{MaxHeld: 1 << 10}},
		"too large":    {cause: "answer_too_large", path: plainPath, answer: large, limits: caller.Config{MaxAnswer: 1 << 10}},
		"deadline":     {cause: "deadline", answer: stalled, headers: entry.HeaderTimeout + ": 300ms\r\n"},
		"caller gone":  {cause: "caller_gone", answer: stalled, began: func(r run) { _ = r.c.Close() }},
		"stopping":     {cause: "stopping", answer: stalled, began: func(r run) { r.h.End() }},
		"caller slow":  {cause: "caller_slow", answer: flood, limits: caller.Config{WriteTimeout: 50 * time.Millisecond}, began: func(run) {}},
		"no place":     {cause: "busy", limits: caller.Config{MaxActive: -1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log, hook := logtest.NewNullLogger()
			test.limits.Log = log
			s, h := serve(t, &endpoints{answer: func(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
				return test.answer(ctx, call), nil
			}}, test.limits)
			c := dial(t, s)
			path := test.path
			if path == "" {
				path = entry.PathChat
			}
			_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
				path, secret, test.headers, len(chatBody), chatBody)
			require.NoError(t, err)
			if test.began != nil {
				_, err = c.Read(make([]byte, 1))
				require.NoError(t, err)
				test.began(run{h, c})
			} else {
				_, _ = io.ReadAll(c)
			}
			require.NoError(t, h.Wait(t.Context()))
			require.Eventually(t, func() bool { return len(linesWith(hook, "cause")) > 0 }, patience, pollInterval)
			for _, line := range linesWith(hook, "cause") {
				require.Equal(t, test.cause, fmt.Sprint(line["cause"]))
				require.Contains(t, line, "request")
			}
		})
	}
}

// Guards against a lost node of a ticket that the log does not show.
func TestLostPeerIsLogged(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	v := view()
	v.Nodes = []kernel.Node{{Name: "n2"}}
	relays := &fakeRelayer{header: http.Header{"Content-Type": {"text/event-stream"}}, pieces: []string{events("a")}, err: peer.ErrRelay}
	s, _ := serveView(t, &endpoints{}, v, caller.Config{Relays: relays, Log: log})
	theirs := ticket.Ticket{Node: "n2", Incarnation: 1, Serial: 1}
	resp, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, entry.HeaderOnce, "true", entry.HeaderTicket, theirs.String()))
	require.Error(t, err)
	lines := linesWith(hook, "cause")
	require.Len(t, lines, 1)
	require.Equal(t, "peer_lost", fmt.Sprint(lines[0]["cause"]))
	require.Equal(t, resp.Header.Get(entry.HeaderRequest), lines[0]["request"])
	require.Equal(t, "n2", lines[0]["node"])
}
