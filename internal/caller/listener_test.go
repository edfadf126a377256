package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// listen starts a server on a tracked listener.
func listen(t *testing.T, h http.Handler, c caller.ListenerConfig) (*caller.Listener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c.Listener = l
	tracked := caller.NewListener(c)
	s := caller.NewServer(h)
	served := make(chan error, 1)
	go func() { served <- s.Serve(tracked) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-served
	})
	return tracked, l.Addr().String()
}

func dialTo(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a request that arrives in pieces while the node stops, and whose connection
// is closed without an answer.
func TestRequestThatArrivesDuringDrainIsRefused(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			e := &endpoints{answer: func(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
				return streamed(events(call.Attempt, "data: [DONE]\n\n")), nil
			}}
			h := handler(e, view(), caller.Config{})
			l, addr := listen(t, h, caller.ListenerConfig{})
			c := dialTo(t, addr)
			answers := bufio.NewReader(c)
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", entry.PathChat, secret)
			rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chatBody), chatBody)
			if kept {
				_, err := io.WriteString(c, head+rest)
				require.NoError(t, err)
				resp, err := http.ReadResponse(answers, nil)
				require.NoError(t, err)
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
			}
			idle := dialTo(t, addr)
			_, err := io.WriteString(c, head)
			require.NoError(t, err)
			h.Refuse()
			require.Eventually(t, func() bool { return l.Reading() == 1 }, patience, pollInterval)
			drained := make(chan error, 1)
			go func() { drained <- l.Drain(t.Context()) }()
			_, err = idle.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF, "idle connections are closed")
			_, err = io.WriteString(c, rest)
			require.NoError(t, err)
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err)
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Contains(t, string(data), `"type":"stopping"`)
			require.Contains(t, string(data), `"ran":"not_run"`)
			require.True(t, resp.Close)
			require.NoError(t, <-drained)
			_, err = net.Dial("tcp", addr)
			require.Error(t, err)
		})
	}
}

// Guards against connections above the limit that are closed while no log line shows it.
func TestConnectionLimitIsLogged(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	h := handler(&endpoints{}, view(), caller.Config{})
	_, addr := listen(t, h, caller.ListenerConfig{Max: 1, Log: log})
	first := dialTo(t, addr)
	_, err := fmt.Fprintf(first, "GET /v2 HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	for range 3 {
		_, err = dialTo(t, addr).Read(make([]byte, 1))
		require.Error(t, err)
	}
	lines := linesWith(hook, "refused")
	require.NotEmpty(t, lines)
	require.Equal(t, 1, lines[0]["refused"])
	require.Equal(t, 1, lines[0]["max"])
}
