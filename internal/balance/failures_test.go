package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// gossipInterval is how often the nodes of the model exchange their failures.
const gossipInterval = 300 * time.Millisecond

type (
	// failureNode is a node that may receive the others' failures.
	failureNode struct {
		*balance.Balancer
		received map[uint32]int
	}

	// failingFleet is a fleet of nodes with engines of which some fail.
	failingFleet struct {
		nodes  []*failureNode
		list   []*deployment.Endpoint
		random *rand.Rand
		now    time.Time
		// share is the fraction of its requests that each engine fails.
		share map[string]float64
		// gossips reports whether the nodes exchange their failures.
		gossips bool
		// failed counts the failed requests by whether they may be repeated, sent
		// those sent to each engine.
		failed map[bool]int
		sent   map[string]int
	}
)

func (*failureNode) Others(uint32) int { return 0 }

func (*failureNode) OthersPrefill(uint32) int { return 0 }

// Age implements balance.Loads: all counts are new.
func (*failureNode) Age(time.Time) time.Duration { return 0 }

func (n *failureNode) OthersFailures(key uint32) int { return n.received[key] }

func newFailingFleet(nodes, engines int, told bool, seed uint64) *failingFleet {
	f := &failingFleet{
		list: endpoints(engines), random: rand.New(rand.NewPCG(seed, 0)), now: time.Now().Add(time.Minute),
		share: map[string]float64{}, gossips: told, failed: map[bool]int{}, sent: map[string]int{},
	}
	for _, e := range f.list {
		e.Service = "s"
	}
	for range nodes {
		n := &failureNode{}
		n.Balancer = balance.New(balance.Config{Loads: n, Nodes: func() int { return nodes }, Draw: f.random.Float64})
		f.nodes = append(f.nodes, n)
	}
	return f
}

// gossip sends each node the others' failures.
func (f *failingFleet) gossip() {
	sum := map[uint32]int{}
	for _, n := range f.nodes {
		for key, failures := range n.Failures(f.now) {
			sum[key] += failures
		}
	}
	for _, n := range f.nodes {
		own := n.Failures(f.now)
		n.received = map[uint32]int{}
		for key, failures := range sum {
			n.received[key] = failures - own[key]
		}
	}
}

// run sends requests at a rate a second; half of them may be repeated.
func (f *failingFleet) run(rate int, length time.Duration) {
	step := time.Second / time.Duration(rate)
	gossiped := f.now
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		if f.gossips && f.now.Sub(gossiped) >= gossipInterval {
			f.gossip()
			gossiped = f.now
		}
		n := f.nodes[f.random.IntN(len(f.nodes))]
		repeats := f.random.IntN(2) == 0
		r := balance.Request{Service: deployment.Service{Name: "s", Model: true}, Key: fmt.Sprint("part", f.random.IntN(500)), Repeatable: repeats}
		c := n.Choose(f.now, f.list, r)
		if c == nil {
			continue
		}
		n.Sent(f.now, c)
		outcome := balance.Served
		f.sent[c.Endpoint.ID]++
		if f.random.Float64() < f.share[c.Endpoint.ID] {
			outcome = balance.Failed
			f.failed[repeats]++
		}
		n.Release(f.now, c.Endpoint.Start(), outcome)
	}
}

// Guards against hundreds of lost requests that may not be repeated, at a few engines
// and seconds after the first loss there: each node alone sees too few failures to
// avoid an engine.
func TestNodesShareFailuresOfEngines(t *testing.T) {
	lost := map[bool]int{}
	for _, told := range []bool{false, true} {
		for seed := range uint64(3) {
			f := newFailingFleet(85, 60, told, seed)
			f.run(470, 5*time.Second)
			for _, e := range f.list[:4] {
				f.share[e.ID] = 1
			}
			f.run(470, 7*time.Second)
			lost[told] += f.failed[false]
		}
	}
	t.Logf("lost without gossip %d, with gossip %d", lost[false], lost[true])
	require.Less(t, lost[true], lost[false]/3)
}

// Failures that are occasional, or the same at all endpoints, are no reason to avoid
// them; an endpoint that has recovered is used again.
func TestCommonOrPastFailuresDoNotBlockEngines(t *testing.T) {
	cases := []struct {
		name  string
		share func(i int) float64
	}{
		{name: "all fail alike", share: func(int) float64 { return 0.45 }},
		{name: "half of them fail occasionally", share: func(i int) float64 { return 0.05 * float64(i%2) }},
		{name: "one failed all requests for two seconds, five seconds ago", share: func(int) float64 { return 0 }},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFailingFleet(40, 20, true, uint64(i))
			f.share["e0"] = 1
			if i < 2 {
				f.share["e0"] = c.share(0)
			}
			f.run(300, 2*time.Second)
			for n, e := range f.list {
				f.share[e.ID] = c.share(n)
			}
			f.run(300, 5*time.Second)
			clear(f.sent)
			f.run(300, 6*time.Second)
			for _, e := range f.list {
				require.Greater(t, f.sent[e.ID], 20, e.ID)
			}
		})
	}
}

// An endpoint whose address belongs to another one by now is used only if there is no
// other.
func TestReplacedEndpointsComeLast(t *testing.T) {
	list := endpoints(3)
	list[0].Replaced = true
	b := balance.New(balance.Config{Loads: peers{}})
	for n := range 60 {
		c := b.Choose(time.Now(), list, balance.Request{Key: fmt.Sprint("part", n)})
		require.NotEqual(t, "e0", c.Endpoint.ID)
		b.Release(time.Now(), c.Endpoint.Start(), balance.Served)
	}
	require.Equal(t, "e0", b.Choose(time.Now(), list[:1], balance.Request{}).Endpoint.ID)
}
