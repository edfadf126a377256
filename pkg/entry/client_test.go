package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const completeAnswer = "data: {\"choices\":[{\"delta\":{\"content\":\"yes\"}}]}\n\ndata: [DONE]\n\n"

// fakeNode responds to chats with a test's handler, and to entry requests with
// the nodes that it is given.
type fakeNode struct {
	server        *httptest.Server
	mu            sync.Mutex
	entry         entry.Answer
	entryRequests int
	headers       []http.Header
	bodies        []string
}

func newNode(t *testing.T, chat http.HandlerFunc) *fakeNode {
	t.Helper()
	n := &fakeNode{}
	mux := http.NewServeMux()
	mux.HandleFunc(entry.PathEntry, func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.entryRequests++
		_ = json.NewEncoder(w).Encode(n.entry)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		n.mu.Lock()
		n.headers = append(n.headers, r.Header)
		n.bodies = append(n.bodies, string(body))
		n.mu.Unlock()
		chat(w, r)
	})
	n.server = httptest.NewServer(mux)
	t.Cleanup(n.server.Close)
	return n
}

func (n *fakeNode) addr() netip.AddrPort {
	return netip.MustParseAddrPort(n.server.Listener.Addr().String())
}

func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(entry.HeaderRan, string(entry.RanYes))
		_, _ = io.WriteString(w, text)
	}
}

func refuse(status int, kind string, ran entry.Ran) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(entry.HeaderRan, string(ran))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(entry.Problem{Error: entry.Refusal{Type: kind, Ran: ran, RetryAfterMS: 5}})
	}
}

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// requireTicket refuses requests without a ticket.
func requireTicket(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(entry.HeaderTicket) == "" {
		w.Header().Set(entry.HeaderTicket, "t-fresh")
		refuse(http.StatusPreconditionRequired, "ticket_required", entry.RanNot)(w, r)
		return
	}
	respondWith(completeAnswer)(w, r)
}

// Guards against a request that runs twice, and a caller that gives up although
// another node could have served it.
func TestClientTriesNextNodeOnlyWhenSafe(t *testing.T) {
	tests := []struct {
		name   string
		first  http.HandlerFunc
		once   bool
		ticket string
		second int
		kind   string
		ran    entry.Ran
	}{
		{"stopping", refuse(503, "stopping", entry.RanNot), true, "", 1, "", ""},
		{"busy", refuse(429, "busy", entry.RanNot), false, "", 1, "", ""},
		{"no endpoint anywhere", refuse(503, "no_endpoint", entry.RanNot), false, "", 0, "no_endpoint", entry.RanNot},
		{"may have run", refuse(502, "lost", entry.RanUnknown), false, "", 0, "lost", entry.RanUnknown},
		{"hangs up, repeatable", hangUp, false, "", 1, "", ""},
		{"hangs up, once", hangUp, true, "", 0, "lost", entry.RanUnknown},
		{"hangs up, once with ticket", hangUp, true, "t1", 1, "", ""},
		{"asks for a ticket", requireTicket, true, "", 0, "", ""},
		{"busy, ticket not looked up", refuse(503, "busy", entry.RanUnknown), true, "t1", 1, "", ""},
		{"the ticket's node is gone", refuse(409, "ticket_unknown", entry.RanUnknown), true, "t1", 0, "ticket_unknown", entry.RanUnknown},
		{"a status without a refusal", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, false, "", 0, "status", entry.RanUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newNode(t, test.first), newNode(t, respondWith(completeAnswer))
			first.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{first.addr(), second.addr()}}
			if test.ticket != "" {
				first.entry.Tickets = []string{test.ticket}
			}
			c := entry.New(entry.Config{Addrs: []netip.AddrPort{first.addr()}, Key: "k"})
			defer c.Close()
			s, err := c.Chat("c", "m").Ask(t.Context(), "hello", entry.Options{Once: test.once})
			require.Len(t, second.headers, test.second)
			if test.kind != "" {
				var refused *entry.Refusal
				require.ErrorAs(t, err, &refused)
				require.Equal(t, test.kind, refused.Type)
				require.Equal(t, test.ran, refused.Ran)
				return
			}
			require.NoError(t, err)
			defer s.Close()
			text, err := s.ReadAll()
			require.NoError(t, err)
			require.Equal(t, "yes", text)
			if test.second > 0 {
				require.Equal(t, test.ticket, second.headers[0].Get(entry.HeaderTicket))
			}
		})
	}
}

func TestClientDetectsCutAnswers(t *testing.T) {
	cut := `data: {"error":{"type":"cut","ran":"ran","retry_after_ms":7}}` + "\n\n"
	tests := []struct {
		name string
		text string
		want any
	}{
		{"no end mark", strings.TrimSuffix(completeAnswer, "data: [DONE]\n\n"), entry.ErrCut},
		{"half an end mark", strings.TrimSuffix(completeAnswer, "E]\n\n"), entry.ErrCut},
		{"not JSON", "data: {\n\n", entry.ErrCut},
		{"reported by the node", strings.TrimSuffix(completeAnswer, "data: [DONE]\n\n") + cut, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(t, respondWith(test.text))
			n.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{n.addr()}}
			c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
			defer c.Close()
			chat := c.Chat("c", "m")
			s, err := chat.Ask(t.Context(), "hello", entry.Options{})
			require.NoError(t, err)
			defer s.Close()
			_, err = s.ReadAll()
			require.Empty(t, chat.Messages(), "a cut answer is no part of the chat")
			if want, ok := test.want.(error); ok {
				require.ErrorIs(t, err, want)
				return
			}
			var refused *entry.Refusal
			require.ErrorAs(t, err, &refused)
			require.Equal(t, entry.RanYes, refused.Ran)
		})
	}
}

func TestClientCachesEntryAnswers(t *testing.T) {
	n := newNode(t, respondWith(completeAnswer))
	gone := newNode(t, respondWith(completeAnswer))
	n.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{gone.addr(), n.addr()}}
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	chat := c.Chat("c", "m")
	ask := func() {
		s, err := chat.Ask(t.Context(), "again", entry.Options{})
		require.NoError(t, err)
		defer s.Close()
		_, err = s.ReadAll()
		require.NoError(t, err)
	}
	ask()
	ask()
	require.Equal(t, 1, n.entryRequests)
	require.Len(t, gone.headers, 2)
	gone.server.Close()
	ask()
	ask()
	require.Equal(t, 2, n.entryRequests, "an answer with a dead node is not kept")
	require.Len(t, chat.Messages(), 8)
	require.Contains(t, n.bodies[1], `"again"},{"role":"assistant","content":"yes"}`)
}

func TestClientReportsUnreachableNodes(t *testing.T) {
	n := newNode(t, respondWith(completeAnswer))
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	n.server.Close()
	_, err := c.Call(t.Context(), entry.Request{Service: "prices"})
	require.ErrorIs(t, err, entry.ErrNoNode)
}

func TestClientChecksReplyLength(t *testing.T) {
	n := newNode(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(entry.HeaderRan, string(entry.RanYes))
		if strings.HasSuffix(r.URL.Path, "cut") {
			w.Header().Set("Content-Length", "100")
		}
		fmt.Fprint(w, r.Method, " ", r.URL.Path)
	})
	n.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{n.addr()}}
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	reply, err := c.Call(t.Context(), entry.Request{Service: "prices", Path: "stock", Method: http.MethodGet})
	require.NoError(t, err)
	require.Equal(t, "GET /v1/services/prices/stock", string(reply.Body))
	_, err = c.Call(t.Context(), entry.Request{Service: "prices", Path: "cut"})
	require.ErrorIs(t, err, entry.ErrCut)
}

func TestAgainRunsOnceRequestsAtMostOnce(t *testing.T) {
	state := entry.TicketVoid
	n := newNode(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, http.MethodDelete, r.Method)
		_ = json.NewEncoder(w).Encode(map[string]any{"ticket": "t1", "state": state})
	})
	n.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{n.addr()}}
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	tests := []struct {
		name   string
		err    error
		once   bool
		state  entry.TicketState
		ok     bool
		ticket string
	}{
		{"no node", entry.ErrNoNode, true, "", true, ""},
		{"not run, a retry helps", &entry.Refusal{Ran: entry.RanNot, RetryAfterMS: 1, Ticket: "t2"}, true, "", true, "t2"},
		{"not run, a retry does not help", &entry.Refusal{Ran: entry.RanNot, Status: 401}, false, "", false, ""},
		{"cut, repeatable", &entry.Refusal{Ran: entry.RanYes}, false, "", true, ""},
		{"cut, once", &entry.Refusal{Ran: entry.RanYes}, true, "", false, ""},
		{"cut, once with ticket", &entry.Refusal{Ran: entry.RanYes, Ticket: "t1"}, true, "", true, "t1"},
		{"unknown, ticket unused", &entry.Refusal{Ran: entry.RanUnknown, Status: 409, Ticket: "t1"}, true, entry.TicketVoid, true, ""},
		{"unknown, ticket used", &entry.Refusal{Ran: entry.RanUnknown, Status: 409, Ticket: "t1"}, true, entry.TicketDone, false, "t1"},
		{"another error", io.ErrUnexpectedEOF, false, "", false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state = test.state
			o := entry.Options{Once: test.once}
			_, ok := c.Again(t.Context(), test.err, &o)
			require.Equal(t, test.ok, ok)
			require.Equal(t, test.ticket, o.Ticket)
		})
	}
}

// Guards against a request that is unknown to the caller although the node
// reports it as not run, because both time out at once.
func TestNodesTimeOutBeforeTheirCallers(t *testing.T) {
	n := newNode(t, respondWith(completeAnswer))
	n.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{n.addr()}}
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	for _, left := range []time.Duration{10 * time.Second, time.Minute} {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		s, err := c.Chat("c", "m").Ask(ctx, "hello", entry.Options{})
		require.NoError(t, err)
		require.NoError(t, s.Close())
		cancel()
		timeout, err := time.ParseDuration(n.headers[len(n.headers)-1].Get(entry.HeaderTimeout))
		require.NoError(t, err)
		require.LessOrEqual(t, timeout, left-500*time.Millisecond)
		require.Positive(t, timeout)
	}
}
