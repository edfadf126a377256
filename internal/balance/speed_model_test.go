package balance_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	speedNodes     = 24
	speedHeartbeat = 100 * time.Millisecond
	// speedSlow is how many times slower an endpoint runs in a slow period,
	// speedSlowFor how long that lasts on average, and speedSlowShare the fraction of
	// the time.
	speedSlow      = 2.5
	speedSlowFor   = 600 * time.Millisecond
	speedSlowShare = 0.15
	plainWork      = 30 * time.Millisecond
	// plainWarmup is how long the model runs before requests are counted.
	plainWarmup = time.Second
	never       = time.Hour
)

var speedTable = flag.Bool("speed.table", false, "print the results of the models of uneven speed, of many seeds")

type (
	// speedWay is what nodes know of slowdowns.
	speedWay struct {
		name string
		// reported says that endpoints report slowdowns, and late by how long the
		// reports between nodes are delayed.
		reported bool
		late     time.Duration
		// decay is the time constant, 0 for the default.
		decay time.Duration
	}

	// speedPeriods are the slow periods of one endpoint.
	speedPeriods []struct{ from, to time.Time }

	// speedModel plays nodes and endpoints of changing speed in virtual time, with the
	// real Balancer.
	speedModel struct {
		speedWay
		random *rand.Rand
		now    time.Time
		events brittleEvents
		nodes  []*speedNode
		list   []*deployment.Endpoint
		slow   map[string]speedPeriods
		// objective is the time within which a response is in time.
		objective time.Duration
		latencies []time.Duration
		rejected  int
	}

	speedNode struct {
		balancer                *balance.Balancer
		published, others       map[uint32]int
		publishedPre, othersPre map[uint32]int
		lastHeartbeat           time.Time
		age                     time.Duration
	}

	speedResult struct {
		mean, p99 time.Duration
		inTime    float64
	}

	// plainEndpoint is an endpoint with a queue.
	plainEndpoint struct {
		running int
		waiting []func()
	}
)

// Others implements balance.Loads.
func (n *speedNode) Others(key uint32) int { return n.others[key] }

// OthersPrefill implements balance.Loads.
func (n *speedNode) OthersPrefill(key uint32) int { return n.othersPre[key] }

// OthersFailures implements balance.Loads.
func (*speedNode) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads.
func (n *speedNode) Age(time.Time) time.Duration { return n.age }

// percentAt returns how long work takes at a time, as a multiple of usual.
func (p speedPeriods) at(t time.Time) float64 {
	for _, s := range p {
		if !t.Before(s.from) && t.Before(s.to) {
			return speedSlow
		}
	}
	return 1
}

// end returns when work that begins at a time ends.
func (p speedPeriods) end(t time.Time, work time.Duration) time.Time {
	for _, s := range p {
		if !t.Before(s.to) {
			continue
		}
		if before := s.from.Sub(t); before > 0 {
			if work <= before {
				return t.Add(work)
			}
			work, t = work-before, s.from
		}
		slowed := time.Duration(float64(work) * speedSlow)
		if end := t.Add(slowed); !end.After(s.to) {
			return end
		}
		work -= time.Duration(float64(s.to.Sub(t)) / speedSlow)
		t = s.to
	}
	return t.Add(work)
}

func newSpeedModel(way speedWay, seed uint64, endpoints, slots int, runs time.Duration) *speedModel {
	m := &speedModel{speedWay: way, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), slow: map[string]speedPeriods{}}
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		m.list = append(m.list, &deployment.Endpoint{ID: id, Service: "s", Slots: slots})
		between := float64(speedSlowFor) * (1 - speedSlowShare) / speedSlowShare
		t := m.now
		for t.Before(m.now.Add(runs)) {
			from := t.Add(time.Duration(m.random.ExpFloat64() * between))
			t = from.Add(time.Duration((0.5 + m.random.Float64()) * float64(speedSlowFor)))
			m.slow[id] = append(m.slow[id], struct{ from, to time.Time }{from, t})
		}
	}
	draws := rand.New(rand.NewPCG(seed, 1))
	for range speedNodes {
		n := &speedNode{published: map[uint32]int{}, others: map[uint32]int{}, publishedPre: map[uint32]int{}, othersPre: map[uint32]int{}, age: speedHeartbeat / 2, lastHeartbeat: m.now}
		n.balancer = balance.New(balance.Config{Loads: n, Nodes: func() int { return speedNodes }, Draw: draws.Float64, IntN: draws.IntN, SlowdownDecay: way.decay})
		m.nodes = append(m.nodes, n)
		m.after(time.Duration(m.random.Int64N(int64(speedHeartbeat))), func() { m.heartbeat(n) })
	}
	return m
}

func (m *speedModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, brittleEvent{at: m.now.Add(d), do: do})
}

// at runs a function at a time.
func (m *speedModel) at(t time.Time, do func()) { heap.Push(&m.events, brittleEvent{at: t, do: do}) }

func (m *speedModel) play(runs time.Duration) speedResult {
	end := m.now.Add(runs)
	for len(m.events) > 0 && m.now.Before(end) {
		e := heap.Pop(&m.events).(brittleEvent)
		m.now = e.at
		e.do()
	}
	slices.Sort(m.latencies)
	var sum time.Duration
	inTime := 0
	for _, l := range m.latencies {
		sum += l
		if l <= m.objective {
			inTime++
		}
	}
	n := len(m.latencies)
	return speedResult{mean: sum / time.Duration(n), p99: m.latencies[n*99/100], inTime: float64(inTime) / float64(n+m.rejected)}
}

// heartbeat sends the other nodes what a node knows.
func (m *speedModel) heartbeat(n *speedNode) {
	active, pending := n.balancer.Active(), n.balancer.PendingPrefill()
	reports, placements := n.balancer.Reports(m.now, n.lastHeartbeat), n.balancer.Placements(m.now, n.lastHeartbeat)
	slowdowns := n.balancer.Slowdowns(m.now, n.lastHeartbeat)
	n.lastHeartbeat = m.now
	for _, other := range m.nodes {
		if other == n {
			continue
		}
		replace(other.others, n.published, active)
		replace(other.othersPre, n.publishedPre, pending)
		other.balancer.AddReports(m.now, reports)
		other.balancer.AddPlacements(m.now, placements)
	}
	n.published, n.publishedPre = active, pending
	if m.late < never {
		m.after(m.late, func() {
			for _, other := range m.nodes {
				if other != n {
					other.balancer.AddSlowdowns(m.now, slowdowns)
				}
			}
		})
	}
	m.after(speedHeartbeat, func() { m.heartbeat(n) })
}

func replace(sums, old, fresh map[uint32]int) {
	for key, n := range old {
		sums[key] -= n
	}
	for key, n := range fresh {
		sums[key] += n
	}
}

// report passes on what an endpoint reports in a response.
func (m *speedModel) report(n *speedNode, e *deployment.Endpoint, load int) {
	r := balance.Report{Load: load, Slots: e.Slots}
	if m.reported {
		r.Slowdown = m.slow[e.ID].at(m.now)
	}
	n.balancer.SetReport(m.now, e, r)
}

// playPlain plays 4 endpoints of 6 slots each.
func playPlain(way speedWay, seed uint64, utilization float64, runs time.Duration) speedResult {
	const endpoints, slots = 4, 6
	m := newSpeedModel(way, seed, endpoints, slots, runs)
	m.objective = 100 * time.Millisecond
	state := map[string]*plainEndpoint{}
	for _, e := range m.list {
		state[e.ID] = &plainEndpoint{}
	}
	began := m.now
	arrivals := rand.New(rand.NewPCG(seed, 2))
	rate := utilization * endpoints * slots / plainWork.Seconds()
	var arrive func()
	arrive = func() {
		came, n := m.now, m.nodes[arrivals.IntN(len(m.nodes))]
		work := time.Duration((0.5 + arrivals.Float64()) * float64(plainWork))
		m.sendPlain(n, state, work, came, came.Sub(began) > plainWarmup)
		m.after(time.Duration(arrivals.ExpFloat64()*float64(time.Second)/rate), arrive)
	}
	arrive()
	return m.play(runs)
}

func (m *speedModel) sendPlain(n *speedNode, state map[string]*plainEndpoint, work time.Duration, came time.Time, counts bool) {
	choice := n.balancer.Choose(m.now, m.list, balance.Request{Service: deployment.Service{Name: "s"}, Repeatable: true})
	if choice == nil {
		if m.now.Sub(came) < time.Second {
			m.after(5*time.Millisecond, func() { m.sendPlain(n, state, work, came, counts) })
		} else if counts {
			m.rejected++
		}
		return
	}
	n.balancer.Sent(m.now, choice)
	e := choice.Endpoint
	s := state[e.ID]
	run := func() {
		s.running++
		m.at(m.slow[e.ID].end(m.now, work), func() {
			s.running--
			if counts {
				m.latencies = append(m.latencies, m.now.Sub(came))
			}
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			m.report(n, e, s.running+len(s.waiting))
			n.balancer.Release(m.now, e.Start(), balance.Served)
		})
	}
	if s.running < e.Slots {
		run()
		return
	}
	s.waiting = append(s.waiting, run)
}

// speedWays are the compared ways; the first is that without slowdowns.
func speedWays() []speedWay {
	return []speedWay{
		{name: "by count"},
		{name: "fresh", reported: true},
		{name: "0.1 s late", reported: true, late: 100 * time.Millisecond},
		{name: "0.3 s late", reported: true, late: 300 * time.Millisecond},
		{name: "1 s late", reported: true, late: time.Second},
		{name: "3 s late", reported: true, late: 3 * time.Second},
		{name: "not exchanged", reported: true, late: never},
		{name: "fresh, no decay", reported: true, decay: never},
		{name: "1 s late, no decay", reported: true, late: time.Second, decay: never},
	}
}

// meanOf returns the mean results over seeds.
func meanOf(seeds int, play func(seed uint64) speedResult) speedResult {
	var sum speedResult
	for seed := range uint64(seeds) {
		r := play(seed + 1)
		sum.mean, sum.p99, sum.inTime = sum.mean+r.mean, sum.p99+r.p99, sum.inTime+r.inTime
	}
	return speedResult{mean: sum.mean / time.Duration(seeds), p99: sum.p99 / time.Duration(seeds), inTime: sum.inTime / float64(seeds)}
}

func (r speedResult) String() string {
	return fmt.Sprintf("mean %.1f ms, p99 %.1f ms, in time %.4f", r.mean.Seconds()*1000, r.p99.Seconds()*1000, r.inTime)
}

// Guards against slowdowns that make plain requests later than without, because nodes
// report them to each other late.
func TestPlainEndpointsOfChangingSpeed(t *testing.T) {
	if *speedTable {
		for _, utilization := range []float64{0.4, 0.6, 0.75} {
			for _, way := range speedWays() {
				t.Log(utilization, way.name, meanOf(8, func(seed uint64) speedResult { return playPlain(way, seed, utilization, 20*time.Second) }))
			}
		}
		return
	}
	play := func(way speedWay) speedResult {
		return meanOf(2, func(seed uint64) speedResult { return playPlain(way, seed, 0.6, 10*time.Second) })
	}
	ways := speedWays()
	usual, fresh := play(ways[0]), play(ways[1])
	require.Less(t, fresh.mean, usual.mean)
	require.Less(t, fresh.p99, usual.p99)
	for _, way := range ways[2:6] {
		late := play(way)
		require.LessOrEqual(t, late.mean, usual.mean*103/100, way.name)
		require.GreaterOrEqual(t, late.inTime, usual.inTime-0.005, way.name)
	}
}
