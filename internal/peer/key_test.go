package peer_test

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// beats counts the heartbeats that reach a node.
type beats struct{ count atomic.Int32 }

func (b *beats) Beat(context.Context, *kernel.Heartbeat) *kernel.Heartbeat {
	b.count.Add(1)
	return &kernel.Heartbeat{Node: "n1"}
}

func secret(b byte) []byte { return bytes.Repeat([]byte{b}, peer.SecretSize) }

func newKey(t testing.TB, secrets ...[]byte) *peer.Key {
	t.Helper()
	k, err := peer.NewKey(secrets...)
	require.NoError(t, err)
	return k
}

func serve(t testing.TB, k *peer.Key) (*beats, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &beats{}
	s, err := peer.NewServer(peer.ServerConfig{Listener: l, Key: k, Beats: b})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	addr, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	return b, addr
}

func beat(t testing.TB, k *peer.Key, to netip.AddrPort) error {
	t.Helper()
	c := peer.NewClient(peer.ClientConfig{Self: "n2", Key: k})
	defer func() { require.NoError(t, c.Close()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := c.Beat(ctx, to, &kernel.Heartbeat{Node: "n2"})
	return err
}

func TestNodesWithTheSameSecretConnect(t *testing.T) {
	b, addr := serve(t, newKey(t, secret(1)))
	require.NoError(t, beat(t, newKey(t, secret(1)), addr))
	require.EqualValues(t, 1, b.count.Load())
}

// Guards against secrets that cannot be replaced without stopping the fleet.
func TestSecretIsReplacedNodeByNode(t *testing.T) {
	old, accepting, showing, done := newKey(t, secret(1)), newKey(t, secret(1), secret(2)),
		newKey(t, secret(2), secret(1)), newKey(t, secret(2))
	for _, pair := range [][2]*peer.Key{{old, accepting}, {accepting, showing}, {showing, done}} {
		for i := range pair {
			_, addr := serve(t, pair[i])
			require.NoError(t, beat(t, pair[1-i], addr))
		}
	}
	_, addr := serve(t, old)
	require.ErrorIs(t, beat(t, done, addr), peer.ErrUnreachable)
}

// Guards against unauthenticated heartbeats, which could add instances that nobody
// started or make endpoints leave.
func TestUnauthenticatedClientsAreRejected(t *testing.T) {
	b, addr := serve(t, newKey(t, secret(1)))
	_, private, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	require.NoError(t, err)
	own := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}

	plain := func(c net.Conn) net.Conn { return c }
	secured := func(c *tls.Config) func(net.Conn) net.Conn {
		c.InsecureSkipVerify = true
		return func(raw net.Conn) net.Conn { return tls.Client(raw, c) }
	}
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"plain":           plain,
		"no certificate":  secured(&tls.Config{}),
		"own certificate": secured(&tls.Config{Certificates: []tls.Certificate{own}}),
		"older TLS":       secured(&tls.Config{Certificates: []tls.Certificate{own}, MaxVersion: tls.VersionTLS12}),
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := net.Dial("tcp", addr.String())
			require.NoError(t, err)
			c := drpcconn.New(wrap(raw))
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = peerpb.NewDRPCPeerClient(c).Beat(ctx, peer.EncodeBeat(&kernel.Heartbeat{Node: "n9"}))
			require.Error(t, err)
		})
	}
	require.ErrorIs(t, beat(t, newKey(t, secret(2)), addr), peer.ErrUnreachable, "another fleet")
	require.Zero(t, b.count.Load())
	require.NoError(t, beat(t, newKey(t, secret(1)), addr), "nodes of the fleet still connect")
}

// Guards against a node that sends messages for a peer to an unauthenticated server.
func TestClientChecksTheServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	received := make(chan []byte, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, private, _ := ed25519.GenerateKey(nil)
		template := &x509.Certificate{SerialNumber: big.NewInt(1)}
		der, _ := x509.CreateCertificate(nil, template, template, private.Public(), private)
		s := tls.Server(c, &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}})
		data, _ := io.ReadAll(s)
		received <- data
	}()
	addr, err := netip.ParseAddrPort(l.Addr().String())
	require.NoError(t, err)
	require.ErrorIs(t, beat(t, newKey(t, secret(1)), addr), peer.ErrUnreachable)
	require.NoError(t, l.Close())
	require.Empty(t, <-received)
}

func TestKeyRefusesWeakSecrets(t *testing.T) {
	for _, secrets := range [][][]byte{nil, {nil}, {secret(1)[:31]}, {secret(1), []byte("password")}} {
		_, err := peer.NewKey(secrets...)
		require.ErrorIs(t, err, peer.ErrKey)
	}
}

func BenchmarkHandshake(b *testing.B) {
	k := newKey(b, secret(1))
	_, addr := serve(b, k)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, beat(b, k, addr))
	}
}

func BenchmarkBeat(b *testing.B) {
	k := newKey(b, secret(1))
	_, addr := serve(b, k)
	c := peer.NewClient(peer.ClientConfig{Self: "n2", Key: k})
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Beat(context.Background(), addr, &kernel.Heartbeat{Node: "n2"})
		require.NoError(b, err)
	}
}

// Guards against a node that runs out of memory or connections because clients
// connect and send nothing.
func TestIdleHandshakeTimesOut(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s, err := peer.NewServer(peer.ServerConfig{Listener: l, Key: newKey(t, secret(1)), Beats: &beats{}, Handshake: time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.Copy(io.Discard, c)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the node closes the connection first")
}
