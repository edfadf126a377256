package crash_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
)

const (
	// crasher and popular are the fingerprints of a request that ends endpoints and
	// of one that many callers send alike.
	crasher = 1
	popular = 2

	modelTime   = 60 * time.Second
	crashTime   = 60 * time.Millisecond
	popularTime = 300 * time.Millisecond
	// restartAfter is how long an endpoint that has ended refuses connections.
	restartAfter = 2 * time.Second
	// breakShare is the share of answers that some endpoints break off.
	breakShare = 0.3
	attempts   = 2
)

// Ways to judge a run that broke.
const (
	// eachBreak counts each broken run; a node clears what it serves for itself.
	eachBreak way = iota
	// refused counts those at endpoints that refuse connections.
	refused
	// cleared is refused, and nodes tell each other what they served and compare
	// crashes with the platform's list.
	cleared
	// witnessed is cleared, and a refused connection counts only if another endpoint
	// accepts one, or if the request's runs have broken at all that were asked.
	witnessed
)

type (
	way int

	// scenario is a fleet and what goes wrong in it.
	scenario struct {
		name             string
		nodes, endpoints int
		// newsDelay is how late nodes learn of each other's reports, at most.
		newsDelay time.Duration
		// crashes and popular are how many copies of either request come a second.
		crashes, popular int
		// breaking is how many endpoints break off answers.
		breaking int
		// cut is how many nodes are refused all connections for some seconds.
		cut int
	}

	// errorCounts are what a way got wrong.
	errorCounts struct {
		// ended are the endpoints that the crasher ended, late those of them that it
		// was sent to after the report of the third could have arrived.
		ended, late int
		// refused are refusals of the popular request, of the sent ones.
		refused, sent int
	}

	// model plays a scenario in virtual time.
	model struct {
		scenario
		way      way
		random   *rand.Rand
		now      time.Time
		events   events
		nodes    []*crash.Records
		endpoint []modelEndpoint
		third    time.Time
		// brokeAt are the nodes and endpoints of the popular request's runs that broke
		// as the node was cut off.
		brokeAt map[[2]int]bool
		errorCounts
	}

	modelEndpoint struct {
		start   uint32
		refuses time.Time
		running []*modelRun
	}

	modelRun struct {
		fingerprint uint64
		node        int
		endpoint    int
		try         int
		over        bool
	}

	event struct {
		at time.Time
		do func()
	}

	events []event
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{at: m.now.Add(d), do: do})
}

// play returns what a way gets wrong in a scenario.
func play(s scenario, w way, seed uint64) errorCounts {
	m := &model{scenario: s, way: w, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), brokeAt: map[[2]int]bool{}}
	for range s.nodes {
		m.nodes = append(m.nodes, crash.NewRecords(crash.RecordsConfig{Draw: m.random.Float64}))
	}
	for i := range s.endpoints {
		m.endpoint = append(m.endpoint, modelEndpoint{start: uint32(i)})
	}
	m.arrive(crasher, s.crashes)
	m.arrive(popular, s.popular)
	m.after(time.Second, m.verify)
	end := m.now.Add(modelTime)
	for len(m.events) > 0 && m.now.Before(end) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.errorCounts
}

// arrive lets copies of a request arrive at a rate a second.
func (m *model) arrive(fingerprint uint64, rate int) {
	if rate == 0 {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()*float64(time.Second)/float64(rate)), func() {
		m.send(&modelRun{fingerprint: fingerprint, node: m.random.IntN(len(m.nodes))})
		m.arrive(fingerprint, rate)
	})
}

func (m *model) isCut(node int) bool {
	const from, to = 20 * time.Second, 23 * time.Second
	at := m.now.Sub(time.Unix(0, 0))
	return node < m.cut && at >= from && at < to
}

func (m *model) send(r *modelRun) {
	if r.fingerprint == popular && r.try == 0 {
		m.sent++
	}
	if m.nodes[r.node].Isolated(m.now, crash.Feature{ID: r.fingerprint}).Left > 0 {
		if r.fingerprint == popular {
			m.errorCounts.refused++
		}
		return
	}
	r.endpoint = m.random.IntN(len(m.endpoint))
	e := &m.endpoint[r.endpoint]
	if m.now.Before(e.refuses) || m.isCut(r.node) && r.try == 0 && m.random.IntN(2) == 0 {
		m.send(&modelRun{fingerprint: r.fingerprint, node: r.node, try: r.try})
		return
	}
	if r.fingerprint == crasher && !m.third.IsZero() && m.now.Sub(m.third) > m.newsDelay {
		m.late++
	}
	e.running = append(e.running, r)
	if r.fingerprint == crasher {
		m.after(crashTime, func() { m.crash(r) })
		return
	}
	m.after(popularTime, func() { m.finish(r) })
}

// crash ends the endpoint of a run, which breaks all runs there.
func (m *model) crash(r *modelRun) {
	if r.over {
		return
	}
	e := &m.endpoint[r.endpoint]
	e.refuses = m.now.Add(restartAfter)
	m.ended++
	if m.ended == 3 {
		m.third = m.now
	}
	old := e.start
	e.start += uint32(len(m.endpoint))
	broken := e.running
	e.running = nil
	for _, other := range broken {
		m.broken(other, old, true)
	}
}

func (m *model) finish(r *modelRun) {
	if r.over {
		return
	}
	e := &m.endpoint[r.endpoint]
	e.running = slices.DeleteFunc(e.running, func(o *modelRun) bool { return o == r })
	if m.isCut(r.node) {
		m.broken(r, e.start, m.way < witnessed || m.ranAtAll(r))
		return
	}
	if r.endpoint < m.breaking && m.random.Float64() < breakShare {
		m.broken(r, e.start, false)
		return
	}
	r.over = true
	if m.way >= cleared {
		if n := m.nodes[r.node].Served(m.now, m.now, r.fingerprint); n > 0 {
			m.tell(r.node)
		}
		return
	}
	// A node forgets for itself what it has served.
	m.nodes[r.node].Served(m.now, m.now, r.fingerprint)
}

// ranAtAll records a run that broke at a node that is cut off, and reports whether the
// request's runs there have broken at all of some other endpoints.
func (m *model) ranAtAll(r *modelRun) bool {
	const asked = 4
	m.brokeAt[[2]int{r.node, r.endpoint}] = true
	for range asked {
		if other := m.random.IntN(len(m.endpoint)); other != r.endpoint && !m.brokeAt[[2]int{r.node, other}] {
			return false
		}
	}
	return true
}

// broken handles a run whose connection broke, at an endpoint that may refuse others.
func (m *model) broken(r *modelRun, start uint32, refuses bool) {
	r.over = true
	if refuses || m.way == eachBreak {
		m.nodes[r.node].Add(m.now, crash.Report{Feature: crash.Feature{ID: r.fingerprint}, Endpoint: start}, true)
		m.tell(r.node)
	}
	if r.try+1 < attempts {
		m.send(&modelRun{fingerprint: r.fingerprint, node: r.node, try: r.try + 1})
	}
}

// tell sends what a node has learned to all others.
func (m *model) tell(from int) {
	news := m.nodes[from].Recent(m.now, m.now)
	if m.way < cleared {
		news.Cleared = nil
	}
	for i := range m.nodes {
		if i == from {
			continue
		}
		m.after(time.Duration(m.random.Float64()*float64(m.newsDelay)), func() {
			for _, k := range news.Cleared {
				m.nodes[i].AddCleared(m.now, k)
			}
			for _, k := range news.Crashes {
				m.nodes[i].Add(m.now, k, false)
			}
		})
	}
}

// verify compares the nodes' records with the platform's list once a second.
func (m *model) verify() {
	m.after(time.Second, m.verify)
	if m.way < cleared {
		return
	}
	listed := map[uint32]bool{}
	for _, e := range m.endpoint {
		listed[e.start] = true
	}
	for _, r := range m.nodes {
		r.Verify(m.now, func(endpoint uint32) bool { return listed[endpoint] })
	}
}

// Weighs ways to judge a broken run by both errors on the same seeds: endpoints that a
// request ends beyond three, and refusals of another that many callers send alike.
func TestWaysToJudgeBrokenRuns(t *testing.T) {
	const (
		seeds = 5
		// mayRefuse is the share of innocent requests that may be refused.
		mayRefuse = 0.01
	)
	names := []string{"each break", "refused", "refused, cleared by all", "the same at nodes that reach others"}
	for _, s := range []scenario{
		{name: "8 nodes, a crasher", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, crashes: 4},
		{name: "8 nodes, a crasher beside a popular request", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, crashes: 4, popular: 40},
		{name: "8 nodes, endpoints that break off answers", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, popular: 40, breaking: 6},
		{name: "8 nodes, both", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, crashes: 4, popular: 40, breaking: 6},
		{name: "8 nodes, one of them refused connections", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, popular: 40, cut: 1},
		{name: "8 nodes, three of them refused connections", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, popular: 40, cut: 3},
		{name: "8 nodes, four of them, and a crasher", nodes: 8, endpoints: 18, newsDelay: 200 * time.Millisecond, crashes: 4, popular: 40, cut: 4},
		{name: "330 nodes, half of them refused connections", nodes: 330, endpoints: 600, newsDelay: 2 * time.Second, popular: 60, cut: 165},
		{name: "24 nodes, all of it", nodes: 24, endpoints: 40, newsDelay: 300 * time.Millisecond, crashes: 4, popular: 40, breaking: 10, cut: 1},
		{name: "585 nodes, all of it", nodes: 585, endpoints: 600, newsDelay: 2 * time.Second, crashes: 4, popular: 40, breaking: 100, cut: 10},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for w := eachBreak; w <= witnessed; w++ {
				var sum errorCounts
				for seed := range uint64(seeds) {
					got := play(s, w, seed)
					sum.ended, sum.late, sum.refused, sum.sent = sum.ended+got.ended, sum.late+got.late, sum.refused+got.refused, sum.sent+got.sent
					if w == witnessed {
						require.Zero(t, got.late, "the crasher is sent nowhere once nodes could know of three")
					}
				}
				if w == witnessed {
					require.LessOrEqual(t, sum.refused, int(mayRefuse*float64(sum.sent)))
				}
				t.Logf("%s: %d endpoints ended, late %d; %d of %d innocent requests refused", names[w], sum.ended, sum.late, sum.refused, sum.sent)
			}
		})
	}
}
