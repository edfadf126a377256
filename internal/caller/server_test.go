package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const chatBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`

// Guards against malformed requests that are dispatched, or refused without saying that they
// did not run.
func TestMalformedRequestsAreRefusedAndNotDispatched(t *testing.T) {
	e := &endpoints{answer: func(context.Context, endpoint.Call) (*endpoint.Answer, error) {
		return nil, endpoint.ErrNotRun
	}}
	s, _ := serve(t, e, caller.Config{MaxBody: 1 << 10})
	message := `"messages":[{"role":"user","content":"x"}]`
	tests := []struct {
		name    string
		method  string
		path    string
		body    string
		headers []string
		status  int
		kind    string
	}{
		{"no JSON", "POST", entry.PathChat, "hello", nil, 400, "bad_request"},
		{"half JSON", "POST", entry.PathChat, chatBody[:20], nil, 400, "bad_request"},
		{"trailing data", "POST", entry.PathChat, chatBody + chatBody, nil, 400, "bad_request"},
		{"wrong type", "POST", entry.PathChat, `{"model":7}`, nil, 400, "bad_request"},
		{"no model", "POST", entry.PathChat, `{` + message + `}`, nil, 400, "bad_request"},
		{"no messages", "POST", entry.PathChat, `{"model":"m"}`, nil, 400, "bad_request"},
		{"no role", "POST", entry.PathChat, `{"model":"m","messages":[{"content":"x"}]}`, nil, 400, "bad_request"},
		{"negative max_tokens", "POST", entry.PathChat, `{"model":"m","max_tokens":-1,` + message + `}`, nil, 400, "bad_request"},
		{"absurd max_tokens", "POST", entry.PathChat, `{"model":"m","max_tokens":1e9,` + message + `}`, nil, 400, "bad_request"},
		{"large body", "POST", entry.PathChat, strings.Repeat(" ", 2<<10) + chatBody, nil, 413, "too_large"},
		{"unknown model", "POST", entry.PathChat, `{"model":"x",` + message + `}`, nil, 404, "unknown_model"},
		{"wrong method", "GET", entry.PathChat, "", nil, 405, "method_not_allowed"},
		{"wrong method on entry", "POST", entry.PathEntry, "", nil, 405, "method_not_allowed"},
		{"wrong method on service", "TRACE", "/v1/services/prices/x", "", nil, 405, "method_not_allowed"},
		{"unknown path", "GET", "/v2", "", nil, 404, "unknown_path"},
		{"unknown service", "GET", "/v1/services/none/x", "", nil, 404, "unknown_service"},
		{"chat service as plain", "GET", "/v1/services/engines/x", "", nil, 404, "unknown_service"},
		{"escaped dots", "GET", "/v1/services/prices/%2e%2e/admin", "", nil, 400, "bad_request"},
		{"bad timeout", "POST", entry.PathChat, chatBody, []string{entry.HeaderTimeout, "-3s"}, 400, "bad_request"},
		{"bad priority", "POST", entry.PathChat, chatBody, []string{entry.HeaderPriority, "high"}, 400, "bad_request"},
		{"bad once", "POST", entry.PathChat, chatBody, []string{entry.HeaderOnce, "maybe"}, 400, "bad_request"},
		{"long chat", "POST", entry.PathChat, chatBody, []string{entry.HeaderChat, strings.Repeat("c", 300)}, 400, "bad_request"},
		{"wrong key", "POST", entry.PathChat, chatBody, []string{"Authorization", "Bearer wrong"}, 401, "unauthorized"},
		{"no key", "POST", entry.PathChat, chatBody, []string{"Authorization", ""}, 401, "unauthorized"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp, text, err := do(t, request(t, test.method, s.URL+test.path, test.body, test.headers...))
			require.NoError(t, err)
			require.Equal(t, test.status, resp.StatusCode, text)
			require.Contains(t, text, `"type":"`+test.kind+`"`)
			require.Contains(t, text, `"ran":"not_run"`)
		})
	}
	require.Zero(t, e.calls.Load())
}

// Guards against a caller who takes a truncated answer for a complete one.
func TestTruncatedAnswersAreDetectable(t *testing.T) {
	plain := func(status int, body io.Reader, framed bool) *endpoint.Answer {
		return &endpoint.Answer{Status: status, Header: http.Header{}, Body: newBody(body), Framed: framed}
	}
	broken := io.MultiReader(strings.NewReader("half"), errorReader{})
	tests := []struct {
		name   string
		path   string
		stream bool
		answer func(attempt string) *endpoint.Answer
		text   string
	}{
		{"stream without mark", entry.PathChat, true, func(a string) *endpoint.Answer { return streamed(events(a)) }, `"type":"cut"`},
		{"stream cut in the mark", entry.PathChat, true, func(a string) *endpoint.Answer { return streamed(events(a, "data: [DON")) }, `"type":"cut"`},
		{"stream cut in a line", entry.PathChat, true, func(a string) *endpoint.Answer { return streamed(events(a, `data: {"id":"`+a+`"}`)) }, `"type":"cut"`},
		{"not streamed, cut", entry.PathChat, false, func(a string) *endpoint.Answer {
			return plain(200, io.MultiReader(strings.NewReader(`{"id":"`+a), errorReader{}), true)
		}, `"type":"cut"`},
		{"plain, cut", "/v1/services/prices/x", false, func(string) *endpoint.Answer { return plain(200, broken, true) }, `"type":"cut"`},
		{"plain, end not marked", "/v1/services/prices/x", false, func(string) *endpoint.Answer {
			return plain(200, strings.NewReader("whole?"), false)
		}, `"type":"cut"`},
		{"plain, too large", "/v1/services/prices/x", false, func(string) *endpoint.Answer {
			return plain(200, strings.NewReader(strings.Repeat("x", 2<<10)), true)
		}, `"type":"answer_too_large"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
				return test.answer(call.Attempt), nil
			}}
			s, _ := serve(t, e, caller.Config{MaxAnswer: 1 << 10})
			resp, text, err := do(t, request(t, "POST", s.URL+test.path, strings.Replace(chatBody, "true", fmt.Sprint(test.stream), 1)))
			require.Contains(t, text, test.text)
			require.Contains(t, text, `"ran":"ran"`)
			require.NotContains(t, text, entry.DoneMark)
			if test.stream {
				require.Error(t, err, "the connection must break")
				return
			}
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		})
	}
}

// Guards against a caller who receives parts of another caller's answer.
func TestDataOfOtherAttemptsIsDropped(t *testing.T) {
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		crossed := `data: {"id":"` + call.Attempt + `0","choices":[{"delta":{"content":"theirs"}}]}` + "\n\n"
		own := `data: {"choices":[{"delta":{"content":"ours"}}], "id":"` + call.Attempt + `"}` + "\n\n"
		return streamed(events(call.Attempt, crossed, own, "data: [DONE]\n\n")), nil
	}}
	s, _ := serve(t, e, caller.Config{})
	for _, stream := range []string{"true", "false"} {
		_, text, err := do(t, request(t, "POST", s.URL+entry.PathChat, strings.Replace(chatBody, "true", stream, 1)))
		require.NoError(t, err)
		require.Contains(t, text, "ours")
		require.NotContains(t, text, "theirs")
	}
	e.answer = func(context.Context, endpoint.Call) (*endpoint.Answer, error) {
		return &endpoint.Answer{Status: 200, Header: http.Header{}, Body: newBody(strings.NewReader(`{"id":"other"}`)), Framed: true}, nil
	}
	resp, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, strings.Replace(chatBody, "true", "false", 1)))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
}

// Guards against an endpoint that keeps working for a caller who has disconnected.
func TestDisconnectCancelsEndpointCall(t *testing.T) {
	gone := make(chan struct{})
	entered := make(chan struct{})
	e := &endpoints{answer: func(ctx context.Context, _ endpoint.Call) (*endpoint.Answer, error) {
		close(entered)
		<-ctx.Done()
		close(gone)
		return nil, endpoint.ErrLost
	}}
	s, _ := serve(t, e, caller.Config{})
	ctx, disconnect := context.WithCancel(t.Context())
	go func() {
		resp, err := http.DefaultClient.Do(request(t, "POST", s.URL+entry.PathChat, chatBody).WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
	}()
	<-entered
	disconnect()
	<-gone
}

// Guards against header values of the caller that do not reach the endpoint.
func TestDeadlineAndPriorityReachTheEndpoint(t *testing.T) {
	calls := make(chan endpoint.Call, 1)
	e := &endpoints{answer: func(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		calls <- call
		<-ctx.Done()
		return nil, endpoint.ErrLost
	}}
	s, _ := serve(t, e, caller.Config{})
	headers := []string{
		entry.HeaderTimeout, "20ms", entry.HeaderPriority, "-3",
		entry.HeaderOnce, "true", entry.HeaderChat, "c1",
	}
	resp, text, _ := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, headers...))
	require.Equal(t, http.StatusPreconditionRequired, resp.StatusCode)
	require.Contains(t, text, `"ran":"not_run"`)
	headers = append(headers, caller.HeaderTicket, resp.Header.Get(caller.HeaderTicket))
	resp, text, _ = do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, headers...))
	require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
	require.Contains(t, text, `"ran":"unknown"`)
	got := <-calls
	require.Equal(t, -3, got.Priority)
	require.True(t, got.Once)
	require.Equal(t, "a/c1", got.Chat)
	require.False(t, got.Deadline.IsZero())
}

// Guards against two client accounts that share a cached chat, by the same chat name or the
// same first turn.
func TestAccountsNeverShareChats(t *testing.T) {
	var chats []string
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		chats = append(chats, call.Chat)
		return streamed(events(call.Attempt, "data: [DONE]\n\n")), nil
	}}
	s, _ := serve(t, e, caller.Config{})
	for _, headers := range [][]string{
		{entry.HeaderChat, "c"},
		{entry.HeaderChat, "c", "Authorization", "Bearer other"},
		{},
		{"Authorization", "Bearer other"},
	} {
		_, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, headers...))
		require.NoError(t, err)
	}
	require.NotEqual(t, chats[0], chats[1])
	require.NotEqual(t, chats[2], chats[3])
}

// Guards against callers who keep connections to a node that is stopping.
func TestRefusalClosesConnection(t *testing.T) {
	e := &endpoints{}
	s, h := serve(t, e, caller.Config{})
	h.Refuse()
	resp, text, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, text, `"type":"stopping"`)
	require.Contains(t, text, `"ran":"not_run"`)
	require.True(t, resp.Close)
}

// Guards against a stream that continues after its deadline, or ends without an error event.
func TestDeadlineEndsStreams(t *testing.T) {
	freed := make(chan struct{})
	e := &endpoints{answer: func(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		a := streamed("")
		a.Body = &body{Reader: io.MultiReader(strings.NewReader(events(call.Attempt)), stalledReader{ctx}), closed: freed}
		return a, nil
	}}
	s, _ := serve(t, e, caller.Config{})
	_, text, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, entry.HeaderTimeout, "50ms"))
	require.Error(t, err, "the connection must break")
	require.Contains(t, text, `"type":"deadline"`)
	require.Contains(t, text, `"ran":"ran"`)
	require.NotContains(t, text, entry.DoneMark)
	<-freed
}

func FuzzRequest(f *testing.F) {
	f.Add(chatBody, "c", "", "30s")
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"max_tokens":1}`, "", "h1:3:w1", "")
	f.Add(`{"model":"m","messages":[null]}`, "\x00", "h1::", "1e9h")
	e := &endpoints{answer: func(context.Context, endpoint.Call) (*endpoint.Answer, error) {
		return nil, endpoint.ErrNotRun
	}}
	v := view()
	h := handler(e, v, caller.Config{})
	f.Fuzz(func(t *testing.T, text, chat, hint, timeout string) {
		r := request(t, "POST", entry.PathChat, text)
		r.Header[entry.HeaderChat] = []string{chat}
		r.Header[entry.HeaderHint] = []string{hint}
		r.Header[entry.HeaderTimeout] = []string{timeout}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		var p entry.Problem
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p), w.Body.String())
		require.Equal(t, entry.RanNot, p.Error.Ran)
		require.True(t, w.Code == http.StatusServiceUnavailable || w.Code >= 400 && w.Code < 500, w.Code)
	})
}
