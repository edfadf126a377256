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
	// DefaultHandshake is how long a peer may take to prove itself.
	DefaultHandshake = 5 * time.Second
)

var (
	// ErrKey is returned where a fleet secret cannot be used.
	ErrKey = errors.New("peer: fleet secret")

	errStranger = errors.New("peer: not of this fleet")

	strangers = metrics.GetOrCreateCounter("bulrushhinge_peer_strangers_total")
)

type (
	// Key proves to peers that a node is of the fleet, and checks theirs. All
	// nodes derive the same Ed25519 key from a secret in their settings and
	// show it in mutual TLS 1.3. No certificate authority, disk or wall clock
	// is involved: a peer is known by its key alone, so that a clock that steps
	// cuts nobody off.
	//
	// What goes wrong without it: whoever reaches the peers' port can feed
	// heartbeats, permits and relayed requests to a node.
	Key struct {
		certificate tls.Certificate
		accepted    [][]byte
	}

	// listener makes connections that finish their handshake in time.
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

// NewKey returns the Key of secrets of SecretSize random bytes. The first is
// shown to peers; all are accepted, so that a secret can be replaced node by
// node.
func NewKey(secrets ...[]byte) (*Key, error) {
	if len(secrets) == 0 {
		return nil, fmt.Errorf("%w: none given", ErrKey)
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
		return nil, fmt.Errorf("%w: %d bytes where %d are needed", ErrKey, len(secret), SecretSize)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrKey, err)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// certify wraps the key in a certificate, the only form in which TLS shows it.
// Nothing else in the certificate is read.
func certify(private ed25519.PrivateKey, public ed25519.PublicKey) (tls.Certificate, error) {
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: keyPurpose}}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, err
}

// config returns the settings of both sides. The usual verification against
// names and authorities is replaced by that of the key; the handshake proves
// that the peer holds it.
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
		return errStranger
	}
	public, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !slices.ContainsFunc(k.accepted, func(known []byte) bool { return bytes.Equal(known, public) }) {
		return errStranger
	}
	return nil
}

// dialed returns a connection that has proven itself to a peer and checked it.
//
// The handshake does not end with the call that needs it: were it given up when
// a heartbeat is late, an overloaded node would begin it anew each time and
// never finish.
func (k *Key) dialed(ctx context.Context, raw net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), DefaultHandshake)
	defer cancel()
	c := &conn{Conn: tls.Client(raw, k.config()), timeout: DefaultHandshake}
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the connection below at once. The protocol marks the end of each
// message itself, and a farewell to a peer that is gone would only fail.
func (c *conn) Close() error { return c.NetConn().Close() }

// Accept returns the next connection. Its handshake comes with the first read,
// on the connection's own goroutine.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: tls.Server(raw, l.config), timeout: l.timeout}, nil
}

// Read reads from a peer that has proven itself. A stranger that connects and
// says nothing is cut off, so that it holds no memory.
func (c *conn) Read(data []byte) (int, error) {
	c.once.Do(func() {
		_ = c.SetDeadline(time.Now().Add(c.timeout))
		if c.err = c.Handshake(); c.err != nil {
			strangers.Inc()
		}
		_ = c.SetDeadline(time.Time{})
	})
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(data)
}
