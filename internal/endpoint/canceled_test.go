package endpoint_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
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
