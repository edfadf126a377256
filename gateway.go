package bulrushhinge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/gossip"
	"bulrushhinge.example/bulrushhinge/internal/handover"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/memory"
	"bulrushhinge.example/bulrushhinge/internal/owner"
	"bulrushhinge.example/bulrushhinge/internal/periodic"
	"bulrushhinge.example/bulrushhinge/internal/reach"
	"bulrushhinge.example/bulrushhinge/internal/store"
)

const (
	// addressTTL is how long callers keep the addresses of nodes: short, so
	// that they soon stop using a dead one.
	addressTTL = time.Second
	// maxAddresses is the most addresses that callers accept.
	maxAddresses = 64
	// A stopping node closes its listener and idle connections after maxAccept, or
	// closeShare of its grace if that is shorter. By then most callers have learned
	// other addresses; what is taken later may have to be cut at the end of the grace.
	closeShare = 0.5
	maxAccept  = 2500 * time.Millisecond
	// graceMargin is how long before the end of the grace a stopping node closes.
	graceMargin = 400 * time.Millisecond
	// endTime is how long a gateway that closes waits for the answers to requests that it
	// ends.
	endTime = 100 * time.Millisecond
	// abandonTime is how long a gateway that closes waits for the lines of requests that
	// it ends.
	abandonTime = 100 * time.Millisecond
	// maxHeaderBytes bounds a request's header before the configured limit is
	// checked.
	maxHeaderBytes = 64 << 10
	// forgetInterval is how often the state of unused endpoints is dropped, and
	// forgetAfter how long it is kept after the last use.
	forgetInterval = 10 * time.Second
	forgetAfter    = time.Minute
	// discoveryTime is how long after its start a node may know no other node yet.
	discoveryTime = 500 * time.Millisecond
)

type (
	// GatewayConfig is the settings of a Gateway.
	GatewayConfig struct {
		// Node is the node's name, and Zone its availability zone.
		Node string
		Zone string
		// Regions maps availability zones to their regions.
		Regions map[string]string
		// Power is the node's CPU allowance in thousandths of a core.
		Power int
		IP    netip.Addr
		// Port is the port for datagrams and calls between nodes, the same on all.
		Port uint16
		// HandoverPort is the port for requests that nodes hand over, the same on
		// all.
		HandoverPort uint16
		// Seeds are the addresses of some nodes.
		Seeds []netip.Addr
		// Callers is the listen address for requests, Directory for callers'
		// address lookups, Ready for the platform's readiness checks, and
		// Metrics for metrics and state.
		Callers   netip.AddrPort
		Directory netip.AddrPort
		Ready     netip.AddrPort
		Metrics   netip.AddrPort
		// Source reads the platform's store, and Decoder decodes its items.
		Source  store.Source
		Decoder deployment.Decoder
		Headers gateway.Headers
		// Places returns the reserver of places at engines, which uses the
		// pool's connections; it may be nil.
		Places func(p *http1.Pool) gateway.Reserver
		// Dialer opens the connections to endpoints; nil is http1.NewDialer.
		Dialer Dialer
		// Answers returns the handler of Directory and Ready.
		Answers func(g *Gateway) http.Handler
		// Retry is the retry budget; its Nodes is set by the gateway.
		Retry budget.Config
		// AddressTTL bounds how long callers keep addresses; 0 leaves the default.
		AddressTTL time.Duration
		// Drain is the time within which a leaving endpoint must get no more
		// requests.
		Drain time.Duration
		// Apply is the time within which a change of the configuration must be
		// in force.
		Apply time.Duration
		// LoadCap is the greatest multiple of the mean load that an endpoint
		// may have.
		LoadCap float64
		// Owners is how many slots a plain service has at most for each node to get an
		// owner, 0 to owner.MaxRatio; 0 means that no service has one.
		Owners float64
		// CostOrder says for which services waiting requests are ordered by cost;
		// empty means never.
		CostOrder gateway.CostOrder
		// Grace is how long the process may run after it is told to stop.
		Grace time.Duration
		// Log receives JSON lines.
		Log io.Writer
	}

	// Gateway is one router process that serves the platform's callers.
	Gateway struct {
		config        GatewayConfig
		log           *decision.Log
		state         *deployment.State
		follower      *store.Follower
		gossip        *gossip.Gossip
		balancer      *balance.Balancer
		pool          *http1.Pool
		handler       *gateway.Handler
		metrics       *gateway.Metrics
		gossipMetrics *gossip.Metrics
		crashes       *crash.Tracker
		crashMetrics  *crash.Metrics
		reach         *reach.Tracker
		reachMetrics  *reach.Metrics
		handovers     *handovers
		handoverCalls *handover.Server
		// owners is nil if no service may have an owner.
		owners       *owners
		storeMetrics *store.Metrics
		memory       *memory.Watcher
		callers      *http.Server
		// callersListener accepts the connections of callers.
		callersListener *http1.Listener
		servers         []*http.Server
		seeds           atomic.Pointer[[]netip.Addr]
		stopping        atomic.Bool
		// closes is when a stopping node ends its requests; nil while it accepts them.
		closes  atomic.Pointer[time.Time]
		began   time.Time
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// peerLoads reads the other nodes' loads through the gateway, because the
	// balancer is created before the gossip.
	peerLoads struct{ gateway *Gateway }
)

// Others returns the requests in progress at an endpoint that other nodes sent.
func (l peerLoads) Others(key uint32) int { return l.gateway.gossip.Others(key) }

// OthersPrefill returns the prompt tokens that an endpoint has yet to prefill for
// other nodes' requests.
func (l peerLoads) OthersPrefill(key uint32) int { return l.gateway.gossip.OthersPrefill(key) }

// OthersFailures returns the recent attempts of other nodes that an endpoint has
// failed.
func (l peerLoads) OthersFailures(key uint32) int { return l.gateway.gossip.OthersFailures(key) }

// Age returns how old the other nodes' loads are.
func (l peerLoads) Age(now time.Time) time.Duration { return l.gateway.gossip.Age(now) }

// NewGateway starts a gateway.
func NewGateway(c GatewayConfig) (*Gateway, error) {
	if err := owner.CheckRatio(c.Owners); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStart, err)
	}
	if _, err := gateway.ParseCostOrder(string(c.CostOrder)); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStart, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{config: c, log: decision.New(decision.LogConfig{To: c.Log, Node: c.Node}), metrics: gateway.NewMetrics(), gossipMetrics: gossip.NewMetrics(), crashMetrics: crash.NewMetrics(), reachMetrics: reach.NewMetrics(), storeMetrics: store.NewMetrics(), began: time.Now(), cancel: cancel}
	g.SetSeeds(c.Seeds)
	g.state = deployment.NewState(deployment.StateConfig{Decoder: c.Decoder, Drain: c.Drain, Regions: slices.Sorted(maps.Values(c.Regions)), Log: g.log})
	nodes := func() int { return g.gossip.View().Known }
	g.balancer = balance.New(balance.Config{Loads: peerLoads{gateway: g}, Zone: c.Zone, LoadFactor: c.LoadCap, Nodes: nodes, Announce: func() { g.gossip.Announce() }})
	g.pool = http1.NewPool(http1.PoolConfig{RequestID: c.Headers.RequestID, Opened: g.metrics.Opened, Dialer: c.Dialer})
	g.crashes = crash.NewTracker(crash.Config{Prober: g.pool, Deployment: g.state, Nodes: nodes, Metrics: g.crashMetrics, Log: g.log})
	g.reach = reach.NewTracker(reach.Config{Prober: g.pool, Deployment: g.state, Changed: g.serviceChanged, Metrics: g.reachMetrics, Log: g.log})
	var err error
	// The gossip may call for a reread before the follower exists.
	follower := &atomic.Pointer[store.Follower]{}
	g.gossip, err = gossip.New(gossip.Config{
		Self: gossip.Member{Name: c.Node, Zone: c.Zone, IP: c.IP, Callers: c.Callers, Power: power(c.Power), Incarnation: rand.Uint64()},
		Port: c.Port, Seeds: func() []netip.Addr { return *g.seeds.Load() }, Replica: g.state, Bound: shorterBound(c.Drain, c.Apply),
		State: g.memberState, Work: g.balancer, Metrics: g.gossipMetrics, Log: g.log,
		Crashes: g.crashes, Lost: g.lostServices,
		Reread: func() {
			if f := follower.Load(); f != nil {
				f.Reread()
			}
		},
	})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %v", ErrStart, err)
	}
	var places gateway.Reserver
	if c.Places != nil {
		places = c.Places(g.pool)
	}
	c.Retry.Nodes = nodes
	g.handovers = &handovers{gateway: g, client: handover.NewClient(), chooser: handover.NewChooser(handover.ChooserConfig{Zone: c.Zone, Regions: c.Regions})}
	handler := gateway.Config{
		Headers: c.Headers, Deployment: g.state, Balancer: g.balancer, Pool: g.pool, Budget: budget.New(c.Retry),
		Crashes: g.crashes, Reach: g.reach, Handovers: g.handovers, Takers: g.handovers.anyTakes, Metrics: g.metrics, Log: g.log, Reserver: places, Regions: c.Regions, Nodes: nodes, Peers: g.peers, Stopping: g.stopping.Load, Closes: g.closesAt, CostOrder: c.CostOrder,
	}
	g.startOwners(ctx, &handler)
	g.handler = gateway.New(handler)
	g.follower = store.NewFollower(store.FollowerConfig{
		Source: c.Source, Sink: g.state, Metrics: g.storeMetrics, Log: g.log,
		Reads: g.gossip.Reads, Bound: shorterBound(c.Drain, c.Apply),
	})
	follower.Store(g.follower)
	g.memory = memory.NewWatcher(memory.Config{Fields: g.held, Log: g.log})
	if err := g.listen(ctx); err != nil {
		g.memory.Close()
		cancel()
		return nil, err
	}
	g.running.Go(func() {
		periodic.Run(ctx, forgetInterval, func(now time.Time) { g.balancer.Forget(now, forgetAfter) })
	})
	g.log.Event("start", decision.Fields{"callers": c.Callers.String(), "zone": c.Zone, "seeds": c.Seeds, "memory_limit": memory.Read().Limit})
	return g, nil
}

// power returns the CPU allowance that is reported to other nodes: at least 1, so
// that the node may be a relay.
func power(thousandths int) uint16 { return uint16(min(max(thousandths, 1), math.MaxUint16)) }

// shorterBound returns the shorter of two bounds; 0 is no bound.
func shorterBound(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// SetSeeds replaces the seed addresses.
func (g *Gateway) SetSeeds(seeds []netip.Addr) { g.seeds.Store(&seeds) }

// Reloaded logs that the settings were read again, and the error if that failed.
func (g *Gateway) Reloaded(err error) {
	f := decision.Fields{"seeds": *g.seeds.Load()}
	if err != nil {
		f["error"] = err.Error()
	}
	g.log.Event("reload", f)
}

// Ready reports whether the node serves callers.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.state.Snapshot().Config != nil
}

// Resolve returns the addresses of nodes for a caller, and their TTL.
func (g *Gateway) Resolve(c gateway.Caller) ([]netip.AddrPort, time.Duration) {
	all := g.nearest(c)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxAddresses)], min(addressTTL, cmp.Or(g.config.AddressTTL, addressTTL))
}

// Stop shuts the gateway down gracefully, within its grace. It is withdrawn from
// the addresses at once but still accepts requests; then it closes its listener
// and idle connections, and waits for the requests in progress.
func (g *Gateway) Stop() error {
	began := time.Now()
	g.stopping.Store(true)
	g.log.Event("stop", decision.Fields{"active": g.handler.Active()})
	time.Sleep(min(time.Duration(closeShare*float64(g.config.Grace)), maxAccept))
	closes := began.Add(g.config.Grace - graceMargin)
	g.closes.Store(&closes)
	ctx, cancel := context.WithDeadline(context.Background(), closes)
	defer cancel()
	err := errors.Join(g.callersListener.Drain(ctx), g.handler.Wait(ctx))
	g.log.Event("stopped", decision.Fields{"active": g.handler.Active(), "took_ms": time.Since(began).Milliseconds()})
	return errors.Join(err, g.Close())
}

// Close stops the gateway at once.
func (g *Gateway) Close() error {
	g.cancel()
	g.endRequests()
	var errs []error
	for _, s := range g.servers {
		errs = append(errs, s.Close())
	}
	g.handoverCalls.Close()
	ctx, cancel := context.WithTimeout(context.Background(), abandonTime)
	defer cancel()
	// Requests that are still in progress then leave no line.
	_ = g.handler.Wait(ctx)
	g.follower.Close()
	g.gossip.Close()
	g.running.Wait()
	g.reach.Close()
	g.crashes.Close()
	errs = append(errs, g.handovers.client.Close())
	g.state.Close()
	g.pool.Close()
	g.memory.Close()
	g.log.Close()
	return errors.Join(errs...)
}

// endRequests ends the requests in progress while their callers' connections are open, so
// that these get an answer.
func (g *Gateway) endRequests() {
	g.handler.End()
	ctx, cancel := context.WithTimeout(context.Background(), endTime)
	defer cancel()
	// What is left is a request that still arrives, or a caller that does not read.
	_ = g.handler.Wait(ctx)
	g.handler.Abandon()
}

// closesAt returns when a stopping node ends its requests, zero while it accepts them.
func (g *Gateway) closesAt() time.Time {
	if closes := g.closes.Load(); closes != nil {
		return *closes
	}
	return time.Time{}
}

// Dump returns the gateway's state for operators.
func (g *Gateway) Dump() map[string]any {
	age, known := g.state.Age()
	snap := g.state.Snapshot()
	return map[string]any{
		"node": g.config.Node, "stopping": g.stopping.Load(), "active": g.handler.Active(), "config": snap.Config, "epoch": snap.Epoch, "revision": snap.Revision,
		"endpoints": snap.Endpoints, "evacuated": snap.Evacuated, "members": g.gossip.View().Alive, "store_age": age.String(), "store_known": known,
		"loads": g.balancer.Active(), "loads_age": g.gossip.Age(time.Now()).String(), "slowdowns": g.balancer.SlowdownsByID(time.Now()), "relayed": g.gossip.Relayed(), "dropped": g.log.Dropped(),
		"isolated": g.crashes.List(time.Now()), "refusing": g.crashes.Refusing(time.Now()), "lost_services": g.reach.Lost(), "handed_over": g.handovers.chooser.Active(),
		"owners": g.owners.dump(), "queues": g.handler.Queues(),
	}
}

// peers returns the state of the other nodes as far as this one knows it. For
// discoveryTime after its start it may not know any yet.
func (g *Gateway) peers() gateway.PeerState {
	alive := g.gossip.View().Alive
	switch {
	case slices.ContainsFunc(alive, func(m gossip.Member) bool { return m.State == gossip.Ready }):
		return gateway.PeersServing
	case len(alive) > 0 || time.Since(g.began) < discoveryTime:
		return gateway.PeersStarting
	}
	return gateway.PeersNone
}

func (g *Gateway) memberState() gossip.State {
	switch {
	case g.stopping.Load():
		return gossip.Stopping
	case g.Ready():
		return gossip.Ready
	}
	return gossip.Starting
}
