package loopback_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

func start(t testing.TB, c loopback.Config) *loopback.Fleet {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.Log = log
	f, err := loopback.New(c)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Close()) })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	return f
}

func post(t *testing.T, addr netip.AddrPort, path, account, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, fmt.Sprintf("http://%v%s", addr, path), bytes.NewBufferString(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+loopback.Secret(account))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(data)
}

func TestFleetAnswers(t *testing.T) {
	f := start(t, loopback.Thies())
	for i, stream := range []bool{true, false} {
		body := fmt.Sprintf(`{"model":"notices","stream":%t,"messages":[{"role":"user","content":"hello %d"}]}`, stream, i)
		resp, text := post(t, f.Caller("n1"), "/v1/chat/completions", "a1", body)
		require.Equal(t, http.StatusOK, resp.StatusCode, text)
		require.NotEmpty(t, resp.Header.Get("X-Hint"))
		if stream {
			require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
		} else {
			require.Contains(t, text, `"finish_reason":"stop"`)
		}
	}
	resp, text := post(t, f.Caller("n2"), "/v1/services/counter/balance", "a2", "{}")
	require.Equal(t, http.StatusOK, resp.StatusCode, text)
}

func TestFleetRefusesUnknownKeys(t *testing.T) {
	f := start(t, loopback.Thies())
	resp, text := post(t, f.Caller("n1"), "/v1/chat/completions", "nobody", "{}")
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Contains(t, text, `"ran":"not_run"`)
}
