package crash_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	serviceModelTime = 11 * time.Second
	// troubleAt is when the deadly request begins to come, or endpoints are killed or
	// cut off.
	troubleAt = 3 * time.Second
	// downTime is how long at least an endpoint that ended refuses connections, and
	// downSpread by how much that differs.
	downTime   = 3 * time.Second
	downSpread = 400 * time.Millisecond
	// deadlyTime and soundTime are how long the requests run.
	deadlyTime = 60 * time.Millisecond
	soundTime  = 30 * time.Millisecond
	// patience is after how long callers leave, if they do.
	patience = 40 * time.Millisecond
	// backoff is how long a node sends nothing to an endpoint that refused a connection.
	backoff = 200 * time.Millisecond
	// maxTries is how many endpoints a node tries for one request.
	maxTries = 4

	// firstDeadlyID is the first of the deadly requests.
	firstDeadlyID = 100
	popularID     = 2
)

type (
	// serviceScenario is a fleet before one service, and what goes wrong.
	serviceScenario struct {
		name             string
		nodes, endpoints int
		// seeds is how many plays there are, and sizes are the services' numbers of
		// endpoints.
		seeds uint64
		sizes []int
		// interval is how often nodes report, and delay how late that arrives at most.
		interval, delay time.Duration
		// deadly, popular and unique are requests a second: copies of each of some that
		// end endpoints, copies of a sound one, and sound ones that are all different.
		deadly, popular, unique int
		// kinds is how many requests end endpoints.
		kinds int
		// leave is the share of the callers that leave early.
		leave float64
		// killed says that all endpoints are killed at once.
		killed bool
		// cut is the share of the nodes to which all endpoints refuse connections for
		// some time.
		cut float64
	}

	// serviceCounts are what the nodes got wrong.
	serviceCounts struct {
		// ended are the endpoints that a deadly request ended, late the copies of it sent
		// later than contactTime after the third end, both the most of any.
		ended, late int
		// refused are the sound requests refused while an endpoint would have taken
		// them, of the sent ones.
		refused, sent int
	}

	// serviceModel plays a scenario with one Tracker a node, in the time of a bubble.
	serviceModel struct {
		serviceScenario
		random *rand.Rand
		began  time.Time
		mu     sync.Mutex
		events events
		serial uint64
		nodes  []*serviceNode
		list   []*serviceEndpoint
		// snapshot is the platform's list, the same for all nodes.
		snapshot *deployment.Snapshot
		// relay is what relays have yet to pass on, and seen what they have.
		relay  crash.News
		seen   map[string]bool
		deadly map[uint64]*deadlyRequest
		serviceCounts
	}

	deadlyRequest struct {
		ended, late int
		third       time.Time
	}

	serviceNode struct {
		model   *serviceModel
		number  int
		tracker *crash.Tracker
		backoff map[deployment.Start]time.Time
		sentAt  time.Time
	}

	serviceEndpoint struct {
		entry   *deployment.Endpoint
		refuses bool
		running []*serviceRun
		starts  int
	}

	serviceRun struct {
		id       uint64
		node     *serviceNode
		endpoint *serviceEndpoint
		entry    *deployment.Endpoint
		began    time.Time
		left     bool
		over     bool
	}
)

// Snapshot implements crash.Deployment.
func (m *serviceModel) Snapshot() *deployment.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot
}

// Age implements crash.Deployment.
func (m *serviceModel) Age() (time.Duration, bool) { return 0, true }

// Lapsing implements crash.Deployment.
func (m *serviceModel) Lapsing() time.Duration { return 0 }

// Probe implements crash.Prober.
func (n *serviceNode) Probe(_ context.Context, addr netip.AddrPort) http1.ProbeResult {
	n.model.mu.Lock()
	defer n.model.mu.Unlock()
	for _, e := range n.model.list {
		if e.entry.Addr == addr && (e.refuses || n.isCut()) {
			return http1.Refused
		}
	}
	return http1.Accepted
}

// playService plays a scenario in a bubble.
func playService(t *testing.T, s serviceScenario, seed uint64) (counts serviceCounts) {
	synctest.Test(t, func(*testing.T) {
		m := &serviceModel{serviceScenario: s, random: rand.New(rand.NewPCG(seed, 0)), began: time.Now(), serial: 1 << 40, seen: map[string]bool{}, deadly: map[uint64]*deadlyRequest{}}
		for i := range s.endpoints {
			m.list = append(m.list, &serviceEndpoint{entry: m.entry(i, 0)})
		}
		m.publish()
		for i := range s.nodes {
			n := &serviceNode{model: m, number: i, backoff: map[deployment.Start]time.Time{}}
			n.tracker = m.newTracker(n)
			m.nodes = append(m.nodes, n)
			m.after(time.Duration(m.random.Float64()*float64(s.interval)), n.report)
		}
		m.arrive(s.popular, 0, func() uint64 { return popularID })
		m.arrive(s.unique, 0, func() uint64 { m.serial++; return m.serial })
		for i := range uint64(s.kinds) {
			m.deadly[firstDeadlyID+i] = &deadlyRequest{}
			m.arrive(s.deadly, troubleAt, func() uint64 { return firstDeadlyID + i })
		}
		m.relayed()
		if s.killed {
			m.after(troubleAt, m.kill)
		}
		for len(m.events) > 0 && time.Since(m.began) < serviceModelTime {
			e := heap.Pop(&m.events).(event)
			time.Sleep(time.Until(e.at))
			e.do()
		}
		counts = m.serviceCounts
		for _, n := range m.nodes {
			n.tracker.Close()
		}
	})
	return counts
}

func (m *serviceModel) newTracker(n *serviceNode) *crash.Tracker {
	return crash.NewTracker(crash.Config{Prober: n, Deployment: m, Nodes: func() int { return len(m.nodes) }})
}

func (m *serviceModel) entry(n, start int) *deployment.Endpoint {
	return &deployment.Endpoint{
		ID: fmt.Sprint("e", n), Service: "s", Born: time.UnixMilli(int64(1 + start)),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80),
	}
}

// publish makes the platform's list anew.
func (m *serviceModel) publish() {
	snapshot := &deployment.Snapshot{Endpoints: map[string][]*deployment.Endpoint{}}
	for _, e := range m.list {
		snapshot.Endpoints["s"] = append(snapshot.Endpoints["s"], e.entry)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshot = snapshot
}

func (m *serviceModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{at: time.Now().Add(d), do: do})
}

// arrive lets requests arrive at a rate a second, after some time.
func (m *serviceModel) arrive(rate int, from time.Duration, id func() uint64) {
	if rate == 0 {
		return
	}
	m.after(from+time.Duration(m.random.ExpFloat64()*float64(time.Second)/float64(rate)), func() {
		m.nodes[m.random.IntN(len(m.nodes))].serve(id())
		m.arrive(rate, 0, id)
	})
}

func (n *serviceNode) isCut() bool {
	at := time.Since(n.model.began)
	return float64(n.number) < n.model.cut*float64(len(n.model.nodes)) && at > troubleAt && at < troubleAt+downTime
}

func (n *serviceNode) refusedBy(e *serviceEndpoint) bool { return e.refuses || n.isCut() }

// serve sends a request to endpoints until one takes it.
func (n *serviceNode) serve(id uint64) {
	m := n.model
	if m.deadly[id] == nil {
		m.sent++
	}
	for try := 0; try < maxTries; try++ {
		if n.tracker.Isolated(whole(id)).Left > 0 {
			if m.deadly[id] == nil && slices.ContainsFunc(m.list, func(e *serviceEndpoint) bool { return !n.refusedBy(e) }) {
				m.refused++
			}
			return
		}
		e := m.list[m.random.IntN(len(m.list))]
		if time.Now().Before(n.backoff[e.entry.Start()]) {
			continue
		}
		if n.refusedBy(e) {
			n.backoff[e.entry.Start()] = time.Now().Add(backoff)
			n.tracker.Refused(e.entry)
			continue
		}
		n.run(id, e)
		return
	}
}

// run runs a request at an endpoint.
func (n *serviceNode) run(id uint64, e *serviceEndpoint) {
	m := n.model
	r := &serviceRun{id: id, node: n, endpoint: e, entry: e.entry, began: time.Now()}
	e.running = append(e.running, r)
	if d := m.deadly[id]; d != nil {
		if !d.third.IsZero() && time.Since(d.third) > contactTime {
			d.late++
			m.late = max(m.late, d.late)
		}
		m.after(deadlyTime, func() { m.crash(r) })
	} else {
		m.after(soundTime, func() { m.finish(r) })
	}
	if m.random.Float64() < m.leave {
		m.after(time.Duration(m.random.Float64()*float64(patience)), func() { m.callerLeaves(r) })
	}
}

func (m *serviceModel) callerLeaves(r *serviceRun) {
	if r.over || r.left {
		return
	}
	r.left = true
	r.node.tracker.Abandoned(whole(r.id), r.entry)
}

func (m *serviceModel) finish(r *serviceRun) {
	if r.over {
		return
	}
	r.over = true
	r.endpoint.running = slices.DeleteFunc(r.endpoint.running, func(o *serviceRun) bool { return o == r })
	switch {
	case r.left:
	case r.node.isCut():
		r.node.tracker.Broke(whole(r.id), r.entry)
	default:
		r.node.tracker.Reached(r.entry, r.began)
		r.node.tracker.Served(whole(r.id), r.began)
	}
}

// crash ends the endpoint of a deadly run.
func (m *serviceModel) crash(r *serviceRun) {
	if r.over {
		return
	}
	d := m.deadly[r.id]
	d.ended++
	m.ended = max(m.ended, d.ended)
	if d.ended == 3 {
		d.third = time.Now()
	}
	m.end(r.endpoint)
}

func (m *serviceModel) kill() {
	for _, e := range m.list {
		m.end(e)
	}
}

// end ends an endpoint, which breaks all runs there, until its next start.
func (m *serviceModel) end(e *serviceEndpoint) {
	broken := e.running
	e.running = nil
	m.setRefuses(e, true)
	for _, r := range broken {
		r.over = true
		if !r.left {
			r.node.tracker.Broke(whole(r.id), r.entry)
		}
	}
	m.after(downTime+time.Duration(m.random.Float64()*float64(downSpread)), func() {
		e.starts++
		m.setRefuses(e, false)
		m.publish()
	})
}

// setRefuses lets an endpoint refuse connections, or its next start accept them.
func (m *serviceModel) setRefuses(e *serviceEndpoint, refuses bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.refuses = refuses; !refuses {
		e.entry = m.entry(slices.Index(m.list, e), e.starts)
	}
}

// report sends what a node has learned since its last report to all others.
func (n *serviceNode) report() {
	m, now := n.model, time.Now()
	m.after(m.interval, n.report)
	news := n.tracker.Recent(now, n.sentAt)
	n.sentAt = now
	if len(news.Crashes)+len(news.Cleared)+len(news.Unproven) == 0 {
		return
	}
	if len(m.nodes) > relays {
		m.relay.Crashes, m.relay.Cleared = append(m.relay.Crashes, news.Crashes...), append(m.relay.Cleared, news.Cleared...)
		m.relay.Unproven = append(m.relay.Unproven, news.Unproven...)
		return
	}
	for _, other := range m.nodes {
		if other != n {
			m.after(time.Duration(m.random.Float64()*float64(m.delay)), func() { other.tracker.Add(time.Now(), news, "peer") })
		}
	}
}

// relayed sends what nodes have reported to relays on to all nodes, each report once.
func (m *serviceModel) relayed() {
	m.after(m.interval, m.relayed)
	news := crash.News{Crashes: m.unseen(m.relay.Crashes, "crash"), Cleared: m.unseen(m.relay.Cleared, "cleared"), Unproven: m.unseen(m.relay.Unproven, "unproven")}
	m.relay = crash.News{}
	if len(news.Crashes)+len(news.Cleared)+len(news.Unproven) == 0 {
		return
	}
	for _, n := range m.nodes {
		m.after(time.Duration(m.random.Float64()*float64(m.delay)), func() { n.tracker.Add(time.Now(), news, "relay") })
	}
}

func (m *serviceModel) unseen(list []crash.Report, kind string) (fresh []crash.Report) {
	for _, k := range list {
		k.Age = 0
		if name := fmt.Sprint(kind, k); !m.seen[name] {
			m.seen[name] = true
			fresh = append(fresh, k)
		}
	}
	return fresh
}

// serviceFleets returns fleets of 8, 85 and 330 nodes. Reports of the last pass relays,
// in three of their longest steps.
func serviceFleets() []serviceScenario {
	return []serviceScenario{
		{nodes: 8, seeds: 2, sizes: []int{1, 2, 4, 12}, interval: 100 * time.Millisecond, delay: 50 * time.Millisecond},
		{nodes: 85, seeds: 1, sizes: []int{4, 200}, interval: 300 * time.Millisecond, delay: 300 * time.Millisecond},
		{nodes: 330, seeds: 1, sizes: []int{4}, interval: 300 * time.Millisecond, delay: 300 * time.Millisecond},
	}
}

// Guards against a request that ends all endpoints of a small service, and again after
// their next starts, as no node can prove the ends.
func TestRequestThatEndsAServiceAgainAndAgainIsIsolated(t *testing.T) {
	const (
		// mayBeLate and mayRefuse are how many deadly requests may be late, and which
		// share of the sound ones may be refused.
		mayBeLate = 3
		mayRefuse = 0.01
	)
	for _, fleet := range serviceFleets() {
		for _, endpoints := range fleet.sizes {
			for _, c := range []struct {
				leave float64
				kinds int
			}{{0, 1}, {0.9, 1}, {0.5, 3}} {
				s := fleet
				s.endpoints, s.leave, s.kinds, s.deadly, s.popular, s.unique = endpoints, c.leave, c.kinds, 40/c.kinds, 30, 10
				s.name = fmt.Sprintf("%d nodes, %d endpoints, %.1f leave, %d requests", s.nodes, endpoints, c.leave, c.kinds)
				t.Run(s.name, func(t *testing.T) {
					t.Parallel()
					for seed := range fleet.seeds {
						got := playService(t, s, seed)
						t.Logf("%+v", got)
						require.LessOrEqual(t, got.late, mayBeLate)
						require.LessOrEqual(t, got.refused, int(mayRefuse*float64(got.sent)))
					}
				})
			}
		}
	}
}

// Guards against sound requests that are refused as all endpoints of a small service are
// killed, or refuse some nodes, while callers leave early.
func TestSoundRequestsOfAServiceThatIsDownAreNotIsolated(t *testing.T) {
	const mayRefuse = 0.01
	for _, fleet := range serviceFleets() {
		for _, endpoints := range fleet.sizes {
			if endpoints == 1 || endpoints == 200 {
				// Of one endpoint never three can end at once, of 200 many are left.
				continue
			}
			for _, c := range []struct {
				name   string
				change func(s *serviceScenario)
			}{
				{"killed", func(s *serviceScenario) { s.killed = true }},
				{"killed, callers leave", func(s *serviceScenario) { s.killed, s.leave = true, 0.5 }},
				{"a third of the nodes refused", func(s *serviceScenario) { s.cut = 0.34 }},
				{"a third of the nodes refused, callers leave", func(s *serviceScenario) { s.cut, s.leave = 0.34, 0.5 }},
				{"half of the nodes refused, callers leave", func(s *serviceScenario) { s.cut, s.leave = 0.5, 0.9 }},
			} {
				s := fleet
				s.endpoints, s.popular, s.unique = endpoints, 60, 60
				c.change(&s)
				t.Run(fmt.Sprintf("%d nodes, %d endpoints, %s", s.nodes, endpoints, c.name), func(t *testing.T) {
					t.Parallel()
					for seed := range fleet.seeds {
						got := playService(t, s, seed)
						t.Logf("%+v", got)
						require.LessOrEqual(t, got.refused, int(mayRefuse*float64(got.sent)))
					}
				})
			}
		}
	}
}
