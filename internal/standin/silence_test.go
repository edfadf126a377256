package standin_test

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/standin"
)

// TestSilentAnswersGoOn guards against a silence that ends an answer, loses a part of it
// or delays no answer.
func TestSilentAnswersGoOn(t *testing.T) {
	const silence = time.Minute
	synctest.Test(t, func(t *testing.T) {
		stream := strings.Replace(chat(3, "hello"), "{", `{"stream":true,`, 1)
		for _, faults := range []standin.EndpointFaults{{Silent: silence}, {Silent: silence, SilentAt: 3}} {
			usual, silent := standin.NewEndpoint(standin.EndpointConfig{}), standin.NewEndpoint(standin.EndpointConfig{Faults: faults})
			for path, body := range map[string]string{"/v1/chat/completions": stream, "/v1/services/s/x": "{}"} {
				began := time.Now()
				want := call(usual, "POST", path, body, endpoint.HeaderAttempt, "a").Body.String()
				took := time.Since(began)
				began = time.Now()
				require.Equal(t, want, call(silent, "POST", path, body, endpoint.HeaderAttempt, "a").Body.String())
				require.Greater(t, time.Since(began), took+silence/2, path)
			}
		}
	})
}

// TestEndlessAnswers guards against answers without end that do end.
func TestEndlessAnswers(t *testing.T) {
	const size = 256 << 10
	for _, where := range []string{"head", "body"} {
		e := standin.NewEndpoint(standin.EndpointConfig{Faults: standin.EndpointFaults{Endless: where}})
		server := httptest.NewServer(e)
		conn, err := net.Dial("tcp4", server.Listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "POST /v1/services/s/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}")
		require.NoError(t, err)
		_, err = io.CopyN(io.Discard, conn, size)
		require.NoError(t, err, where)
		require.NoError(t, conn.Close())
		server.Close()
	}
}
