package loopback_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

// Guards against this failure: engines stay busy with answers that nobody reads.
func TestHangingUpFreesTheEngine(t *testing.T) {
	c := loopback.Thies()
	c.Nodes = c.Nodes[:2]
	for i := range c.Endpoints {
		c.Endpoints[i].Engine.Prefill = time.Nanosecond
		c.Endpoints[i].Engine.MaxBatch = 1
	}
	c.Endpoints = c.Endpoints[:1]
	f := start(t, c)
	engine := f.Endpoint("w1")
	ctx, hangUp := context.WithCancel(t.Context())
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	resp, err := open(ctx, client, f.Caller("n2"), 1<<20)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 1))
	require.NoError(t, err)
	waiting := make(chan error, 1)
	go func() {
		_, err := open(ctx, client, f.Caller("n1"), 1<<20)
		waiting <- err
	}()
	for engine.Running() < 2 {
		time.Sleep(time.Millisecond)
	}
	hangUp()
	require.ErrorIs(t, <-waiting, context.Canceled)
	resp.Body.Close()
	for engine.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, text := post(t, f.Caller("n1"), "/v1/chat/completions", "a1", `{"model":"notices","max_tokens":1,"messages":[{"role":"user","content":"x"}]}`)
	require.Equal(t, http.StatusOK, resp.StatusCode, text)
}
