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
	// acceptCounter counts the connections that a listener accepts.
	acceptCounter struct {
		net.Listener
		accepted atomic.Int32
	}

	// promptBeats replies at once, and signals that a heartbeat has arrived.
	promptBeats struct{ arrived chan struct{} }

	// lateBeats replies to every second heartbeat only when released.
	lateBeats struct {
		count   atomic.Int32
		arrived chan struct{}
		release chan struct{}
	}
)

func (l *acceptCounter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

func (b *lateBeats) Beat(context.Context, *kernel.Heartbeat) *kernel.Heartbeat {
	if b.count.Add(1)%2 == 0 {
		b.arrived <- struct{}{}
		<-b.release
	}
	return &kernel.Heartbeat{Node: "n1"}
}

func (b *promptBeats) Beat(context.Context, *kernel.Heartbeat) *kernel.Heartbeat {
	select {
	case b.arrived <- struct{}{}:
	default:
	}
	return &kernel.Heartbeat{Node: "n1"}
}

// pair returns a client, the address of a server that replies to heartbeats, and a
// counter of the connections that the server accepts.
func pair(t *testing.T, b peer.HeartbeatHandler) (*peer.Client, netip.AddrPort, *acceptCounter) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listening := &acceptCounter{Listener: l}
	s, err := peer.NewServer(peer.ServerConfig{Listener: listening, Key: newKey(t, secret(1)), Beats: b})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	addr, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	c := peer.NewClient(peer.ClientConfig{Self: "n2", Key: newKey(t, secret(1))})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	return c, addr, listening
}

// Guards against a call that fails with a closed or reset connection because the
// previous call on it was cancelled while its reply ended.
func TestCancellationDuringReplyKeepsTheConnection(t *testing.T) {
	b := &promptBeats{arrived: make(chan struct{}, 1)}
	c, addr, listening := pair(t, b)
	const rounds = 2000
	for range rounds {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-b.arrived
			cancel()
		}()
		// Either the reply or the cancellation may be first.
		_, _ = c.Beat(ctx, addr, &kernel.Heartbeat{Node: "n2"})
		<-ctx.Done()
		_, err := c.Beat(t.Context(), addr, &kernel.Heartbeat{Node: "n2"})
		require.NoError(t, err)
		select {
		case <-b.arrived:
		default:
		}
	}
	// At most as many as the pool keeps for one peer, as some calls end late.
	require.LessOrEqual(t, listening.accepted.Load(), int32(8))
}

// Guards against overloaded nodes that lose each other permanently, because each
// late heartbeat closes its connection.
func TestLateHeartbeatKeepsItsConnection(t *testing.T) {
	b := &lateBeats{arrived: make(chan struct{}), release: make(chan struct{})}
	c, addr, listening := pair(t, b)
	const rounds = 8
	for range rounds {
		_, err := c.Beat(t.Context(), addr, &kernel.Heartbeat{Node: "n2"})
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-b.arrived
			cancel()
		}()
		_, err = c.Beat(ctx, addr, &kernel.Heartbeat{Node: "n2"})
		require.ErrorIs(t, err, peer.ErrUnreachable)
		b.release <- struct{}{}
	}
	// The next call may start while the late one is still ending, and take another
	// connection; both are then used in turn.
	require.LessOrEqual(t, listening.accepted.Load(), int32(rounds/2))
}
