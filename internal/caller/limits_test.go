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

// Guards against a client account, or all of them together, that fill the node with requests
// waiting for an endpoint.
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
	send := func(key string) {
		go func() {
			_, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, "Authorization", "Bearer "+key))
			whole <- err
		}()
		<-entered
	}
	send(secret)
	resp, text, _ := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody))
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	require.Contains(t, text, `"ran":"not_run"`)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	send("other")
	resp, _, _ = do(t, request(t, "POST", s.URL+entry.PathChat, chatBody, "Authorization", "Bearer other"))
	require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
	close(leave)
	require.NoError(t, <-whole)
	require.NoError(t, <-whole)
	require.NoError(t, h.Wait(t.Context()))
}

// Guards against callers who stop reading and keep engines and the node's memory occupied.
func TestSlowReadersAreDisconnected(t *testing.T) {
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

// Guards against callers who never finish sending a body and occupy a slot indefinitely.
func TestSlowWritersAreDisconnected(t *testing.T) {
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

// Guards against request bodies that exceed the node's memory together, so that it is killed
// with all its requests.
func TestMemoryOfBodiesIsBounded(t *testing.T) {
	entered := make(chan struct{})
	leave := make(chan struct{})
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		entered <- struct{}{}
		<-leave
		return streamed(events(call.Attempt, "data: [DONE]\n\n")), nil
	}}
	s, h := serve(t, e, caller.Config{MaxHeld: int64(2*len(chatBody) - 1), MaxBody: int64(len(chatBody))})
	whole := make(chan error, 1)
	go func() {
		_, _, err := do(t, request(t, "POST", s.URL+entry.PathChat, chatBody))
		whole <- err
	}()
	<-entered
	tests := []struct {
		name   string
		length int64
	}{{"known length", int64(len(chatBody))}, {"unknown length", -1}}
	for _, test := range tests {
		req := request(t, "POST", s.URL+entry.PathChat, chatBody)
		req.ContentLength = test.length
		resp, text, _ := do(t, req)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, test.name)
		require.Contains(t, text, `"ran":"not_run"`)
	}
	leave <- struct{}{}
	require.NoError(t, <-whole)
	require.NoError(t, h.Wait(t.Context()))
	go func() {
		<-entered
		leave <- struct{}{}
	}()
	req := request(t, "POST", s.URL+entry.PathChat, chatBody)
	req.ContentLength = -1
	resp, text, err := do(t, req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, text)
}

// Guards against unstreamed answers that exceed the node's memory together.
func TestMemoryOfAnswersIsBounded(t *testing.T) {
	stream := false
	e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
		if stream {
			return streamed(strings.Repeat(events(call.Attempt), 30)), nil
		}
		return &endpoint.Answer{Status: 200, Header: http.Header{}, Body: newBody(strings.NewReader(strings.Repeat("x", 2<<10))), Framed: true}, nil
	}}
	s, h := serve(t, e, caller.Config{MaxHeld: 1 << 10})
	for _, path := range []string{"/v1/services/prices/x", entry.PathChat, entry.PathChat} {
		resp, text, err := do(t, request(t, "POST", s.URL+path, strings.Replace(chatBody, "true", "false", 1)))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, text)
		require.Contains(t, text, `"ran":"ran"`)
		require.NoError(t, h.Wait(t.Context()))
		stream = path == entry.PathChat
	}
}
