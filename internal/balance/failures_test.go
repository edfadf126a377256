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

// newsEvery is how often the nodes of the model hear of each other's failures.
const newsEvery = 300 * time.Millisecond

type (
	// teller is a node that hears of the others' failures, or does not.
	teller struct {
		*balance.Balancer
		heard map[uint32]int
	}

	// failingFleet is nodes before engines of which some fail.
	failingFleet struct {
		nodes  []*teller
		list   []*deployment.Endpoint
		random *rand.Rand
		now    time.Time
		// share is the part of its requests that each engine fails.
		share map[string]float64
		// told says that the nodes tell each other.
		told bool
		// failed are the requests that engines failed, by whether they may be
		// repeated, and sent all that an engine got.
		failed map[bool]int
		sent   map[string]int
	}
)

func (*teller) Others(uint32) int { return 0 }

func (*teller) OthersReading(uint32) int { return 0 }

// Age implements balance.Loads: all is new.
func (*teller) Age(time.Time) time.Duration { return 0 }

func (n *teller) OthersFailures(key uint32) int { return n.heard[key] }

func newFailingFleet(nodes, engines int, told bool, seed uint64) *failingFleet {
	f := &failingFleet{
		list: endpoints(engines), random: rand.New(rand.NewPCG(seed, 0)), now: time.Now().Add(time.Minute),
		share: map[string]float64{}, told: told, failed: map[bool]int{}, sent: map[string]int{},
	}
	for _, e := range f.list {
		e.Service = "s"
	}
	for range nodes {
		n := &teller{}
		n.Balancer = balance.New(balance.Config{Loads: n, Nodes: func() int { return nodes }, Draw: f.random.Float64})
		f.nodes = append(f.nodes, n)
	}
	return f
}

// tell lets all nodes hear of the others' failures.
func (f *failingFleet) tell() {
	sum := map[uint32]int{}
	for _, n := range f.nodes {
		for key, failures := range n.Failures(f.now) {
			sum[key] += failures
		}
	}
	for _, n := range f.nodes {
		own := n.Failures(f.now)
		n.heard = map[uint32]int{}
		for key, failures := range sum {
			n.heard[key] = failures - own[key]
		}
	}
}

// run plays requests at a rate a second, half of which may be repeated.
func (f *failingFleet) run(rate int, length time.Duration) {
	step := time.Second / time.Duration(rate)
	heard := f.now
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		if f.told && f.now.Sub(heard) >= newsEvery {
			f.tell()
			heard = f.now
		}
		n := f.nodes[f.random.IntN(len(f.nodes))]
		repeats := f.random.IntN(2) == 0
		r := balance.Request{Service: deployment.Service{Name: "s", Model: true}, Key: fmt.Sprint("part", f.random.IntN(500)), Repeats: repeats}
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

// Guards against this failure: hundreds of requests that may not be repeated are lost at a few
// engines, seconds after the first of them was.
func TestNodesTellEachOtherOfEnginesThatFail(t *testing.T) {
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
	t.Logf("lost without news %d, with news %d", lost[false], lost[true])
	require.Less(t, lost[true], lost[false]/3)
}

// What endpoints fail now and then, or all alike, is no reason to avoid them; and
// one that is well again is used again.
func TestEnginesThatFailAsOthersDoAreUsed(t *testing.T) {
	cases := []struct {
		name  string
		share func(i int) float64
	}{
		{name: "all fail alike", share: func(int) float64 { return 0.45 }},
		{name: "half of them fail now and then", share: func(i int) float64 { return 0.05 * float64(i%2) }},
		{name: "one failed all for two seconds, five seconds ago", share: func(int) float64 { return 0 }},
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

// An endpoint to whose address another one has come is used only where there is no
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
