package bulrushhinge

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/operator"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/periodic"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	heartbeatTimeout  = time.Second
	fetchTimeout      = 2 * time.Second
	loadInterval      = time.Second
	queueLength       = 1024
)

type (
	controlConfig struct {
		Kernel    *kernel.Kernel
		Peers     *peer.Client
		Endpoints *endpoint.Client
		Gate      *permit.Gate
		// Cache stores and verifies revisions fetched from peers.
		Cache *platform.Cache
		// Reread makes the platform's reader read every value again.
		Reread chan<- struct{}
		Log    logrus.FieldLogger
		// Metrics counts heartbeats and fetches.
		Metrics *operator.Metrics
	}

	// control owns the kernel: one goroutine steps it, others do the I/O of the
	// actions that it returns.
	control struct {
		config controlConfig
		inputs chan input
		cancel context.CancelFunc
		ctx    context.Context
		// seen is the last view whose probes were handled, and probed the names
		// of those endpoints; only the control goroutine uses them.
		seen    *kernel.View
		probed  map[string]bool
		running sync.WaitGroup
		// dropped counts traffic events dropped because the queue was full.
		dropped atomic.Int64
	}

	// peerValues is a platform.Getter that reads a peer's copy of the values.
	peerValues struct {
		peers *peer.Client
		addr  netip.AddrPort
	}

	// queueState is the state of the control goroutine's queue in a dump.
	queueState struct {
		Waiting int   `json:"waiting"`
		Dropped int64 `json:"dropped"`
	}

	// trafficSink is the event sink of the goroutines that serve requests.
	trafficSink struct{ control *control }

	// input is an event, a function to run on the control goroutine, or both.
	input struct {
		event kernel.Event
		call  func(now time.Time)
		done  chan struct{}
	}
)

func newControl(cfg controlConfig) *control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{config: cfg, inputs: make(chan input, queueLength), ctx: ctx, cancel: cancel}
	c.running.Go(func() {
		tick := time.NewTicker(kernel.DefaultTick)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-tick.C:
				c.config.Gate.Expire(now)
				c.step(now, kernel.Tick{})
			case in := <-c.inputs:
				c.handleInput(time.Now(), in)
			}
		}
	})
	c.running.Go(func() {
		periodic.Run(ctx, loadInterval, func(time.Time) { c.readLoads() })
	})
	return c
}

// Offer queues an event for the control goroutine and never blocks.
func (t trafficSink) Offer(ev kernel.Event) { t.control.tryOffer(ev) }

// Offer queues an event for the control goroutine; it blocks while the queue is full.
func (c *control) Offer(ev kernel.Event) {
	select {
	case c.inputs <- input{event: ev}:
	case <-c.ctx.Done():
	}
}

// tryOffer queues an event of a traffic goroutine, or drops it if the queue is full.
//
// If traffic blocked on the control goroutine, one slow step would stall every
// response that the node streams. A dropped event is reported again at the next
// failure.
func (c *control) tryOffer(ev kernel.Event) {
	select {
	case c.inputs <- input{event: ev}:
	default:
		c.dropped.Add(1)
	}
}

// View returns the newest published view.
func (c *control) View() *kernel.View { return c.config.Kernel.View() }

// Beat handles a peer's heartbeat and returns the node's own.
func (c *control) Beat(_ context.Context, b *kernel.Heartbeat) *kernel.Heartbeat {
	var reply *kernel.Heartbeat
	if !c.do(kernel.HeartbeatReceived{Heartbeat: b}, func(now time.Time) {
		reply = c.config.Kernel.Beat(now, b.Node)
	}) {
		return &kernel.Heartbeat{}
	}
	return reply
}

// Dump returns the state of every plug-in.
func (c *control) Dump() map[string]any {
	var state map[string]any
	if !c.do(nil, func(now time.Time) {
		state = c.config.Kernel.Dump(now)
		state["control"] = queueState{Waiting: len(c.inputs), Dropped: c.dropped.Load()}
		state["view"] = withoutManifest(c.View())
	}) {
		return map[string]any{}
	}
	return state
}

// Close stops the goroutines.
func (c *control) Close() {
	c.cancel()
	c.running.Wait()
}

// do applies an event and runs a function on the control goroutine, and waits
// for both. It returns false if the node closes meanwhile: the function may then
// still be running, and what it writes must not be read.
func (c *control) do(ev kernel.Event, call func(now time.Time)) bool {
	in := input{event: ev, call: call, done: make(chan struct{})}
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
		return false
	}
	select {
	case <-in.done:
		return true
	case <-c.ctx.Done():
		return false
	}
}

func (c *control) handleInput(now time.Time, in input) {
	if in.event != nil {
		c.step(now, in.event)
	}
	if in.call != nil {
		in.call(now)
	}
	if in.done != nil {
		close(in.done)
	}
}

func (c *control) step(now time.Time, ev kernel.Event) {
	old := c.View()
	before := revisionOf(old)
	for _, a := range c.config.Kernel.Step(now, ev) {
		c.execute(now, a)
	}
	if after := revisionOf(c.View()); after != before {
		c.config.Log.WithFields(logrus.Fields{"revision": after, "before": before}).Info("revision in force")
	}
	if peer := c.View().Conflict; peer != "" && old.Conflict == "" {
		c.config.Log.WithFields(logrus.Fields{"revision": before, "peer": peer}).Error("two accepted manifests of one revision in force")
	}
	c.probeNew()
}

// probeNew reads the load reports of endpoints that the node has just come to own.
//
// The endpoint may come from an old instance list and have been leaving for long.
// Until its report is read, the node would admit work to it: up to a second
// (loadInterval) with the periodic reads, one round trip when read at once.
func (c *control) probeNew() {
	v := c.View()
	if v == c.seen {
		return
	}
	c.seen = v
	probed := make(map[string]bool, len(v.Probes))
	for _, e := range v.Probes {
		probed[e.Name] = true
		if !c.probed[e.Name] {
			c.running.Go(func() { c.readLoad(e) })
		}
	}
	c.probed = probed
}

func (c *control) execute(now time.Time, a kernel.Action) {
	switch a := a.(type) {
	case kernel.SendHeartbeat:
		beat := c.config.Kernel.Beat(now, a.To.Name)
		c.running.Go(func() { c.sendHeartbeat(a.To, beat) })
	case kernel.Reread:
		select {
		case c.config.Reread <- struct{}{}:
		default:
		}
	case kernel.Order:
		c.running.Go(func() { c.order(a) })
	case kernel.FetchConfig:
		c.running.Go(func() { c.fetchConfig(a) })
	}
}

func (c *control) sendHeartbeat(to kernel.Node, beat *kernel.Heartbeat) {
	ctx, cancel := context.WithTimeout(c.ctx, heartbeatTimeout)
	defer cancel()
	reply, err := c.config.Peers.Beat(ctx, to.Peer, beat)
	c.config.Metrics.Beat(err)
	if err != nil {
		c.Offer(kernel.HeartbeatFailed{Node: to.Name})
		return
	}
	c.Offer(kernel.HeartbeatReceived{Heartbeat: reply})
}

// fetchConfig fetches the newest accepted revision from a peer. The cache
// verifies it, so a peer cannot put a revision in force that operators did not
// accept.
func (c *control) fetchConfig(a kernel.FetchConfig) {
	node, ok := c.View().Node(a.Node)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	m, err := c.config.Cache.Fetch(ctx, peerValues{peers: c.config.Peers, addr: node.Peer})
	c.config.Metrics.Fetch(err)
	if err != nil {
		c.config.Log.WithError(err).WithFields(logrus.Fields{
			"peer": a.Node, "revision": a.Revision,
		}).Warn("accepted revision not delivered by peer")
		c.Offer(kernel.ConfigFailed{Node: a.Node})
		return
	}
	if m != nil {
		c.Offer(kernel.Accepted{Manifest: m})
	}
}

// order sends an order to an endpoint.
func (c *control) order(o kernel.Order) {
	reply, err := c.config.Endpoints.Order(c.ctx, o.Addr, endpoint.Order{
		Fence: o.Fence, Revision: o.Revision, Models: o.Models, Adapters: o.Adapters, Role: o.Role,
	})
	log := c.config.Log.WithFields(logrus.Fields{
		"endpoint": o.Endpoint, "fence": o.Fence, "models": o.Models, "revision": o.Revision,
	})
	if err != nil {
		log.WithError(err).Warn("order not accepted")
	} else {
		log.Info("order accepted")
	}
	c.Offer(kernel.OrderEnded{Endpoint: o.Endpoint, Accepted: err == nil, Fence: reply.Fence})
}

// readLoads reads the load reports of the endpoints that the node owns, and checks
// whether endpoints that told it that they are leaving have restarted.
func (c *control) readLoads() {
	v := c.View()
	for _, e := range v.Probes {
		c.running.Go(func() { c.readLoad(e) })
	}
	for _, e := range v.Leavers {
		c.running.Go(func() { c.readNotice(e) })
	}
}

// readNotice asks an endpoint that another node owns whether it is leaving. A
// failed request changes nothing.
func (c *control) readNotice(e kernel.Endpoint) {
	report, err := c.config.Endpoints.Load(c.ctx, e.Addr)
	if err != nil {
		return
	}
	c.Offer(kernel.EndpointNotice{Endpoint: e.Name, Leaving: report.Leaving, Incarnation: report.Incarnation})
}

// handleNotice handles a notice that an endpoint at addr sent with a response. It
// applies to every endpoint name at the address, which may include removed ones.
func (c *control) handleNotice(addr netip.AddrPort, n endpoint.Notice) {
	now := time.Now()
	for _, pool := range c.View().Pools {
		for _, e := range pool.Endpoints {
			if e.Addr != addr {
				continue
			}
			if n.Leaving {
				c.tryOffer(kernel.EndpointNotice{Endpoint: e.Name, Leaving: true, Incarnation: n.Incarnation})
			}
			if n.Backoff > 0 {
				c.tryOffer(kernel.EndpointBackoff{Endpoint: e.Name, Until: now.Add(n.Backoff)})
			}
		}
	}
}

func (c *control) readLoad(e kernel.Endpoint) {
	report, err := c.config.Endpoints.Load(c.ctx, e.Addr)
	if err != nil {
		c.Offer(kernel.EndpointFailed{Endpoint: e.Name})
		return
	}
	c.config.Gate.RecordReport(time.Now(), e.Name, kernel.Load{Requests: report.Requests, Tokens: report.Tokens})
	c.Offer(kernel.LoadReported{
		Endpoint:    e.Name,
		Load:        kernel.Load{Requests: report.Requests, Tokens: report.Tokens},
		Models:      report.Models,
		Leaving:     report.Leaving,
		Incarnation: report.Incarnation,
		Adapters:    report.Adapters,
		Role:        report.Role,
		Fence:       report.Fence,
	})
}

// Values reads values by their keys.
func (v peerValues) Values(ctx context.Context, keys []string) (map[string][]byte, error) {
	return v.peers.Values(ctx, v.addr, keys)
}

func revisionOf(v *kernel.View) uint64 {
	if v.Manifest == nil {
		return 0
	}
	return v.Manifest.Revision
}

// withoutManifest returns the view without its manifest: operators have it, and
// at 1,600 accounts it would be most of a dump.
func withoutManifest(v *kernel.View) *kernel.View {
	s := *v
	s.Manifest = nil
	return &s
}
