// Package loopback runs a whole deployment in one process over real loopback
// sockets: the stand-in platform, stand-in endpoints and several nodes. The
// demo and the tests of the whole path use it.
package loopback

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge"
	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/standin"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	anyPort   = "127.0.0.1:0"
	readyPoll = 10 * time.Millisecond
	// Token is what operators of a fleet show.
	Token = "operators-token"
	// platformName names the platform in cuts.
	platformName = "platform"
)

// ErrReady is returned where the fleet did not become ready in time.
var ErrReady = errors.New("loopback: fleet not ready")

type (
	// Config is the settings of a Fleet.
	Config struct {
		Manifest *manifest.Manifest
		// Nodes and Endpoints are what to start.
		Nodes     []NodeConfig
		Endpoints []EndpointConfig
		Log       logrus.FieldLogger
		// Grace is how long a stopping node still takes requests.
		Grace time.Duration
		// Linger is how long a stopping node at least refuses requests.
		Linger time.Duration
		// Limits is the nodes' limits on callers.
		Limits caller.Config
		// Import is what importing a cached token costs a service's engines.
		Import map[string]float64
	}

	// NodeConfig is a node to start.
	NodeConfig struct {
		Name string
		Zone string
		// Alone makes the node start without the addresses of peers to ask for
		// the instance list.
		Alone bool
		// Peer is where it listens for peers; the zero address is any free one.
		Peer netip.AddrPort
	}

	// EndpointConfig is an endpoint to start.
	EndpointConfig struct {
		Name    string
		Zone    string
		Service string
		Models  []string
		Step    time.Duration
		// Engine is further settings of the stand-in.
		Engine standin.EndpointConfig
	}

	// Fleet is a running deployment. It is safe for concurrent use.
	Fleet struct {
		config   Config
		Platform *standin.Platform
		// Network is what stands between the processes.
		Network   *Network
		key       ed25519.PrivateKey
		secret    []byte
		platform  *server
		mu        sync.Mutex
		nodes     map[string]*node
		endpoints map[string]*Endpoint
		list      map[string]platform.Instance
	}

	// Endpoint is a running stand-in endpoint.
	Endpoint struct {
		*standin.Endpoint
		Addr    netip.AddrPort
		Service string
		server  *server
	}

	node struct {
		*bulrushhinge.Node
		caller   netip.AddrPort
		operator netip.AddrPort
	}

	server struct {
		http    *http.Server
		addr    netip.AddrPort
		running sync.WaitGroup
	}
)

// New starts a fleet.
func New(c Config) (*Fleet, error) {
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	secret := make([]byte, peer.SecretSize)
	// Read never fails.
	_, _ = rand.Read(secret)
	f := &Fleet{
		secret:    secret,
		config:    c,
		Platform:  standin.NewPlatform(),
		Network:   newNetwork(),
		key:       key,
		nodes:     map[string]*node{},
		endpoints: map[string]*Endpoint{},
		list:      map[string]platform.Instance{},
	}
	if f.platform, err = serve(f.Platform); err != nil {
		return nil, err
	}
	f.Network.listens(platformName, f.platform.addr)
	return f, f.start()
}

// FleetSecret returns what the nodes share to know each other.
func (f *Fleet) FleetSecret() []byte { return f.secret }

// PlatformAddr returns where the stand-in platform listens.
func (f *Fleet) PlatformAddr() netip.AddrPort { return f.platform.addr }

// OperatorKey returns the public key of the operators that accept changes.
func (f *Fleet) OperatorKey() ed25519.PublicKey {
	public, _ := f.key.Public().(ed25519.PublicKey)
	return public
}

// Ready waits until every node has a configuration in force, knows every other
// node and sees every endpoint.
func (f *Fleet) Ready(ctx context.Context) error {
	for {
		missing := f.missing()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %v: %s", ErrReady, ctx.Err(), missing)
		case <-time.After(readyPoll):
		}
	}
}

// Close stops everything at once.
func (f *Fleet) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var errs []error
	for _, n := range f.nodes {
		errs = append(errs, n.Close())
	}
	for _, e := range f.endpoints {
		errs = append(errs, e.server.close())
	}
	errs = append(errs, f.platform.close())
	return errors.Join(errs...)
}

func (f *Fleet) start() error {
	for _, c := range f.config.Endpoints {
		if err := f.StartEndpoint(c); err != nil {
			return err
		}
	}
	for _, c := range f.config.Nodes {
		if err := f.StartNode(c); err != nil {
			return err
		}
	}
	return f.Accept(f.config.Manifest)
}

// missing says what a node lacks to be ready; "" is nothing.
func (f *Fleet) missing() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.nodes {
		v := n.View()
		if v.Manifest == nil {
			return name + " has no configuration"
		}
		if len(v.Nodes) < len(f.nodes) {
			return fmt.Sprintf("%s knows %d of %d nodes: %+v", name, len(v.Nodes), len(f.nodes), v.Nodes)
		}
		seen := 0
		for _, p := range v.Pools {
			seen += len(p.Endpoints)
		}
		if seen < len(f.endpoints) {
			return fmt.Sprintf("%s sees %d of %d endpoints", name, seen, len(f.endpoints))
		}
	}
	return ""
}

func serve(h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("loopback: %w", err)
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}, addr: addrPort(l)}
	s.running.Go(func() { _ = s.http.Serve(l) })
	return s, nil
}

func (s *server) close() error {
	err := s.http.Close()
	s.running.Wait()
	return err
}

func addrPort(l net.Listener) netip.AddrPort {
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}
