package loopback_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	chatPath     = entry.PathChat
	readyTimeout = time.Minute
)

// exchange is one request of a caller and what it got.
type exchange struct {
	node, method, path, account, ticket, body string
	// addr is where the node is, if it is not one of the fleet's own.
	addr netip.AddrPort
	// repeatable requests are not marked as once-only.
	repeatable bool
	// timeout is the X-Timeout that the caller names.
	timeout string
	status  int
	header  http.Header
	text    string
}

func (x exchange) request(ctx context.Context, f *loopback.Fleet) (*http.Response, error) {
	method := x.method
	if method == "" {
		method = http.MethodPost
	}
	addr := x.addr
	if !addr.IsValid() {
		addr = f.Caller(x.node)
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%v%s", addr, x.path), strings.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	account := x.account
	if account == "" {
		account = "a1"
	}
	req.Header.Set("Authorization", "Bearer "+loopback.Secret(account))
	if x.method == "" && !x.repeatable {
		req.Header.Set(caller.HeaderOnce, "1")
	}
	if x.timeout != "" {
		req.Header.Set(caller.HeaderTimeout, x.timeout)
	}
	if x.ticket != "" {
		req.Header.Set(caller.HeaderTicket, x.ticket)
	}
	return http.DefaultClient.Do(req)
}

// do sends the request and reads the answer whole.
func (x exchange) do(f *loopback.Fleet) (exchange, error) {
	resp, err := x.request(context.Background(), f)
	if err != nil {
		return x, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	x.status, x.header, x.text = resp.StatusCode, resp.Header, string(data)
	return x, err
}

func (x exchange) must(t *testing.T, f *loopback.Fleet) exchange {
	t.Helper()
	x, err := x.do(f)
	require.NoError(t, err)
	return x
}

func notice(i int) string {
	return fmt.Sprintf(`{"model":"notices","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"renewal %d"}]}`, i)
}

// engines is a fleet's endpoints, also those that died since.
type engines []*loopback.Endpoint

func enginesOf(f *loopback.Fleet, c loopback.Config) engines {
	var list engines
	for _, e := range c.Endpoints {
		if running := f.Endpoint(e.Name); running != nil {
			list = append(list, running)
		}
	}
	return list
}

// runs returns how often the engines ran a body.
func (l engines) runs(body string) int {
	total := 0
	for _, e := range l {
		total += e.Ran()[body]
	}
	return total
}

// runs returns how often the living engines ran a body.
func runs(f *loopback.Fleet, c loopback.Config, body string) int {
	return enginesOf(f, c).runs(body)
}

func ticketOf(t *testing.T, f *loopback.Fleet, node, body string) string {
	t.Helper()
	x := exchange{node: node, path: chatPath, body: body}.must(t, f)
	require.Equal(t, http.StatusPreconditionRequired, x.status, x.text)
	require.Contains(t, x.text, `"ran":"not_run"`)
	require.NotEmpty(t, x.header.Get(caller.HeaderTicket))
	return x.header.Get(caller.HeaderTicket)
}

func stateOf(t *testing.T, f *loopback.Fleet, node, ticket string) atmostonce.State {
	t.Helper()
	x := exchange{node: node, method: http.MethodGet, path: "/v1/tickets/" + ticket}.must(t, f)
	var s caller.TicketState
	require.NoError(t, json.Unmarshal([]byte(x.text), &s), x.text)
	return s.State
}

func TestOnceNeedsATicket(t *testing.T) {
	c := loopback.Thies()
	f := start(t, c)
	body := notice(1)
	ticket := ticketOf(t, f, "n1", body)
	require.Zero(t, runs(f, c, body))
	require.Equal(t, atmostonce.Unused, stateOf(t, f, "n1", ticket))
	require.Equal(t, atmostonce.Unused, stateOf(t, f, "n2", ticket), "asked at another node")

	first := exchange{node: "n1", path: chatPath, body: body, ticket: ticket}.must(t, f)
	require.Equal(t, http.StatusOK, first.status, first.text)
	require.True(t, strings.HasSuffix(first.text, "data: [DONE]\n\n"), first.text)
	again := exchange{node: "n3", path: chatPath, body: body, ticket: ticket}.must(t, f)
	require.Equal(t, first.text, again.text, "another node relays to the kept answer")
	require.Equal(t, atmostonce.Done, stateOf(t, f, "n4", ticket))
	require.Equal(t, 1, runs(f, c, body))

	other := exchange{node: "n1", path: chatPath, body: notice(2), ticket: ticket}.must(t, f)
	require.Equal(t, http.StatusConflict, other.status)
	stranger := exchange{node: "n1", path: chatPath, body: body, ticket: ticket, account: "a2"}.must(t, f)
	require.Equal(t, http.StatusConflict, stranger.status)
	require.Contains(t, stranger.text, `"ran":"unknown"`)
	require.NotContains(t, stranger.text, "DONE")
}

func TestEntryCarriesTickets(t *testing.T) {
	c := loopback.Thies()
	f := start(t, c)
	x := exchange{node: "n2", method: http.MethodGet, path: "/v1/entry"}.must(t, f)
	var e entry.Answer
	require.NoError(t, json.Unmarshal([]byte(x.text), &e))
	require.Len(t, e.Tickets, caller.EntryTickets)
	for i, ticket := range e.Tickets {
		x := exchange{node: "n2", path: chatPath, body: notice(i), ticket: ticket}.must(t, f)
		require.Equal(t, http.StatusOK, x.status, x.text)
	}
}

// Guards against this failure: two renewal letters for one deposit.
func TestSameTicketAtEveryNodeAtOnceRunsOnce(t *testing.T) {
	c := loopback.Thies()
	f := start(t, c)
	for i := range 3 {
		body := notice(i)
		ticket := ticketOf(t, f, "n1", body)
		answers := make([]exchange, 2*len(c.Nodes))
		var wait sync.WaitGroup
		for j := range answers {
			wait.Go(func() {
				x, err := exchange{node: c.Nodes[j%len(c.Nodes)].Name, path: chatPath, body: body, ticket: ticket}.do(f)
				if err != nil {
					t.Error(err)
				}
				answers[j] = x
			})
		}
		wait.Wait()
		for _, x := range answers {
			require.Equal(t, answers[0].text, x.text)
			require.True(t, strings.HasSuffix(x.text, "data: [DONE]\n\n"), x.text)
		}
		require.Equal(t, 1, runs(f, c, body))
	}
}

// Guards against this failure: a caller never gets the letter that was costed.
func TestCallerThatHungUpComesBackToItsAnswer(t *testing.T) {
	c := loopback.Thies()
	f := start(t, c)
	body := notice(1)
	ticket := ticketOf(t, f, "n1", body)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := exchange{node: "n1", path: chatPath, body: body, ticket: ticket}.request(ctx, f)
	require.NoError(t, err)
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	resp.Body.Close()
	again := exchange{node: "n2", path: chatPath, body: body, ticket: ticket}.must(t, f)
	require.True(t, strings.HasPrefix(again.text, line), again.text)
	require.True(t, strings.HasSuffix(again.text, "data: [DONE]\n\n"), again.text)
	require.Equal(t, 1, runs(f, c, body))
}

// Guards against a copy of a request that ends within the answer without a word: its caller
// could neither tell whether the request was run nor what to do.
func TestCopyThatEndsWithinTheAnswerSaysWhatToDo(t *testing.T) {
	nothing := func(*testing.T, *loopback.Fleet) {}
	tests := map[string]struct {
		nodes   []string
		timeout string
		// happens is once the copy's answer has begun.
		happens func(t *testing.T, f *loopback.Fleet)
		kind    string
	}{
		"time is up": {[]string{"n1", "n2", "n3"}, "300ms", nothing, "deadline"},
		"holder is silent": {[]string{"n2"}, "1s", func(_ *testing.T, f *loopback.Fleet) {
			f.Network.Cut([]string{"n1"}, []string{"n2"})
		}, "deadline"},
		"holder dies": {[]string{"n2"}, "1m", func(t *testing.T, f *loopback.Fleet) {
			require.NoError(t, f.KillNode("n1"))
		}, "cut"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := small()
			c.Nodes = loopback.Thies().Nodes[:3]
			f := start(t, c)
			body := strings.Replace(notice(1), `"max_tokens":8`, `"max_tokens":1000000`, 1)
			ticket := ticketOf(t, f, "n1", body)
			first, err := exchange{node: "n1", path: chatPath, body: body, ticket: ticket}.request(t.Context(), f)
			require.NoError(t, err)
			defer first.Body.Close()
			for _, node := range test.nodes {
				x := exchange{node: node, path: chatPath, body: body, ticket: ticket, timeout: test.timeout}
				resp, err := x.request(t.Context(), f)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, resp.StatusCode)
				_, err = resp.Body.Read(make([]byte, 1))
				require.NoError(t, err)
				test.happens(t, f)
				rest, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				require.Error(t, err, "the connection breaks")
				requireEndedEarly(t, string(rest), test.kind)
			}
			require.Equal(t, 1, runs(f, c, body))
		})
	}
}

// requireEndedEarly checks that a stream's last event, and no other, says that the caller
// may come back under its ticket.
func requireEndedEarly(t *testing.T, text, kind string) {
	t.Helper()
	require.NotContains(t, text, "[DONE]")
	require.Equal(t, 1, strings.Count(text, `"error"`), text)
	last := text[strings.LastIndex(text, "data: "):]
	var p entry.Problem
	require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(last, "data: ")), &p), last)
	require.Equal(t, entry.RanUnknown, p.Error.Ran)
	require.Equal(t, kind, p.Error.Type)
	require.Positive(t, p.Error.RetryAfterMS)
	require.Contains(t, p.Error.Message, "come back with the same ticket")
}

// Guards against this failure: a request of which the caller was told "not run" runs after all.
func TestVoidedTicketNeverRuns(t *testing.T) {
	c := loopback.Thies()
	f := start(t, c)
	body := notice(1)
	ticket := ticketOf(t, f, "n1", body)
	x := exchange{node: "n5", method: http.MethodDelete, path: "/v1/tickets/" + ticket}.must(t, f)
	require.Equal(t, http.StatusOK, x.status, x.text)
	require.Contains(t, x.text, string(atmostonce.Void))
	for _, n := range c.Nodes {
		x := exchange{node: n.Name, path: chatPath, body: body, ticket: ticket}.must(t, f)
		require.Equal(t, http.StatusConflict, x.status)
		require.Contains(t, x.text, `"ran":"not_run"`)
	}
	require.Zero(t, runs(f, c, body))
}

// Guards against this failure: a request runs a second time after a node died or was replaced.
func TestTicketOfADeadNodeIsUnknownAndNeverRuns(t *testing.T) {
	c := loopback.Thies()
	f := start(t, c)
	body := notice(1)
	ticket := ticketOf(t, f, "n1", body)
	unused := ticketOf(t, f, "n1", notice(2))
	x := exchange{node: "n1", path: chatPath, body: body, ticket: ticket}.must(t, f)
	require.Equal(t, http.StatusOK, x.status, x.text)
	require.NoError(t, f.KillNode("n1"))
	refuse := func(node string) {
		for _, b := range []string{body, notice(2)} {
			given := ticket
			if b != body {
				given = unused
			}
			x := exchange{node: node, path: chatPath, body: b, ticket: given}.must(t, f)
			require.Equal(t, http.StatusConflict, x.status, x.text)
			require.Contains(t, x.text, `"ran":"unknown"`)
			require.Equal(t, atmostonce.Unknown, stateOf(t, f, node, given))
		}
	}
	refuse("n2")
	require.NoError(t, f.StartNode(c.Nodes[0]))
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	refuse("n1")
	refuse("n2")
	require.Equal(t, 1, runs(f, c, body))
	require.Zero(t, runs(f, c, notice(2)))
}

// Guards against this failure: a caller is told "not run" of a request that ran, and sends it
// with a fresh ticket.
func TestRefusalOfACopyDoesNotSayNotRun(t *testing.T) {
	c := small()
	f := start(t, c)
	body := notice(1)
	ticket := ticketOf(t, f, "n1", body)
	x := exchange{node: "n1", path: chatPath, body: body, ticket: ticket}.must(t, f)
	require.Equal(t, http.StatusOK, x.status, x.text)
	x = exchange{node: "n1", path: chatPath, body: body, ticket: ticket, timeout: "soon"}.must(t, f)
	require.Equal(t, http.StatusBadRequest, x.status, x.text)
	require.Contains(t, x.text, `"ran":"unknown"`)
	require.Equal(t, string(entry.RanUnknown), x.header.Get(entry.HeaderRan))
}
