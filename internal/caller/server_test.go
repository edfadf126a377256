package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const chatBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`

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

// Symptom: a caller takes half an answer for a whole one. Sequence: the
// endpoint's stream ends without its end mark, within a line, or its plain
// answer has no marked end. Cause: the node passed an end on that the endpoint
// never gave.
func TestCutAnswersAreToldFromWholeOnes(t *testing.T) {
	plain := func(status int, body io.Reader, framed bool) *endpoint.Answer {
		return &endpoint.Answer{Status: status, Header: http.Header{}, Body: newBody(body), Framed: framed}
	}
	broken := io.MultiReader(strings.NewReader("half"), iotestError{})
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
			return plain(200, io.MultiReader(strings.NewReader(`{"id":"`+a), iotestError{}), true)
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

// Symptom: a caller reads words of another caller's answer. Sequence: an
// endpoint writes events of an earlier attempt into a stream. Cause: the node
// trusted the connection in place of the attempt's id.
func TestCrossedAnswersAreDropped(t *testing.T) {
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

func TestWaitingRequestsAreBounded(t *testing.T) {
	entered := make(chan struct{})
	leave := make(chan struct{})
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		entered <- struct{}{}
		<-leave
		return streamed(events(call.Attempt, "data: [DONE]\n\n")), nil
	}}
	s, h := serve(t, e, caller.Config{MaxAccount: 1, MaxWaiting: 2, MaxActive: 3})
	whole := make(chan error, 2)
	ask := func(key string) {
		go func() {
			_, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, "Authorization", "Bearer "+key))
			whole <- err
		}()
		<-entered
	}
	ask(secret)
	resp, text, _ := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody))
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	require.Contains(t, text, `"ran":"not_run"`)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	ask("other")
	resp, _, _ = do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, "Authorization", "Bearer other"))
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	close(leave)
	require.NoError(t, <-whole)
	require.NoError(t, <-whole)
	require.NoError(t, h.Wait(t.Context()))
}

// Symptom: memory grows and engines stay taken. Sequence: a caller asks for a
// stream and stops reading. Cause: a write without a deadline waits as long as
// the caller likes.
func TestSlowReadersAreCutOff(t *testing.T) {
	answer := &body{closed: make(chan struct{})}
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		answer.Reader = endless(events(call.Attempt))
		a := streamed("")
		a.Body = answer
		return a, nil
	}}
	s, _ := serve(t, e, caller.Config{WriteTimeout: 50 * time.Millisecond})
	c := dial(t, s)
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		entry.PathChat, secret, len(chatBody), chatBody)
	require.NoError(t, err)
	<-answer.closed
}

// Symptom: a place on the node is taken without end. Sequence: a caller sends a
// body a byte at a time or not at all. Cause: a read without a deadline.
func TestSlowWritersAreCutOff(t *testing.T) {
	e := &endpoints{}
	s, h := serve(t, e, caller.Config{ReadTimeout: 50 * time.Millisecond})
	c := dial(t, s)
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", entry.PathChat, secret)
	require.NoError(t, err)
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(text), "400 Bad Request")
	require.NoError(t, h.Wait(t.Context()))
}

func TestHangingUpReachesTheEndpoint(t *testing.T) {
	gone := make(chan struct{})
	entered := make(chan struct{})
	e := &endpoints{answer: func(ctx context.Context, _ endpoint.Call) (*endpoint.Answer, error) {
		close(entered)
		<-ctx.Done()
		close(gone)
		return nil, endpoint.ErrLost
	}}
	s, _ := serve(t, e, caller.Config{})
	ctx, hangUp := context.WithCancel(t.Context())
	go func() {
		resp, err := http.DefaultClient.Do(request(t, "POST", s.URL+entry.PathChat, chatBody).WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
	}()
	<-entered
	hangUp()
	<-gone
}

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

func TestRefusingEndsConnections(t *testing.T) {
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
