package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
)

type (
	// counted counts the connections that a listener accepts.
	counted struct {
		net.Listener
		accepted atomic.Int32
	}

	// lateBeats answers every second heartbeat only when told.
	lateBeats struct {
		count   atomic.Int32
		arrived chan struct{}
		release chan struct{}
	}
)

func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

func (b *lateBeats) Beat(context.Context, *kernel.Beat) *kernel.Beat {
	if b.count.Add(1)%2 == 0 {
		b.arrived <- struct{}{}
		<-b.release
	}
	return &kernel.Beat{Node: "n1"}
}

// Symptom: overloaded nodes lose each other and never find together again.
// Sequence: heartbeats are answered late and time out; each closes its
// connection, and the next needs a handshake, which makes the nodes later still.
// Cause: a call that times out takes its connection with it.
func TestLateHeartbeatKeepsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listening := &counted{Listener: l}
	b := &lateBeats{arrived: make(chan struct{}), release: make(chan struct{})}
	s, err := peer.NewServer(peer.ServerConfig{Listener: listening, Key: newKey(t, secret(1)), Beats: b})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	addr, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	c := peer.NewClient(peer.ClientConfig{Self: "n2", Key: newKey(t, secret(1))})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	const rounds = 8
	for range rounds {
		_, err = c.Beat(t.Context(), addr, &kernel.Beat{Node: "n2"})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-b.arrived
			cancel()
		}()
		_, err = c.Beat(ctx, addr, &kernel.Beat{Node: "n2"})
		require.ErrorIs(t, err, peer.ErrUnreachable)
		b.release <- struct{}{}
	}
	// The next call may come while the late one still ends, and take another
	// connection; both are then used in turn.
	require.LessOrEqual(t, listening.accepted.Load(), int32(rounds/2))
}
