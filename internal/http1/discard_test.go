package http1_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// Guards against a connection that is used again within a response of which a part was
// read: the rest would be parsed as the beginning of the next response.
func TestConnectionOfAPartlyReadResponseIsNotReused(t *testing.T) {
	for name, end := range map[string]func(x *http1.Exchange){
		"finished": func(x *http1.Exchange) {
			_, err := io.CopyN(io.Discard, x.Response.Body, 4)
			require.NoError(t, err)
			x.Finish()
		},
		"discarded": (*http1.Exchange).Discard,
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, each(func(id string, _ int) string {
				return strings.Replace(ok(id), "Content-Length: 1", "Content-Length: 9", 1) + "123"
			}))
			p := http1.NewPool(http1.PoolConfig{RequestID: header})
			defer p.Close()
			for range 2 {
				x, err := p.Do(t.Context(), http1.Request{Addr: s.addr, ID: "a", HTTP: get("a"), MaxIdle: time.Minute})
				require.NoError(t, err)
				end(x)
			}
			require.EqualValues(t, 2, s.accepted.Load())
		})
	}
}

// Guards against a new connection for each request that follows a refusal.
func TestConnectionOfADiscardedResponseIsReused(t *testing.T) {
	s := newServer(t, each(func(id string, _ int) string { return ok(id) }))
	p := http1.NewPool(http1.PoolConfig{RequestID: header})
	defer p.Close()
	for range 3 {
		x, err := p.Do(t.Context(), http1.Request{Addr: s.addr, ID: "a", HTTP: get("a"), MaxIdle: time.Minute})
		require.NoError(t, err)
		x.Discard()
	}
	require.EqualValues(t, 1, s.accepted.Load())
}
