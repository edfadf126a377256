package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/peer"
)

const panicText = "panic of the test"

// panickingRelays panics with a value.
type panickingRelays struct{ value any }

func (p panickingRelays) Relay(context.Context, peer.RelayedRequest, http.ResponseWriter) {
	panic(p.value)
}

// Guards against a panic while a peer's call is served that ends the process, or that no log
// line shows.
func TestPanicInPeerCallIsLogged(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	relays := &panickingRelays{value: panicText}
	permits := echo{wait: func(tokens int) {
		if tokens == 1 {
			panic(panicText)
		}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s, err := peer.NewServer(peer.ServerConfig{Listener: l, Key: newKey(t, secret(1)), Permits: permits, Relays: relays, Log: log})
	require.NoError(t, err)
	defer s.Close()
	c, to := permitClient(t), netip.MustParseAddrPort(l.Addr().String())

	_, err = c.Permit(t.Context(), to, ask(1))
	require.ErrorIs(t, err, peer.ErrUnreachable)
	require.Len(t, hook.AllEntries(), 1)
	require.Equal(t, panicText, hook.LastEntry().Data["panic"])
	require.Contains(t, hook.LastEntry().Data["stack"], "panic_test.go")
	_, err = c.Permit(t.Context(), to, ask(2))
	require.NoError(t, err)

	_, err = c.Relay(t.Context(), to, peer.RelayedRequest{Method: http.MethodGet, URI: "/"}, nil)
	require.ErrorIs(t, err, peer.ErrRelay)
	require.Len(t, hook.AllEntries(), 2)
	relays.value = http.ErrAbortHandler
	_, err = c.Relay(t.Context(), to, peer.RelayedRequest{Method: http.MethodGet, URI: "/"}, nil)
	require.ErrorIs(t, err, peer.ErrRelay)
	require.Len(t, hook.AllEntries(), 2)
}
