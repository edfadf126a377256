// Package replay runs a trace through the real control state of every node, in
// virtual time: real kernels, gates and routing plans, between a fake platform
// and fake endpoints. It makes no routing decisions of its own and models no
// faults of networks or processes; a message between two nodes takes a fixed
// time. The same trace, policy and seed give the same report.
package replay

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/policy"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/hint"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

// Defaults of a Config.
const (
	DefaultLoadLag = time.Second
	DefaultListLag = 3 * time.Second
)

const (
	// listJitter is the maximum difference between the times at which nodes see
	// a new instance list.
	listJitter = 500 * time.Millisecond
	// settleTime is the time that nodes get to discover each other before the
	// first event of the trace, drainTime the time after the last deadline.
	settleTime = 5 * time.Second
	drainTime  = 2 * time.Second
	// seedStream separates the replay's random numbers from other uses of a seed.
	seedStream = 0x5eed
)

// ErrReplay is returned if a replay cannot continue.
var ErrReplay = errors.New("replay: stopped")

var epoch = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC)

type (
	// Config configures a replay; zero durations take their defaults.
	Config struct {
		Policy policy.Policy
		// LoadLag is the age of the load that an endpoint reports.
		LoadLag time.Duration
		// ListLag is the delay with which the platform publishes the instance
		// list.
		ListLag time.Duration
		// Ideal replaces all nodes by a single router that knows the state of
		// every endpoint without delay.
		Ideal bool
	}

	simulation struct {
		config   Config
		trace    *trace.Trace
		queue    queue
		delay    time.Duration
		random   *rand.Rand
		manifest *manifest.Manifest
		platform *fakePlatform
		engines  map[string]*engine
		// nodes is the current nodes, all every node that ever ran.
		nodes      []*node
		all        []*node
		clients    map[string]*client
		hints      map[string]hint.Hint
		crashChats map[string]bool
		meter      *meter
		// ideal and rule make the decisions of the ideal router.
		ideal    route.Ranker
		rule     permit.Rule
		attempts uint64
		end      time.Duration
		err      error
	}
)

// Run replays a trace and returns its measurements.
func Run(t *trace.Trace, c Config) (*Result, error) {
	if c.LoadLag == 0 {
		c.LoadLag = DefaultLoadLag
	}
	if c.ListLag == 0 {
		c.ListLag = DefaultListLag
	}
	s := &simulation{
		config:     c,
		trace:      t,
		delay:      time.Duration(t.Header.Delay),
		random:     rand.New(rand.NewPCG(t.Header.Seed, seedStream)),
		engines:    map[string]*engine{},
		clients:    map[string]*client{},
		hints:      map[string]hint.Hint{},
		crashChats: map[string]bool{},
	}
	s.ideal = cmp.Or(c.Policy.Route(s.random).Ranker, route.NewCostRanker(route.CostConfig{Choices: math.MaxInt}))
	s.rule = cmp.Or(c.Policy.Gate.Rule, permit.Rule(permit.NewBoundRule()))
	s.meter = newMeter(s)
	s.platform = newFakePlatform(s)
	s.start()
	s.queue.run(s.end)
	if s.err != nil {
		return nil, s.err
	}
	return s.meter.result(), nil
}

// time returns the virtual time as nodes see it.
func (s *simulation) time() time.Time { return epoch.Add(s.queue.now) }

func (s *simulation) start() {
	h := s.trace.Header
	s.manifest = manifestOf(h)
	for _, e := range h.Endpoints {
		s.engines[e.Endpoint] = newEngine(s, e)
	}
	for _, n := range h.Nodes {
		s.nodes = append(s.nodes, newNode(s, n))
	}
	s.platform.publishInitial()
	for i := range s.trace.Events {
		e := &s.trace.Events[i]
		s.queue.at(settleTime+time.Duration(e.At), func() { s.apply(i, e) })
	}
	last := settleTime
	for _, e := range s.trace.Events {
		last = max(last, settleTime+time.Duration(e.At))
		s.end = max(s.end, settleTime+time.Duration(e.At+e.Deadline)+drainTime)
	}
	s.meter.sample(settleTime, last)
}

func (s *simulation) apply(i int, e *trace.Event) {
	switch e.Kind {
	case trace.Ask:
		s.submit(i, e)
	case trace.Join:
		s.join(e)
	case trace.Leave:
		s.leave(e)
	case trace.Kill:
		s.kill(e.Instance)
	case trace.Crash:
		s.crashChats[e.Chat] = true
	case trace.Accept:
		s.accept(e.Revision)
	}
}

func (s *simulation) join(e *trace.Event) {
	if e.Endpoint != "" {
		s.engines[e.Endpoint] = newEngine(s, trace.Endpoint{Endpoint: e.Endpoint, Zone: e.Zone, Model: e.Model})
		s.platform.changed()
		return
	}
	n := newNode(s, trace.Node{Instance: e.Instance, Zone: e.Zone})
	s.nodes = append(slices.DeleteFunc(s.nodes, func(o *node) bool { return o.name == n.name }), n)
	s.platform.sendInitial(n)
	s.platform.changed()
}

func (s *simulation) leave(e *trace.Event) {
	if n := s.node(e.Instance); n != nil {
		n.drain()
	}
	if g := s.engines[e.Endpoint]; g != nil {
		g.leaving = true
		g.left = s.queue.now
		s.retire(g)
	}
	s.platform.changed()
}

// retire stops a leaving engine once it is idle and the list that announces its
// leave is out.
func (s *simulation) retire(g *engine) {
	s.queue.after(time.Second, func() {
		if len(g.runs) > 0 || s.queue.now-g.left < s.config.ListLag+2*time.Second {
			s.retire(g)
			return
		}
		g.alive = false
		s.platform.changed()
	})
}

func (s *simulation) kill(instance string) {
	if n := s.node(instance); n != nil {
		n.die()
	}
	if g := s.engines[instance]; g != nil && g.alive {
		g.die()
	}
	s.platform.changed()
}

func (s *simulation) killEngine(g *engine) { s.kill(g.info.Endpoint) }

// crashes reports whether a run belongs to a chat that crashes its endpoint.
func (s *simulation) crashes(r *run) bool { return s.crashChats[r.event.Chat] }

func (s *simulation) accept(revision uint64) {
	m := *s.manifest
	m.Revision = revision
	s.manifest = &m
	s.platform.accepted()
	s.meter.accepted(revision)
}

func (s *simulation) node(name string) *node {
	for _, n := range s.nodes {
		if n.name == name && n.alive {
			return n
		}
	}
	return nil
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s", ErrReplay, fmt.Sprintf(format, args...))
	}
}

// pool returns the exact current pool of a service, without lag.
func (s *simulation) pool(service string) *kernel.Pool {
	p := &kernel.Pool{Bound: s.trace.Header.Bound}
	for _, name := range sortedNames(s.engines) {
		g := s.engines[name]
		if g.info.Model != service || !g.alive || g.leaving {
			continue
		}
		l := g.load()
		p.Endpoints = append(p.Endpoints, kernel.Endpoint{Name: name, Zone: g.info.Zone, Service: service, Load: l})
		p.Total = p.Total.Add(l)
		p.Live++
	}
	return p
}

func manifestOf(h trace.Header) *manifest.Manifest {
	m := &manifest.Manifest{Revision: 1, Deployments: []manifest.Deployment{{Name: h.Name, Bound: h.Bound}}}
	for _, z := range h.Zones {
		m.Zones = append(m.Zones, manifest.Zone{Name: z, Region: h.Name})
	}
	for _, model := range h.Models {
		service := manifest.Service{Name: model.Name, Deployment: h.Name, Kind: manifest.KindChat, Models: []string{model.Name}}
		if model.Plain {
			service.Kind = manifest.KindPlain
		}
		m.Models = append(m.Models, manifest.Model{Name: model.Name, Versions: []string{"1"}})
		m.Services = append(m.Services, service)
	}
	for _, a := range h.Accounts {
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: a.Account, Key: manifest.KeyDigest(a.Account), Rate: a.Rate, Burst: a.Burst, Priority: a.Priority,
		})
	}
	return m
}

// importCosts returns the cost of importing a token relative to computing it, by
// service.
func (s *simulation) importCosts() map[string]float64 {
	costs := map[string]float64{}
	for _, m := range s.trace.Header.Models {
		if m.Import > 0 && s.config.Policy.Import {
			costs[m.Name] = prefillRate(m) / float64(m.Import)
		}
	}
	return costs
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
