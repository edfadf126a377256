package endpoint_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// Guards against callers whose disconnection counts as the end of the endpoint that ran
// their request.
func TestCanceledStreamIsNoDeath(t *testing.T) {
	const tries = 20
	addr := serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt: 1f\r\nContent-Type: text/event-stream\r\n\r\ndata: " + unfinished + "\n\n"))
		_, _ = c.Read(make([]byte, 1))
	})
	c := newClient(t)
	for range tries {
		ctx, cancel := context.WithCancel(t.Context())
		a, err := c.Do(ctx, addr, endpoint.Call{Attempt: "1f", Once: true})
		require.NoError(t, err)
		s := endpoint.NewStream(a, "1f")
		_, err = s.Next()
		require.NoError(t, err)
		cancel()
		_, err = s.Next()
		require.ErrorIs(t, err, endpoint.ErrCut)
		require.NotErrorIs(t, err, endpoint.ErrDied)
		_ = s.Close()
	}
}

// Guards against an endpoint that answers every call with bytes that are no answer, and so
// makes its requests suspects of having ended it.
func TestEndpointWithoutProperAnswersIsNotDead(t *testing.T) {
	for name, text := range map[string]string{
		"no answer": "hello\n", "half a status line": "HTTP/1.1 2", "endless header": "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = c.Write([]byte(text))
				}
			})
			_, err := newClient(t).Do(t.Context(), addr, endpoint.Call{Attempt: "1f", Once: true})
			require.ErrorIs(t, err, endpoint.ErrLost)
			require.NotErrorIs(t, err, endpoint.ErrDied)
		})
	}
}
