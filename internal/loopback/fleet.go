// Package loopback runs a whole deployment in one process over real loopback
// sockets: the stand-in platform, stand-in endpoints and several nodes. The
// demo and the tests of the whole path use it.
package loopback

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge"
	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
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

// Propose publishes the values of a manifest, as the operators' pipeline would,
// and returns the digest of its root.
func (f *Fleet) Propose(m *manifest.Manifest) (manifest.Digest, error) {
	parts, err := manifest.Split(m)
	if err != nil {
		return "", fmt.Errorf("loopback: %w", err)
	}
	for digest, data := range parts.Values {
		f.Platform.Set(platform.PrefixManifest+string(digest), data)
	}
	return parts.Digest, nil
}

// Accept publishes a manifest with the operators' record of its acceptance.
func (f *Fleet) Accept(m *manifest.Manifest) error { return f.decide(m, manifest.Accept) }

// Reject publishes a manifest with the operators' record of its rejection.
func (f *Fleet) Reject(m *manifest.Manifest) error { return f.decide(m, manifest.Reject) }

func (f *Fleet) decide(m *manifest.Manifest, sign func(ed25519.PrivateKey, uint64, manifest.Digest) manifest.Record) error {
	digest, err := f.Propose(m)
	if err != nil {
		return err
	}
	record, err := json.Marshal(sign(f.key, m.Revision, digest))
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	f.Platform.Set(platform.KeyAccepted, record)
	return nil
}

// FleetSecret returns what the nodes share to know each other.
func (f *Fleet) FleetSecret() []byte { return f.secret }

// StartNode starts a node and lists it.
func (f *Fleet) StartNode(c NodeConfig) error {
	n, err := f.newNode(c)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[c.Name] = n
	f.list[c.Name] = platform.Instance{
		Name: c.Name, Kind: kernel.KindNode, Zone: c.Zone, Addr: n.caller, Peer: n.View().Self.Peer,
	}
	return f.publish()
}

// StopNode stops a node as planned and takes it off the list.
func (f *Fleet) StopNode(ctx context.Context, name string) error {
	n := f.unlist(name)
	if n == nil {
		return fmt.Errorf("loopback: no node %q", name)
	}
	return n.Stop(ctx)
}

// KillNode closes a node at once. The list still names it.
func (f *Fleet) KillNode(name string) error {
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	if n == nil {
		return fmt.Errorf("loopback: no node %q", name)
	}
	return n.Close()
}

// StartEndpoint starts an endpoint and lists it.
func (f *Fleet) StartEndpoint(c EndpointConfig) error {
	engine := c.Engine
	engine.Name, engine.Models = c.Name, c.Models
	if c.Step > 0 {
		engine.Step = c.Step
	}
	engine.OnCrash = func() { _ = f.KillEndpoint(c.Name) }
	e := &Endpoint{Endpoint: standin.NewEndpoint(engine)}
	var err error
	if e.server, err = serve(e.Endpoint); err != nil {
		return err
	}
	e.Addr = e.server.addr
	e.Service = c.Service
	f.Network.listens(c.Name, e.Addr)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[c.Name] = e
	f.list[c.Name] = platform.Instance{
		Name: c.Name, Kind: kernel.KindEndpoint, Zone: c.Zone, Service: c.Service, Addr: e.Addr,
	}
	return f.publish()
}

// LeaveEndpoint marks an endpoint as leaving, on the list and in its reports.
func (f *Fleet) LeaveEndpoint(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[name]
	if e == nil {
		return fmt.Errorf("loopback: no endpoint %q", name)
	}
	e.SetLeaving(true)
	i := f.list[name]
	i.Leaving = true
	f.list[name] = i
	return f.publish()
}

// KillEndpoint closes an endpoint at once. The list still names it.
func (f *Fleet) KillEndpoint(name string) error {
	f.mu.Lock()
	e := f.endpoints[name]
	delete(f.endpoints, name)
	f.mu.Unlock()
	if e == nil {
		return fmt.Errorf("loopback: no endpoint %q", name)
	}
	return e.server.close()
}

// Caller returns where callers reach a node.
func (f *Fleet) Caller(name string) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n.caller
	}
	return netip.AddrPort{}
}

// Operator returns where operators reach a node.
func (f *Fleet) Operator(name string) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n.operator
	}
	return netip.AddrPort{}
}

// Node returns a running node, or nil.
func (f *Fleet) Node(name string) *bulrushhinge.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[name]; n != nil {
		return n.Node
	}
	return nil
}

// PlatformAddr returns where the stand-in platform listens.
func (f *Fleet) PlatformAddr() netip.AddrPort { return f.platform.addr }

// OperatorKey returns the public key of the operators that accept changes.
func (f *Fleet) OperatorKey() ed25519.PublicKey {
	public, _ := f.key.Public().(ed25519.PublicKey)
	return public
}

// List puts an instance that the fleet did not start on the platform's list.
func (f *Fleet) List(i platform.Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list[i.Name] = i
	return f.publish()
}

// Endpoint returns a running endpoint, or nil.
func (f *Fleet) Endpoint(name string) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[name]
}

// Endpoints returns the running endpoints, sorted by name.
func (f *Fleet) Endpoints() []*Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.SortedFunc(maps.Values(f.endpoints), func(a, b *Endpoint) int {
		return strings.Compare(a.Name(), b.Name())
	})
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

// peers returns where the running nodes listen for peers.
func (f *Fleet) peers() []netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []netip.AddrPort
	for _, n := range f.nodes {
		addrs = append(addrs, n.View().Self.Peer)
	}
	return addrs
}

func (f *Fleet) join(c NodeConfig) []netip.AddrPort {
	if c.Alone {
		return nil
	}
	return f.peers()
}

func (f *Fleet) newNode(c NodeConfig) (*node, error) {
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, fmt.Errorf("loopback: %w", err)
		}
		listeners[i] = l
	}
	n, err := bulrushhinge.New(bulrushhinge.Config{
		Instance: c.Name, Zone: c.Zone,
		Callers: listeners[0], Peers: listeners[1], Operators: listeners[2],
		Platform: f.platform.addr, Import: f.config.Import, Join: f.join(c), Keys: []ed25519.PublicKey{f.OperatorKey()},
		Dialer: dialer{network: f.Network, from: c.Name}, Token: Token, FleetSecrets: [][]byte{f.secret},
		Grace: f.config.Grace, Linger: f.config.Linger, Limits: f.config.Limits, Log: f.config.Log.WithField("node", c.Name),
	})
	if err != nil {
		return nil, err
	}
	f.Network.listens(c.Name, addrPort(listeners[0]), addrPort(listeners[1]), addrPort(listeners[2]))
	return &node{Node: n, caller: addrPort(listeners[0]), operator: addrPort(listeners[2])}, nil
}

func (f *Fleet) unlist(name string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	delete(f.nodes, name)
	delete(f.list, name)
	_ = f.publish()
	return n
}

func (f *Fleet) publish() error {
	list := make([]platform.Instance, 0, len(f.list))
	for _, i := range f.list {
		list = append(list, i)
	}
	data, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("loopback: %w", err)
	}
	f.Platform.Set(platform.KeyInstances, data)
	return nil
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
