package endpoint_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

// Guards against a stream that never has another event of its attempt and is read until its
// request's deadline.
func TestStreamWithoutItsOwnEventsIsBounded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Type: text/event-stream\r\n\r\n"
	pieces := map[string]string{
		"comments":           ": ping\n",
		"blank lines":        "\n",
		"line":               "x",
		"data line":          "data: x",
		"another attempt's":  "data: " + otherAttempt + "\n\n",
		"one repeated event": "id: 0\ndata: " + unfinished + "\n\n",
	}
	for name, piece := range pieces {
		t.Run(name, func(t *testing.T) {
			addr, most := serveEndless(t, head, piece)
			c := endpoint.NewClient(endpoint.ClientConfig{Dialer: smallBuffers{}})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			a, err := c.Do(ctx, addr, endpoint.Call{Attempt: "1f"})
			require.NoError(t, err)
			s := endpoint.NewStream(a, "1f")
			for err == nil {
				_, err = s.Next()
			}
			require.ErrorIs(t, err, endpoint.ErrCut)
			require.NoError(t, s.Close())
			c.Close()
			require.Less(t, most.Load(), int64(boundedBytes), "the connection is closed")
		})
	}
}

// Guards against a whole repeat of an answer that is cut as one without end.
func TestRepeatedEventsAreSkippedUpToTheAnswersSize(t *testing.T) {
	var text strings.Builder
	event := func(id string, size int) string {
		return "id: " + id + "\ndata: {\"id\":\"1f\",\"text\":\"" + strings.Repeat("x", size) + "\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"
	}
	const size = 900 << 10
	for _, id := range []string{"0", "1", "2", "0", "1", "2"} {
		text.WriteString(event(id, size))
	}
	text.WriteString("id: 3\n" + done)
	s := endpoint.NewStream(&endpoint.Answer{Body: io.NopCloser(strings.NewReader(text.String()))}, "1f")
	for range 3 {
		_, err := s.Next()
		require.NoError(t, err)
	}
	_, err := s.Next()
	require.Equal(t, io.EOF, err)
	require.Equal(t, 3, s.Dropped())
}
