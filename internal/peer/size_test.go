package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

type (
	// countingDialer is a dialer that counts the bytes written to its connections.
	countingDialer struct{ sent atomic.Int64 }

	countingConn struct {
		net.Conn
		sent *atomic.Int64
	}

	// countingListener counts the bytes written to its accepted connections.
	countingListener struct {
		net.Listener
		sent atomic.Int64
	}

	permits struct{}
)

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, sent: &l.sent}, nil
}

func (c *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return countingConn{Conn: conn, sent: &c.sent}, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

func (permits) Apply(_ time.Time, b permit.Batch) permit.Reply {
	return permit.Reply{Verdicts: make([]permit.Verdict, len(b.Requests))}
}

// newCountedPair returns a client, the address of its server, and the counters of
// the bytes that the client (asked) and the server (answered) have sent.
func newCountedPair(t *testing.T) (client *peer.Client, to netip.AddrPort, asked, answered *atomic.Int64) {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &countingListener{Listener: plain}
	key := newKey(t, secret(1))
	s, err := peer.NewServer(peer.ServerConfig{Listener: l, Key: key, Permits: permits{}, Beats: &beats{}})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	dialer := &countingDialer{}
	client = peer.NewClient(peer.ClientConfig{Self: "n1", Key: key, Dialer: dialer})
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client, netip.MustParseAddrPort(l.Addr().String()), &dialer.sent, &l.sent
}

// Checks that the sizes that replays use for calls are those on a real connection.
func TestSizesOfCalls(t *testing.T) {
	client, to, asked, answered := newCountedPair(t)
	beat := &kernel.Heartbeat{Node: "n1", Serial: 1}
	// A stream number takes one byte below 128 and otherwise two, which is what the
	// sizes assume. A side omits the record that ends a call if the other side has
	// ended it first; the sizes always include it.
	const calls, short, endFrame = 140, 126, 27
	// The first call also opens the connection.
	reply, err := client.Beat(t.Context(), to, beat)
	require.NoError(t, err)
	asked.Store(0)
	answered.Store(0)
	for range calls {
		reply, err = client.Beat(t.Context(), to, beat)
		require.NoError(t, err)
	}
	between := func(got int64, size, frames int) {
		require.LessOrEqual(t, got, int64(calls*size-short*(frames-1)))
		require.GreaterOrEqual(t, got, int64(calls*(size-endFrame)-short*(frames-1)))
	}
	between(asked.Load(), peer.RequestBytes(peer.CallBeat, peer.EncodeBeat(beat)), 4)
	between(answered.Load(), peer.ReplyBytes(peer.EncodeBeat(reply)), 2)
}

// Checks that the sizes that replays use for messages on an open stream are those on
// a real stream, except for the message numbers, which are short in a new stream.
func TestSizesOfPermits(t *testing.T) {
	client, to, asked, answered := newCountedPair(t)
	batch := permit.Batch{
		Requests: []permit.Request{{ID: 7, Endpoint: "w12", Tokens: 900, Lease: time.Second}},
		Releases: []permit.Release{{ID: 5, Took: time.Second}},
	}
	const calls, numbers = 140, 10
	reply, err := client.Permit(t.Context(), to, batch)
	require.NoError(t, err)
	asked.Store(0)
	answered.Store(0)
	for range calls {
		reply, err = client.Permit(t.Context(), to, batch)
		require.NoError(t, err)
	}
	between := func(got int64, size int) {
		require.LessOrEqual(t, got, int64(calls*size))
		require.GreaterOrEqual(t, got, int64(calls*(size-numbers)))
	}
	between(asked.Load(), peer.PermitBytes(peer.EncodePermit("n1", batch)))
	between(answered.Load(), peer.PermitBytes(peer.EncodeReply(reply)))
}
