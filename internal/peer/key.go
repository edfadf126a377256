package peer

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// SecretSize is the size of a fleet secret in bytes.
	SecretSize = 32

	keyPurpose = "bulrushhinge peer v1"
	// DefaultHandshake is the timeout of the handshake.
	DefaultHandshake = 5 * time.Second
)

var (
	// ErrKey is returned if a fleet secret cannot be used.
	ErrKey = errors.New("peer: invalid fleet secret")

	errUnknownKey = errors.New("peer: key is not of this fleet")

	failedHandshakes = metrics.GetOrCreateCounter("bulrushhinge_peer_strangers_total")
)

type (
	// Key authenticates the nodes of a fleet to each other. All nodes derive the
	// same Ed25519 key from a secret in their settings and present it in mutual
	// TLS 1.3. No certificate authority, disk or wall clock is involved: a peer
	// is identified by its key alone, so that a clock step disconnects no node.
	//
	// Without authentication, anyone who reaches the peer port could inject
	// heartbeats, permit requests and relayed requests.
	Key struct {
		certificate tls.Certificate
		accepted    [][]byte
	}

	// listener accepts connections whose handshake has a timeout.
	listener struct {
		net.Listener
		config  *tls.Config
		timeout time.Duration
	}

	conn struct {
		*tls.Conn
		timeout time.Duration
		once    sync.Once
		err     error
	}
)

// NewKey returns the Key for secrets of SecretSize random bytes. The first one is
// presented to peers, and all are accepted, so that a secret can be replaced node
// by node.
func NewKey(secrets ...[]byte) (*Key, error) {
	if len(secrets) == 0 {
		return nil, fmt.Errorf("%w: no secret given", ErrKey)
	}
	k := &Key{}
	for i, secret := range secrets {
		private, err := derive(secret)
		if err != nil {
			return nil, err
		}
		public, _ := private.Public().(ed25519.PublicKey)
		k.accepted = append(k.accepted, public)
		if i > 0 {
			continue
		}
		if k.certificate, err = certify(private, public); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrKey, err)
		}
	}
	return k, nil
}

func derive(secret []byte) (ed25519.PrivateKey, error) {
	if len(secret) != SecretSize {
		return nil, fmt.Errorf("%w: got %d bytes, want %d", ErrKey, len(secret), SecretSize)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrKey, err)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// certify wraps the key in a certificate, as TLS requires. Nothing else in the
// certificate is checked.
func certify(private ed25519.PrivateKey, public ed25519.PublicKey) (tls.Certificate, error) {
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: keyPurpose}}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, err
}

// config returns the TLS settings for both sides. Verification of the key replaces
// the usual one of names and authorities; the handshake proves that the peer holds
// the private key.
func (k *Key) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{k.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		VerifyConnection:       k.verify,
		SessionTicketsDisabled: true,
		CurvePreferences:       []tls.CurveID{tls.X25519},
	}
}

func (k *Key) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errUnknownKey
	}
	public, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !slices.ContainsFunc(k.accepted, func(known []byte) bool { return bytes.Equal(known, public) }) {
		return errUnknownKey
	}
	return nil
}

// clientHandshake runs the client side of the handshake on a connection.
//
// The handshake is not cancelled with the call that needs it. Otherwise an
// overloaded node, whose heartbeats time out, would restart it for each call and
// never finish.
func (k *Key) clientHandshake(ctx context.Context, raw net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DefaultHandshake)
	defer cancel()
	c := &conn{Conn: tls.Client(raw, k.config()), timeout: DefaultHandshake}
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the underlying connection at once, without a TLS close_notify. The
// protocol marks the end of each message itself, and an alert to a dead peer would
// only fail.
func (c *conn) Close() error { return c.NetConn().Close() }

// Accept returns the next connection. Its handshake runs at the first read, on the
// connection's own goroutine.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: tls.Server(raw, l.config), timeout: l.timeout}, nil
}

// Read runs the handshake first, with a timeout, so that an unauthenticated client
// that connects and sends nothing is disconnected and holds no memory.
func (c *conn) Read(data []byte) (int, error) {
	c.once.Do(func() {
		_ = c.SetDeadline(time.Now().Add(c.timeout))
		if c.err = c.Handshake(); c.err != nil {
			failedHandshakes.Inc()
		}
		_ = c.SetDeadline(time.Time{})
	})
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(data)
}
