package replay

import (
	"math/rand/v2"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/builtin"
	"bulrushhinge.example/bulrushhinge/internal/config"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/membership"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/pool"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	loadInterval     = time.Second
	heartbeatTimeout = time.Second
	nodeGrace        = 2 * time.Second
	flushInterval    = 5 * time.Millisecond
	// probeBytes is the size of the request for a load report and of the
	// response headers, as net/http writes them.
	probeBytes = 180
)

type (
	// node is one node of the fleet: its real control state and its driver.
	node struct {
		sim     *simulation
		name    string
		zone    string
		kernel  *kernel.Kernel
		gate    *permit.Gate
		router  *route.Router
		holder  *permit.Holder
		alive   bool
		leaving bool
		closed  bool
		since   time.Duration
		until   time.Duration
		listed  uint64
		jobs    map[*job]bool
		traffic traffic
	}

	// traffic is the control traffic counted at a node, in bytes by purpose.
	// Probes and platform reads count with their responses.
	traffic struct {
		heartbeats int
		permits    int
		probes     int
		platform   int
		config     int
	}
)

func newNode(s *simulation, info trace.Node) *node {
	n := &node{sim: s, name: info.Instance, zone: info.Zone, alive: true, since: s.queue.now, jobs: map[*job]bool{}, holder: permit.NewHolder()}
	self := kernel.Node{
		Name: info.Instance, Zone: info.Zone, Incarnation: s.random.Uint64(),
		Caller: address(examplePort), Peer: address(examplePort),
	}
	n.kernel, n.gate = builtin.New(self, builtin.Config{
		Membership: membership.Config{Active: func() int { return len(n.jobs) }},
		Config:     config.Config{Hold: config.DefaultHold},
		Pool:       pool.Config{Dispatched: n.holder.Loads},
		Gate:       s.config.Policy.Gate,
	})
	random := rand.New(rand.NewPCG(s.random.Uint64(), seedStream))
	settings := s.config.Policy.Route(random)
	settings.Import = s.importCosts()
	n.router = route.NewRouter(settings)
	s.all = append(s.all, n)
	phase := time.Duration(s.random.Int64N(int64(kernel.DefaultTick)))
	s.queue.after(phase, n.tick)
	s.queue.after(phase, n.flushLoop)
	s.queue.after(time.Duration(s.random.Int64N(int64(loadInterval))), n.readLoads)
	return n
}

func (n *node) view() *kernel.View { return n.kernel.View() }

func (n *node) tick() {
	if !n.alive {
		return
	}
	n.gate.Expire(n.sim.time())
	n.step(kernel.Tick{})
	if v := n.view(); v.ListVersion > v.Listed {
		n.sim.platform.read(n)
	}
	n.sim.queue.after(kernel.DefaultTick, n.tick)
}

// flushLoop flushes each flushInterval, as the dispatcher of a node does.
func (n *node) flushLoop() {
	if n.alive {
		n.flush()
		n.sim.queue.after(flushInterval, n.flushLoop)
	}
}

func (n *node) step(ev kernel.Event) {
	if !n.alive {
		return
	}
	for _, a := range n.kernel.Step(n.sim.time(), ev) {
		n.act(a)
	}
	n.sim.meter.checkInForce()
}

func (n *node) act(a kernel.Action) {
	switch a := a.(type) {
	case kernel.SendHeartbeat:
		n.sendHeartbeat(a.To.Name)
	case kernel.FetchConfig:
		n.fetch(a)
	default:
		n.sim.fail("unknown action %T", a)
	}
}

// fetch fetches the accepted revision from a peer.
func (n *node) fetch(a kernel.FetchConfig) {
	s := n.sim
	s.queue.after(2*s.delay, func() {
		from := s.node(a.Node)
		if from == nil || from.view().Manifest == nil {
			n.step(kernel.ConfigFailed{Node: a.Node})
			return
		}
		m := from.view().Manifest
		from.traffic.config += recordBytes + jsonBytes(m)
		n.step(kernel.Accepted{Manifest: m})
	})
}

func (n *node) sendHeartbeat(to string) {
	s := n.sim
	wire := peer.EncodeBeat(n.kernel.Beat(s.time(), to))
	n.traffic.heartbeats += peer.RequestBytes(peer.CallBeat, wire)
	s.queue.after(s.delay, func() {
		target := s.node(to)
		if target == nil {
			s.queue.after(heartbeatTimeout, func() { n.step(kernel.HeartbeatFailed{Node: to}) })
			return
		}
		target.step(kernel.HeartbeatReceived{Heartbeat: peer.DecodeBeat(wire)})
		reply := peer.EncodeBeat(target.kernel.Beat(s.time(), n.name))
		target.traffic.heartbeats += peer.ReplyBytes(reply)
		s.queue.after(s.delay, func() { n.step(kernel.HeartbeatReceived{Heartbeat: peer.DecodeBeat(reply)}) })
	})
}

// readLoads reads the load reports of the endpoints that the node owns, as the
// control goroutine of a node does.
func (n *node) readLoads() {
	if !n.alive {
		return
	}
	v := n.view()
	for _, e := range v.Probes {
		n.readLoad(e.Name)
	}
	if n.sim.config.Policy.Poll {
		n.readUnowned(v)
	}
	n.sim.queue.after(loadInterval, n.readLoads)
}

// readUnowned reads the load reports of endpoints that other nodes own.
func (n *node) readUnowned(v *kernel.View) {
	for _, service := range sortedNames(v.Pools) {
		for _, e := range v.Pools[service].Endpoints {
			if e.Owner != v.Self.Name {
				n.readLoad(e.Name)
			}
		}
	}
}

func (n *node) readLoad(name string) {
	s := n.sim
	s.queue.after(2*s.delay, func() {
		g := s.engines[name]
		n.traffic.probes += probeBytes
		if g == nil || !g.alive {
			n.step(kernel.EndpointFailed{Endpoint: name})
			return
		}
		load := g.report(s.config.LoadLag)
		report := endpoint.LoadReport{
			Requests: load.Requests, Tokens: load.Tokens,
			Models: []string{g.info.Model}, Leaving: g.leaving,
		}
		n.traffic.probes += jsonBytes(report)
		n.gate.RecordReport(s.time(), name, load)
		n.step(kernel.LoadReported{Endpoint: name, Load: load, Models: report.Models, Leaving: report.Leaving})
	})
}

// drain starts a planned stop: the node accepts requests for nodeGrace and stops
// once those in progress are done.
func (n *node) drain() {
	n.leaving = true
	n.step(kernel.Drain{})
	n.sim.queue.after(nodeGrace, n.close)
}

func (n *node) close() {
	n.closed = true
	if len(n.jobs) > 0 {
		n.sim.queue.after(loadInterval, n.close)
		return
	}
	n.stop()
	n.sim.platform.changed()
}

func (n *node) stop() {
	n.alive = false
	n.until = n.sim.queue.now
}

// die stops the node at once and breaks every stream that it carries.
func (n *node) die() {
	n.stop()
	for _, j := range n.sortedJobs() {
		j.onNodeStopped(true)
	}
}

func (b traffic) total() int { return b.heartbeats + b.permits + b.probes + b.platform + b.config }
