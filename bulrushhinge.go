// Package bulrushhinge is a router fleet between callers and endpoints, for large
// numbers of returning chats. A Node is one router process; all nodes are equal.
package bulrushhinge

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/atmostonce"
	"bulrushhinge.example/bulrushhinge/internal/builtin"
	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/capacity"
	"bulrushhinge.example/bulrushhinge/internal/config"
	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/limit"
	"bulrushhinge.example/bulrushhinge/internal/membership"
	"bulrushhinge.example/bulrushhinge/internal/operator"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/pool"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

const (
	// DefaultGrace is how long a stopping node still accepts requests, so that
	// callers and peers learn of the stop first.
	DefaultGrace = 2 * time.Second
	// DefaultLinger is the minimum time for which a stopping node refuses
	// requests before it closes its listener.
	DefaultLinger = time.Second

	// abortTimeout bounds how long aborted requests may take to notify their callers.
	abortTimeout = 500 * time.Millisecond
)

// ErrStart is returned if a node cannot start.
var ErrStart = errors.New("bulrushhinge: start")

type (
	// Config is the settings of a Node.
	Config struct {
		// Instance is the node's name on the platform's list.
		Instance string
		// Zone is the node's availability zone.
		Zone string
		// Callers, Peers and Operators are the node's listeners; the node
		// closes them.
		Callers   net.Listener
		Peers     net.Listener
		Operators net.Listener
		// Platform is the platform's address.
		Platform netip.AddrPort
		// Join holds the peer addresses of some other nodes: a node that starts
		// while the platform is down fetches the instance list from them.
		Join []netip.AddrPort
		// Keys are the operators' public keys.
		Keys []ed25519.PublicKey
		// Grace is how long a stopping node still accepts requests.
		Grace time.Duration
		// Linger is the minimum time for which a stopping node refuses requests
		// before it closes its listener.
		Linger time.Duration
		// Limits are the limits for callers; zero values are defaults.
		Limits caller.Config
		// Token is the operators' bearer token; without one only health and
		// readiness are served to them.
		Token string
		// Traces is the number of requests whose decisions are kept for operators.
		Traces int
		// FleetSecrets are the secrets that only the nodes of the fleet share,
		// peer.SecretSize random bytes each: the first is presented to peers,
		// all are accepted.
		FleetSecrets [][]byte
		// Dialer opens every connection the node makes, to peers, endpoints and
		// the platform; nil is the default of each.
		Dialer Dialer
		// Log receives the node's log; nil is logrus' standard logger.
		Log logrus.FieldLogger
		// Import maps a service to the cost at which its engines import a cached
		// token, relative to computing it; services not listed import nothing.
		Import map[string]float64
		// Extensions register further plug-ins with the kernel.
		Extensions []kernel.Extension
	}

	// Dialer opens connections.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// Node is a running router process.
	Node struct {
		config     Config
		key        *peer.Key
		control    *control
		cache      *platform.Cache
		lister     lister
		reader     *platform.Reader
		source     *platform.Client
		peers      *peer.Client
		server     *peer.Server
		dispatcher *dispatch.Dispatcher
		holder     *permit.Holder
		endpoints  *endpoint.Client
		metrics    *operator.Metrics
		traces     *operator.Traces
		tickets    *atmostonce.Registry
		limiter    *limit.Limiter
		meter      *capacity.Meter
		handler    *caller.Handler
		callers    *http.Server
		listener   *caller.Listener
		operators  *http.Server
		running    sync.WaitGroup
	}
)

// New starts a node.
func New(c Config) (*Node, error) {
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	c.Grace = cmp.Or(c.Grace, DefaultGrace)
	c.Linger = cmp.Or(c.Linger, DefaultLinger)
	c.Limits.Active = &atomic.Int64{}
	key, err := peer.NewKey(c.FleetSecrets...)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStart, err)
	}
	n := &Node{
		config:  c,
		key:     key,
		limiter: limit.NewLimiter(limit.LimiterConfig{}),
		holder:  permit.NewHolder(),
		meter:   capacity.NewMeter(),
	}
	n.endpoints = endpoint.NewClient(endpoint.ClientConfig{Dialer: c.Dialer, OnNotice: func(addr netip.AddrPort, w endpoint.Notice) {
		n.control.handleNotice(addr, w)
	}})
	self := kernel.Node{
		Name:        c.Instance,
		Zone:        c.Zone,
		Incarnation: rand.Uint64(),
		Caller:      address(c.Callers),
		Peer:        address(c.Peers),
	}
	n.tickets = atmostonce.New(atmostonce.Config{Node: self.Name, Incarnation: self.Incarnation})
	active := func() int { return int(c.Limits.Active.Load()) }
	k, permits := builtin.New(self, builtin.Config{
		Config:     config.Config{Hold: config.DefaultHold},
		Membership: membership.Config{Active: active},
		Pool:       pool.Config{Dispatched: n.holder.Loads},
		Limit:      limit.Config{Limiter: n.limiter},
		Capacity:   capacity.Config{Meter: n.meter},
	}, append(c.Extensions, &n.lister)...)
	n.metrics = operator.NewMetrics(operator.MetricsConfig{View: k.View, Active: active, Platform: n.platformStatus})
	n.traces = operator.NewTraces(operator.TracesConfig{Size: c.Traces})
	n.peers = peer.NewClient(peer.ClientConfig{
		Self: self.Name, Incarnation: self.Incarnation, Dialer: n.metrics.Dialer(dialerOr(c.Dialer)),
		Key: key,
	})
	n.cache = platform.NewCache(platform.CacheConfig{Operators: c.Keys})
	reread := make(chan struct{}, 1)
	n.control = newControl(controlConfig{
		Kernel: k, Peers: n.peers, Endpoints: n.endpoints, Gate: permits, Cache: n.cache, Log: c.Log, Metrics: n.metrics, Reread: reread,
	})
	n.source = platform.NewClient(platform.ClientConfig{Addr: c.Platform, Dialer: c.Dialer})
	n.reader = platform.NewReader(platform.ReaderConfig{
		Source: n.source, Sink: n.control, Cache: n.cache, Log: c.Log, Role: n.role, Meter: n.metrics,
		Reread: reread, Join: n.joinGetters(),
	})
	if err := n.serve(k, permits); err != nil {
		return nil, err
	}
	return n, nil
}

// View returns the newest published view.
func (n *Node) View() *kernel.View { return n.control.View() }

// Stop shuts the node down gracefully: it withdraws from the entry responses and
// notifies its peers, serves for the grace time, then refuses further requests as
// not run while those in progress finish, until ctx ends.
//
// Closing a listener at once resets connections that are not yet accepted and
// those that callers keep alive; their callers could not tell whether a request
// was run. The node therefore refuses requests for at least Linger before it
// closes the listener.
func (n *Node) Stop(ctx context.Context) error {
	n.control.Offer(kernel.Drain{})
	pause(ctx, n.config.Grace)
	n.handler.Refuse()
	refused := time.Now()
	err := errors.Join(n.handler.Wait(ctx), n.tickets.Wait(ctx))
	if err != nil {
		n.abortRequests(ctx)
	}
	pause(ctx, time.Until(refused.Add(n.config.Linger)))
	if drain := n.listener.Drain(ctx); drain != nil {
		n.config.Log.WithError(drain).WithField("connections", n.listener.Reading()).Warn("connections did not end; closing them")
		err = errors.Join(err, drain)
	}
	return errors.Join(err, n.Close())
}

// abortRequests aborts the requests that outlast ctx and waits until their callers
// are notified, up to abortTimeout.
func (n *Node) abortRequests(ctx context.Context) {
	n.config.Log.WithField("active", n.config.Limits.Active.Load()).Warn("requests outlast the stop; aborting them")
	n.handler.End()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	if err := n.handler.Wait(ctx); err != nil {
		n.config.Log.WithError(err).Warn("requests did not end after the abort; cutting them off")
	}
}

// Close stops the node at once and cuts off requests in progress.
func (n *Node) Close() error {
	err := errors.Join(n.callers.Close(), n.operators.Close())
	n.dispatcher.Close()
	n.reader.Close()
	n.control.Close()
	err = errors.Join(err, n.server.Close(), n.peers.Close())
	n.running.Wait()
	n.endpoints.Close()
	n.source.Close()
	return err
}

// dump returns the state of every part of the node.
func (n *Node) dump() map[string]any {
	state := n.control.Dump()
	state["platform"] = n.platformStatus()
	return state
}

func (n *Node) record() []byte { return n.cache.Value(platform.KeyAccepted) }

func (n *Node) platformStatus() []platform.Status { return n.reader.Status() }

// role returns what the platform's reader needs to know of the fleet. Before its
// first view a node acts as a watcher, as it knows no other that reads for it.
func (n *Node) role() platform.Role {
	v := n.control.View()
	return platform.Role{
		Watcher:  v.Watcher || v.At.IsZero(),
		Reported: v.ListVersion, Listed: v.Listed,
	}
}

func (n *Node) serve(k *kernel.Kernel, permits *permit.Gate) error {
	leases := poison.NewLeases(0)
	n.dispatcher = dispatch.New(dispatch.Config{
		View: k.View, Gate: permits, Peers: n.peers, Endpoints: n.endpoints, Sink: trafficSink{control: n.control},
		Leases: leases, PeerLeases: n.peers, Limiter: n.limiter, Holder: n.holder, Caches: n.endpoints, Meter: n.meter,
		Router:   route.NewRouter(route.Config{Import: n.config.Import}),
		Recorder: dispatch.Recorders{n.traces, n.metrics, operator.Log{To: n.config.Log}},
	})
	limits := n.config.Limits
	limits.View, limits.Dispatcher, limits.Log = k.View, n.dispatcher, n.config.Log
	limits.Tickets, limits.Relays = n.tickets, n.peers
	n.handler = caller.New(limits)
	var err error
	n.server, err = peer.NewServer(peer.ServerConfig{
		Key:      n.key,
		Listener: n.metrics.Listener(n.config.Peers), Beats: n.control, Permits: permits,
		Values: localValues{cache: n.cache, lister: &n.lister},
		Relays: n.handler, Leases: leases, Log: n.config.Log,
	})
	if err != nil {
		return fmt.Errorf("%w: %v", ErrStart, err)
	}
	n.listener = caller.NewListener(caller.ListenerConfig{Listener: n.config.Callers, Log: n.config.Log})
	n.callers = caller.NewServer(n.metrics.Observe(n.handler))
	n.callers.ErrorLog = newServerLog(n.config.Log)
	n.operators = &http.Server{
		Handler: operator.New(operator.Config{
			View: k.View, Dump: n.dump, Record: n.record, Token: n.config.Token,
			Metrics: n.metrics, Traces: n.traces,
		}),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          newServerLog(n.config.Log),
	}
	start := func(s *http.Server, l net.Listener) {
		n.running.Go(func() { _ = s.Serve(l) })
	}
	start(n.callers, n.listener)
	start(n.operators, n.config.Operators)
	return nil
}

func address(l net.Listener) netip.AddrPort {
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return a.AddrPort()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func dialerOr(d Dialer) Dialer {
	if d == nil {
		return &net.Dialer{}
	}
	return d
}
