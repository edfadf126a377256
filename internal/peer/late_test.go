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

	// promptBeats answers at once, and says that a heartbeat has come.
	promptBeats struct{ arrived chan struct{} }

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

func (b *promptBeats) Beat(context.Context, *kernel.Beat) *kernel.Beat {
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	return &kernel.Beat{Node: "n1"}
}

// pair returns a client of a server that answers heartbeats, its address, and the
// connections that it accepts.
func pair(t *testing.T, b peer.Beats) (*peer.Client, netip.AddrPort, *counted) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listening := &counted{Listener: l}
	s, err := peer.NewServer(peer.ServerConfig{Listener: listening, Key: newKey(t, secret(1)), Beats: b})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	addr, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	c := peer.NewClient(peer.ClientConfig{Self: "n2", Key: newKey(t, secret(1))})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c, addr, listening
}

// Guards against this failure: a call that nobody cancelled fails with a closed or reset
// connection.
func TestCancellationThatCrossesTheAnswerKeepsTheConnection(t *testing.T) {
	b := &promptBeats{arrived: make(chan struct{}, 1)}
	c, addr, listening := pair(t, b)
	const rounds = 2000
	for range rounds {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-b.arrived
			cancel()
		}()
		// Whether the answer or the cancellation is first differs.
		_, _ = c.Beat(ctx, addr, &kernel.Beat{Node: "n2"})
		<-ctx.Done()
		_, err := c.Beat(t.Context(), addr, &kernel.Beat{Node: "n2"})
		require.NoError(t, err)
		select {
		case <-b.arrived:
		default:
		}
	}
	// No more than the pool keeps for one peer: calls end late now and then.
	require.LessOrEqual(t, listening.accepted.Load(), int32(8))
}

// Guards against this failure: overloaded nodes lose each other and never find together again.
func TestLateHeartbeatKeepsItsConnection(t *testing.T) {
	b := &lateBeats{arrived: make(chan struct{}), release: make(chan struct{})}
	c, addr, listening := pair(t, b)
	const rounds = 8
	for range rounds {
		_, err := c.Beat(t.Context(), addr, &kernel.Beat{Node: "n2"})
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
