package loopback_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Guards against a request that a node has read while it stops, and whose connection is closed
// without an answer.
func TestRequestThatArrivesDuringStopIsRefused(t *testing.T) {
	for name, kept := range map[string]bool{"new connection": false, "kept connection": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, stopConfig())
			addr := f.Caller("n1")
			c, err := net.Dial("tcp", addr.String())
			require.NoError(t, err)
			defer c.Close()
			answers := bufio.NewReader(c)
			body := notice(1)
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", entry.PathChat, loopback.Secret("a1"))
			rest := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
			if kept {
				_, err = io.WriteString(c, head+rest)
				require.NoError(t, err)
				resp, err := http.ReadResponse(answers, nil)
				require.NoError(t, err)
				_, err = io.ReadAll(resp.Body)
				require.NoError(t, err)
			}
			_, err = io.WriteString(c, head)
			require.NoError(t, err)
			stopped := make(chan error, 1)
			go func() { stopped <- f.StopNode(context.WithoutCancel(t.Context()), "n1") }()
			require.Eventually(t, func() bool {
				probe, err := net.Dial("tcp", addr.String())
				if err == nil {
					_ = probe.Close()
				}
				return err != nil
			}, patience, time.Millisecond)
			_, err = io.WriteString(c, rest)
			require.NoError(t, err)
			resp, err := http.ReadResponse(answers, nil)
			require.NoError(t, err, "the request was read")
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Contains(t, string(data), `"type":"stopping"`)
			require.Contains(t, string(data), `"ran":"not_run"`)
			require.NoError(t, <-stopped)
		})
	}
}
