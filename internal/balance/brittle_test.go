package balance_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

var brittleSeeds = flag.Int("brittle.seeds", 1, "number of seeds for the model of brittle endpoints")

const (
	brittleSlots = 6
	// brittleWaiting is how many requests a brittle endpoint lets wait.
	brittleWaiting = 1
	// brittleLimit is how many requests it may turn away within a second.
	brittleLimit = 4
	brittleWork  = 40 * time.Millisecond
	brittleBack  = 3 * time.Second
	brittleTime  = 4 * time.Second
	// brittleWait is how long a request waits for a place, and brittlePoll how often
	// it looks for one.
	brittleWait = 150 * time.Millisecond
	brittlePoll = 25 * time.Millisecond
)

type (
	// brittleFleet is a fleet before brittle endpoints.
	brittleFleet struct {
		name             string
		nodes, endpoints int
		// utilization is the share of the slots that the requests need.
		utilization float64
		// delay is how old what nodes hear of each other is, at most, and urgent how
		// long what is announced takes.
		delay, urgent time.Duration
		// told says that the nodes know that the endpoints are brittle.
		told bool
	}

	// brittleModel plays a fleet in virtual time, with the real Balancer.
	brittleModel struct {
		brittleFleet
		random    *rand.Rand
		now       time.Time
		events    brittleEvents
		nodes     []*brittleNode
		list      []*deployment.Endpoint
		endpoints map[deployment.Start]*brittleEndpoint
		sent      int
		served    int
		rejected  int
		falls     int
	}

	brittleNode struct {
		balancer *balance.Balancer
		// published are the requests that the others know of, others the sum of what
		// this node knows of all others.
		published map[uint32]int
		others    map[uint32]int
		age       time.Duration
	}

	brittleEndpoint struct {
		active    int
		turned    []time.Time
		downUntil time.Time
	}

	brittleEvent struct {
		at time.Time
		do func()
	}

	brittleEvents []brittleEvent
)

func (e brittleEvents) Len() int           { return len(e) }
func (e brittleEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e brittleEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *brittleEvents) Push(x any) { *e = append(*e, x.(brittleEvent)) }

// Pop implements heap.Interface.
func (e *brittleEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Others implements balance.Loads.
func (n *brittleNode) Others(key uint32) int { return n.others[key] }

// OthersPrefill implements balance.Loads.
func (*brittleNode) OthersPrefill(uint32) int { return 0 }

// OthersFailures implements balance.Loads.
func (*brittleNode) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads.
func (n *brittleNode) Age(time.Time) time.Duration { return n.age }

func (m *brittleModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, brittleEvent{at: m.now.Add(d), do: do})
}

func (f brittleFleet) play(seed uint64) *brittleModel {
	m := &brittleModel{brittleFleet: f, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), endpoints: map[deployment.Start]*brittleEndpoint{}}
	for i := range f.endpoints {
		e := &deployment.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Slots: brittleSlots, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
		m.list = append(m.list, e)
		m.endpoints[e.Start()] = &brittleEndpoint{}
	}
	for range f.nodes {
		n := &brittleNode{published: map[uint32]int{}, others: map[uint32]int{}, age: f.delay / 2}
		n.balancer = balance.New(balance.Config{Loads: n, Nodes: func() int { return f.nodes }, Draw: m.random.Float64, Announce: func() {
			m.after(0, func() { m.announce(n) })
		}})
		m.nodes = append(m.nodes, n)
		m.after(time.Duration(m.random.Int64N(int64(f.delay))), func() { m.heartbeat(n) })
	}
	m.arrive()
	end := m.now.Add(brittleTime)
	for len(m.events) > 0 && m.now.Before(end) {
		e := heap.Pop(&m.events).(brittleEvent)
		m.now = e.at
		e.do()
	}
	return m
}

// heartbeat makes a node's requests and the loads that it knows of known to the others.
func (m *brittleModel) heartbeat(n *brittleNode) {
	active := n.balancer.Active()
	for _, other := range m.nodes {
		if other == n {
			continue
		}
		for key, count := range n.published {
			other.others[key] -= count
		}
		for key, count := range active {
			other.others[key] += count
		}
	}
	n.published = active
	m.announce(n)
	m.after(m.delay, func() { m.heartbeat(n) })
}

// announce sends what endpoints have reported to a node to the others.
func (m *brittleModel) announce(n *brittleNode) {
	reports := n.balancer.Reports(m.now, m.now.Add(-m.delay))
	if len(reports) == 0 {
		return
	}
	m.after(m.urgent, func() {
		for _, other := range m.nodes {
			if other != n {
				other.balancer.AddReports(m.now, reports)
			}
		}
	})
}

func (m *brittleModel) arrive() {
	rate := m.utilization * float64(m.brittleFleet.endpoints*brittleSlots) / brittleWork.Seconds()
	m.after(time.Duration(m.random.ExpFloat64()*float64(time.Second)/rate), func() {
		m.sent++
		n := m.nodes[m.random.IntN(len(m.nodes))]
		if m.told {
			n.balancer.SetBrittle(m.now, "s")
		}
		m.try(n, m.now.Add(brittleWait), nil)
		m.arrive()
	})
}

// try sends a request to an endpoint that has room, as far as its node knows, or looks
// for one again a little later.
func (m *brittleModel) try(n *brittleNode, until time.Time, tried []deployment.Start) {
	const maxTries = 5
	if m.now.After(until) || len(tried) == maxTries {
		return
	}
	choice := n.balancer.Choose(m.now, m.list, balance.Request{Service: deployment.Service{Name: "s", Slots: brittleSlots}, Repeatable: true, Tried: tried})
	if choice == nil {
		m.after(brittlePoll, func() { m.try(n, until, tried) })
		return
	}
	n.balancer.Sent(m.now, choice)
	start := choice.Endpoint.Start()
	e := m.endpoints[start]
	switch {
	case m.now.Before(e.downUntil):
		n.balancer.Release(m.now, start, balance.Unreachable)
		m.try(n, until, append(tried, start))
	case e.active >= brittleSlots+brittleWaiting:
		m.turnAway(e)
		n.balancer.SetReportedLoad(m.now, start, e.active)
		n.balancer.Release(m.now, start, balance.Refused)
		m.try(n, until, append(tried, start))
	default:
		e.active++
		m.after(brittleWork/2+time.Duration(m.random.Int64N(int64(brittleWork))), func() {
			e.active--
			n.balancer.SetReportedLoad(m.now, start, e.active)
			n.balancer.Release(m.now, start, balance.Served)
			m.served++
		})
	}
}

// turnAway counts a request that an endpoint turns away, and lets it fall over if these
// are too many.
func (m *brittleModel) turnAway(e *brittleEndpoint) {
	m.rejected++
	e.turned = append(e.turned, m.now)
	for m.now.Sub(e.turned[0]) >= time.Second {
		e.turned = e.turned[1:]
	}
	if len(e.turned) > brittleLimit {
		m.falls++
		e.downUntil, e.turned = m.now.Add(brittleBack), nil
	}
}

// Guards against endpoints that fall over because all nodes together send them more
// than they can turn away. Two and a tenth of their number may.
func TestBrittleEndpointsTurnFewRequestsAway(t *testing.T) {
	for _, f := range []brittleFleet{
		{name: "8 nodes, half used", nodes: 8, endpoints: 4, utilization: 0.5, delay: 100 * time.Millisecond, urgent: 2 * time.Millisecond},
		{name: "8 nodes, nearly full", nodes: 8, endpoints: 4, utilization: 0.9, delay: 100 * time.Millisecond, urgent: 2 * time.Millisecond},
		{name: "8 nodes, overloaded", nodes: 8, endpoints: 4, utilization: 1.5, delay: 100 * time.Millisecond, urgent: 2 * time.Millisecond},
		{name: "85 nodes, nearly full", nodes: 85, endpoints: 12, utilization: 0.9, delay: 255 * time.Millisecond, urgent: 2 * time.Millisecond},
		{name: "85 nodes, overloaded", nodes: 85, endpoints: 12, utilization: 1.5, delay: 255 * time.Millisecond, urgent: 2 * time.Millisecond},
		{name: "330 nodes, nearly full", nodes: 330, endpoints: 24, utilization: 0.9, delay: 600 * time.Millisecond, urgent: 300 * time.Millisecond},
		{name: "330 nodes, overloaded", nodes: 330, endpoints: 24, utilization: 1.2, delay: 600 * time.Millisecond, urgent: 300 * time.Millisecond},
	} {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(*brittleSeeds) {
				f.told = true
				m := f.play(seed)
				t.Logf("%d falls, %d of %d served, %d turned away", m.falls, m.served, m.sent, m.rejected)
				require.LessOrEqual(t, m.falls, 2+f.endpoints/10)
				if testing.Verbose() {
					f.told = false
					m = f.play(seed)
					t.Logf("not told: %d falls, %d of %d served, %d turned away", m.falls, m.served, m.sent, m.rejected)
				}
			}
		})
	}
}
