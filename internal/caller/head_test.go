package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// serveText serves an endpoint that answers each request with a text and closes its
// connection.
func serveText(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ATTEMPT", r.Header.Get(endpoint.HeaderAttempt)))
			}
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against callers who get the head of an answer that is none, or a closed connection:
// an http.ResponseWriter panics on a status below 100, and a field whose name has a blank may
// hide the end of the body.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"status 000":  "HTTP/1.1 000 X\r\nX-Attempt: ATTEMPT\r\n",
		"status 099":  "HTTP/1.1 099 X\r\nX-Attempt: ATTEMPT\r\n",
		"status +20":  "HTTP/1.1 +20 X\r\nX-Attempt: ATTEMPT\r\n",
		"length":      "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nContent-Length : 1\r\n",
		"other field": "HTTP/1.1 200 OK\r\nX-Attempt: ATTEMPT\r\nA B: x\r\n",
	}
	for name, head := range heads {
		for _, path := range []string{plainPath, entry.PathChat} {
			for _, body := range []string{"{}", "data: {\"id\":\"ATTEMPT\"}\n\n"} {
				t.Run(fmt.Sprintf("%s, %s, body of %d bytes", name, path, len(body)), func(t *testing.T) {
					kind := "Content-Type: application/json\r\n"
					if body != "{}" {
						kind = "Content-Type: text/event-stream\r\n"
					}
					url := serveEndpoint(t, serveText(t, head+kind+"Content-Length: 100\r\n\r\n"+body+strings.Repeat(" ", 100)), caller.Config{})
					resp, err := http.DefaultClient.Do(request(t, "POST", url+path, chatBody, entry.HeaderTimeout, "10s"))
					require.NoError(t, err)
					defer resp.Body.Close()
					data, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.GreaterOrEqual(t, resp.StatusCode, http.StatusInternalServerError)
					require.Contains(t, string(data), `"ran":`)
				})
			}
		}
	}
}
