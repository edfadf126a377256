package bulrushhinge

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/operator"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/periodic"
	"bulrushhinge.example/bulrushhinge/internal/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	beatTimeout       = time.Second
	fetchTimeout      = 2 * time.Second
	loadInterval      = time.Second
	queueLength       = 1024
)

type (
	controlConfig struct {
		Kernel    *kernel.Kernel
		Peers     *peer.Client
		Endpoints *endpoint.Client
		Gate      *gate.Gate
		// Cache takes revisions that peers deliver.
		Cache *platform.Cache
		// Reread asks the platform's reader for new readings.
		Reread chan<- struct{}
		Log    logrus.FieldLogger
		// Metrics counts heartbeats and fetches.
		Metrics *operator.Metrics
	}

	// control owns the kernel: one goroutine steps it, others do the I/O that
	// it asks for.
	control struct {
		config controlConfig
		inputs chan input
		cancel context.CancelFunc
		ctx    context.Context
		// seen is the last view whose probes were read, and probed those
		// probes; both belong to the goroutine that owns the kernel.
		seen    *kernel.View
		probed  map[string]bool
		running sync.WaitGroup
		// dropped counts events of traffic that found the queue full.
		dropped atomic.Int64
	}

	// valuesOf reads the configuration that a peer holds.
	valuesOf struct {
		peers *peer.Client
		addr  netip.AddrPort
	}

	// queueState is what waits for the control goroutine, for operators.
	queueState struct {
		Waiting int   `json:"waiting"`
		Dropped int64 `json:"dropped"`
	}

	// traffic is how traffic goroutines tell the control goroutine of failures.
	traffic struct{ control *control }

	// input is an event, a call on the goroutine that owns the kernel, or both.
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
				c.take(time.Now(), in)
			}
		}
	})
	c.running.Go(func() {
		periodic.Run(ctx, loadInterval, func(time.Time) { c.readLoads() })
	})
	return c
}

// Offer hands an event to the control goroutine and never waits.
func (t traffic) Offer(ev kernel.Event) { t.control.note(ev) }

// Offer hands an event to the control goroutine.
func (c *control) Offer(ev kernel.Event) {
	select {
	case c.inputs <- input{event: ev}:
	case <-c.ctx.Done():
	}
}

// note hands an event of a traffic goroutine to the control goroutine, or drops
// it where too many wait.
//
// Were traffic to wait for the control goroutine, one slow step would hold up
// every answer that the node streams, at all callers at once. What traffic tells
// is seen again at the next failure.
func (c *control) note(ev kernel.Event) {
	select {
	case c.inputs <- input{event: ev}:
	default:
		c.dropped.Add(1)
	}
}

// View returns the newest published view.
func (c *control) View() *kernel.View { return c.config.Kernel.View() }

// Beat takes a peer's heartbeat and returns the node's own.
func (c *control) Beat(_ context.Context, b *kernel.Beat) *kernel.Beat {
	var reply *kernel.Beat
	if !c.do(kernel.BeatReceived{Beat: b}, func(now time.Time) {
		reply = c.config.Kernel.Beat(now, b.Node)
	}) {
		return &kernel.Beat{}
	}
	return reply
}

// Dump returns the state of every plug-in.
func (c *control) Dump() map[string]any {
	var state map[string]any
	if !c.do(nil, func(now time.Time) {
		state = c.config.Kernel.Dump(now)
		state["control"] = queueState{Waiting: len(c.inputs), Dropped: c.dropped.Load()}
		state["view"] = summary(c.View())
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

// do applies an event and runs a call on the control goroutine, and waits. It
// reports whether the call has ended; where the node closes meanwhile, the call
// may still run, and what it writes must not be read.
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

func (c *control) take(now time.Time, in input) {
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
		c.act(now, a)
	}
	if after := revisionOf(c.View()); after != before {
		c.config.Log.WithFields(logrus.Fields{"revision": after, "before": before}).Info("revision in force")
	}
	if peer := c.View().Conflict; peer != "" && old.Conflict == "" {
		c.config.Log.WithFields(logrus.Fields{"revision": before, "peer": peer}).Error("two accepted manifests of one revision in force")
	}
	c.probeNew()
}

// probeNew reads the reports of endpoints whose home the node has become.
//
// A node that just learned of an endpoint may have it from an old list, and
// would admit work to one that has long been leaving until it reads its report
// with the others, up to a second later. Asking at once leaves a round trip.
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

func (c *control) act(now time.Time, a kernel.Action) {
	switch a := a.(type) {
	case kernel.SendBeat:
		beat := c.config.Kernel.Beat(now, a.To.Name)
		c.running.Go(func() { c.sendBeat(a.To, beat) })
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

func (c *control) sendBeat(to kernel.Node, beat *kernel.Beat) {
	ctx, cancel := context.WithTimeout(c.ctx, beatTimeout)
	defer cancel()
	reply, err := c.config.Peers.Beat(ctx, to.Peer, beat)
	c.config.Metrics.Beat(err)
	if err != nil {
		c.Offer(kernel.BeatFailed{Node: to.Name})
		return
	}
	c.Offer(kernel.BeatReceived{Beat: reply})
}

// fetchConfig takes the newest accepted revision from a peer. The cache
// verifies it, so a peer cannot put anything in force that operators did not
// accept.
func (c *control) fetchConfig(a kernel.FetchConfig) {
	node, ok := c.View().Node(a.Node)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, fetchTimeout)
	defer cancel()
	m, err := c.config.Cache.Fetch(ctx, valuesOf{peers: c.config.Peers, addr: node.Peer})
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

// readLoads asks the endpoints whose home the node is for their reports, and those
// that have told it that they leave whether they have started again.
func (c *control) readLoads() {
	v := c.View()
	for _, e := range v.Probes {
		c.running.Go(func() { c.readLoad(e) })
	}
	for _, e := range v.Leavers {
		c.running.Go(func() { c.readWord(e) })
	}
}

// readWord asks an endpoint of another home whether it leaves. One that does not
// answer says nothing.
func (c *control) readWord(e kernel.Endpoint) {
	report, err := c.config.Endpoints.Load(c.ctx, e.Addr)
	if err != nil {
		return
	}
	c.Offer(kernel.EndpointSpoke{Endpoint: e.Name, Leaving: report.Leaving, Incarnation: report.Incarnation})
}

// heard takes what an endpoint says of itself in an answer to this node. Names of
// endpoints that have left may be at the address, too.
func (c *control) heard(addr netip.AddrPort, n endpoint.Notice) {
	now := time.Now()
	for _, pool := range c.View().Pools {
		for _, e := range pool.Endpoints {
			if e.Addr != addr {
				continue
			}
			if n.Leaving {
				c.note(kernel.EndpointSpoke{Endpoint: e.Name, Leaving: true, Incarnation: n.Incarnation})
			}
			if n.Rest > 0 {
				c.note(kernel.EndpointRests{Endpoint: e.Name, Until: now.Add(n.Rest)})
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
	c.config.Gate.Reported(time.Now(), e.Name, kernel.Load{Requests: report.Requests, Tokens: report.Tokens})
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
func (v valuesOf) Values(ctx context.Context, keys []string) (map[string][]byte, error) {
	return v.peers.Values(ctx, v.addr, keys)
}

func revisionOf(v *kernel.View) uint64 {
	if v.Manifest == nil {
		return 0
	}
	return v.Manifest.Revision
}

// summary returns a view without its manifest, which operators have; at 1,600
// accounts it would be most of a dump.
func summary(v *kernel.View) *kernel.View {
	s := *v
	s.Manifest = nil
	return &s
}
