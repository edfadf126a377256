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

const whole = "data: {\"choices\":[{\"delta\":{\"content\":\"yes\"}}]}\n\ndata: [DONE]\n\n"

// fakeNode answers chats as a test says, and entry questions with the nodes it
// is given.
type fakeNode struct {
	server  *httptest.Server
	mu      sync.Mutex
	entry   entry.Answer
	asked   int
	headers []http.Header
	bodies  []string
}

func newNode(t *testing.T, chat http.HandlerFunc) *fakeNode {
	t.Helper()
	n := &fakeNode{}
	mux := http.NewServeMux()
	mux.HandleFunc(entry.PathEntry, func(w http.ResponseWriter, _ *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.asked++
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

func answer(text string) http.HandlerFunc {
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

// askForTicket refuses what has no ticket.
func askForTicket(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(entry.HeaderTicket) == "" {
		w.Header().Set(entry.HeaderTicket, "t-fresh")
		refuse(http.StatusPreconditionRequired, "ticket_required", entry.RanNot)(w, r)
		return
	}
	answer(whole)(w, r)
}

// Guards against this failure: a request runs twice, or a caller gives up though another node
// could have served it.
func TestClientGoesToTheNextNodeOnlyWhereThatIsSafe(t *testing.T) {
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
		{"asks for a ticket", askForTicket, true, "", 0, "", ""},
		{"busy, nobody looked at the ticket", refuse(503, "busy", entry.RanUnknown), true, "t1", 1, "", ""},
		{"the ticket's node is gone", refuse(409, "ticket_unknown", entry.RanUnknown), true, "t1", 0, "ticket_unknown", entry.RanUnknown},
		{"no refusal of a node", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, false, "", 0, "status", entry.RanUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newNode(t, test.first), newNode(t, answer(whole))
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

func TestClientTellsCutAnswers(t *testing.T) {
	cut := `data: {"error":{"type":"cut","ran":"ran","retry_after_ms":7}}` + "\n\n"
	tests := []struct {
		name string
		text string
		want any
	}{
		{"no mark", strings.TrimSuffix(whole, "data: [DONE]\n\n"), entry.ErrCut},
		{"half a mark", strings.TrimSuffix(whole, "E]\n\n"), entry.ErrCut},
		{"not JSON", "data: {\n\n", entry.ErrCut},
		{"told by the node", strings.TrimSuffix(whole, "data: [DONE]\n\n") + cut, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(t, answer(test.text))
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

func TestClientKeepsAnswersUntilTheyExpireOrFail(t *testing.T) {
	n := newNode(t, answer(whole))
	gone := newNode(t, answer(whole))
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
	require.Equal(t, 1, n.asked)
	require.Len(t, gone.headers, 2)
	gone.server.Close()
	ask()
	ask()
	require.Equal(t, 2, n.asked, "an answer with a dead node is not kept")
	require.Len(t, chat.Messages(), 8)
	require.Contains(t, n.bodies[1], `"again"},{"role":"assistant","content":"yes"}`)
}

func TestClientFindsNoNode(t *testing.T) {
	n := newNode(t, answer(whole))
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	n.server.Close()
	_, err := c.Call(t.Context(), entry.Request{Service: "prices"})
	require.ErrorIs(t, err, entry.ErrNoNode)
}

func TestClientChecksTheLengthOfReplies(t *testing.T) {
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

func TestAgainKeepsOnceToOneRun(t *testing.T) {
	void := entry.TicketVoid
	n := newNode(t, func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, http.MethodDelete, r.Method)
		_ = json.NewEncoder(w).Encode(map[string]any{"ticket": "t1", "state": void})
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
		{"not run, may come back", &entry.Refusal{Ran: entry.RanNot, RetryAfterMS: 1, Ticket: "t2"}, true, "", true, "t2"},
		{"not run, no use", &entry.Refusal{Ran: entry.RanNot, Status: 401}, false, "", false, ""},
		{"cut, repeatable", &entry.Refusal{Ran: entry.RanYes}, false, "", true, ""},
		{"cut, once", &entry.Refusal{Ran: entry.RanYes}, true, "", false, ""},
		{"cut, once with ticket", &entry.Refusal{Ran: entry.RanYes, Ticket: "t1"}, true, "", true, "t1"},
		{"unknown, ticket unused", &entry.Refusal{Ran: entry.RanUnknown, Status: 409, Ticket: "t1"}, true, entry.TicketVoid, true, ""},
		{"unknown, ticket used", &entry.Refusal{Ran: entry.RanUnknown, Status: 409, Ticket: "t1"}, true, entry.TicketDone, false, "t1"},
		{"another error", io.ErrUnexpectedEOF, false, "", false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			void = test.state
			o := entry.Options{Once: test.once}
			_, ok := c.Again(t.Context(), test.err, &o)
			require.Equal(t, test.ok, ok)
			require.Equal(t, test.ticket, o.Ticket)
		})
	}
}

// Guards against this failure: a caller holds a request for unknown of which the node says that
// it was not run.
func TestNodesGiveUpBeforeTheirCallers(t *testing.T) {
	n := newNode(t, answer(whole))
	n.entry = entry.Answer{KeepMS: 60_000, Nodes: []netip.AddrPort{n.addr()}}
	c := entry.New(entry.Config{Addrs: []netip.AddrPort{n.addr()}})
	defer c.Close()
	for _, left := range []time.Duration{10 * time.Second, time.Minute} {
		ctx, cancel := context.WithTimeout(t.Context(), left)
		s, err := c.Chat("c", "m").Ask(ctx, "hello", entry.Options{})
		require.NoError(t, err)
		require.NoError(t, s.Close())
		cancel()
		told, err := time.ParseDuration(n.headers[len(n.headers)-1].Get(entry.HeaderTimeout))
		require.NoError(t, err)
		require.LessOrEqual(t, told, left-500*time.Millisecond)
		require.Positive(t, told)
	}
}
