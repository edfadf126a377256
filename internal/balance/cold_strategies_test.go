package balance_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var coldSeeds = flag.Int("cold.seeds", 60, "number of seeds for the model of cold engines")

const (
	// Times of the model are in milliseconds.
	modelStep = 10
	modelCold = 3000
	// demand is the number of requests a second that all nodes together would send.
	demand = 400.0
	// warmRate is the number that they send to an engine that they do not consider
	// cold.
	warmRate = 10.0
	// targetRate is the rate that each strategy aims at: below the engine's capacity,
	// to allow for random variation.
	targetRate = 15.0
)

type (
	// strategy decides whether one node may send to a cold engine.
	strategy interface {
		admits(ms int) bool
	}

	// scenario is what the fleet knows while an engine is cold.
	scenario struct {
		name  string
		nodes int
		// known is the number of nodes that each one knows.
		known int
		// unawareFor is how long half of the nodes do not know that it is cold.
		unawareFor int
	}

	// bucket is a token bucket that gives each node its share, and holds at most one
	// request.
	bucket struct {
		rate, credit float64
		last         int
	}

	// elected lets the first few nodes in the engine's order send, each its share,
	// evenly spaced. Nodes that do not know of each other elect their own.
	elected struct {
		chosen bool
		gap    int
		next   int
	}

	// lottery admits the fraction of requests at which the demand, estimated from
	// what this node sees, meets the target.
	lottery struct {
		nodes  int
		random *rand.Rand
		seen   []int
	}

	// poisson admits requests in a Poisson process, whatever the demand, and saves no
	// credit.
	poisson struct {
		rate   float64
		last   int
		random *rand.Rand
	}
)

func (b *bucket) admits(ms int) bool {
	b.credit = min(b.credit+b.rate*float64(ms-b.last)/1000, 1)
	b.last = ms
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (e *elected) admits(ms int) bool {
	if !e.chosen || ms < e.next {
		return false
	}
	e.next = ms + e.gap
	return true
}

func (l *lottery) admits(ms int) bool {
	const memory = 2000
	l.seen = append(l.seen, ms)
	l.seen = slices.DeleteFunc(l.seen, func(at int) bool { return at < ms-memory })
	// The requests of a node's first moments count as those of two seconds.
	rate := float64(len(l.seen)) * 1000 / memory * float64(l.nodes)
	return l.random.Float64() < targetRate/rate
}

func (s *poisson) admits(ms int) bool {
	since := min(ms-s.last, 200)
	s.last = ms
	return s.random.Float64() >= math.Exp(-s.rate*float64(since)/1000)
}

// strategies are those that were considered. Reservations are not among them: an
// engine reserves by its slots, not by its rate.
var strategies = []struct {
	name  string
	build func(p scenario, node int, r *rand.Rand) strategy
}{
	{"token bucket per node", func(p scenario, _ int, _ *rand.Rand) strategy {
		return &bucket{rate: targetRate / float64(p.known), credit: 1}
	}},
	{"four elected nodes", func(p scenario, node int, _ *rand.Rand) strategy {
		const elects = 4
		return &elected{chosen: node%p.known < elects, gap: 1000 * elects / int(targetRate)}
	}},
	{"lottery per request", func(p scenario, _ int, r *rand.Rand) strategy {
		return &lottery{nodes: p.known, random: r}
	}},
	{"Poisson process per node", func(p scenario, _ int, r *rand.Rand) strategy {
		return &poisson{rate: coldRate / 2 / float64(p.known), random: r, last: -200}
	}},
}

// play returns the most requests that the engine is sent in one second, and the mean.
func (p scenario) play(build func(p scenario, node int, r *rand.Rand) strategy, seed uint64) (most int, mean float64) {
	random := rand.New(rand.NewPCG(seed, uint64(p.nodes)))
	list := []strategy{}
	for n := range p.nodes {
		list = append(list, build(p, n, random))
	}
	var sent []int
	for ms := 0; ms < modelCold; ms += modelStep {
		for n, w := range list {
			rate := demand
			unaware := n%2 == 0 && ms < p.unawareFor
			if unaware {
				rate = warmRate
			}
			if random.Float64() >= rate/float64(p.nodes)*modelStep/1000 {
				continue
			}
			if unaware || w.admits(ms) {
				sent = append(sent, ms)
			}
		}
	}
	from := 0
	for to, at := range sent {
		for at-sent[from] >= 1000 {
			from++
		}
		most = max(most, to-from+1)
	}
	return most, float64(len(sent)) * 1000 / modelCold
}

// An engine that has just started crashes if all nodes together send more than it
// sustains. Of the strategies with which nodes can avoid that without hearing from
// each other in time, the implemented one must hold in each scenario.
func TestStrategiesForSharingAColdEngine(t *testing.T) {
	scenarios := []scenario{
		{name: "8 nodes", nodes: 8, known: 8},
		{name: "85 nodes", nodes: 85, known: 85},
		{name: "85, a third partitioned and forgotten", nodes: 85, known: 57},
		{name: "85, half do not know for 3 s", nodes: 85, known: 85, unawareFor: 3000},
		{name: "195 nodes", nodes: 195, known: 195},
		{name: "330 nodes", nodes: 330, known: 330},
	}
	for _, p := range scenarios {
		for i, w := range strategies {
			most, mean := 0, 0.0
			for seed := range uint64(*coldSeeds) {
				m, rate := p.play(w.build, seed)
				most, mean = max(most, m), mean+rate/float64(*coldSeeds)
			}
			t.Logf("%-36s %-24s most in a second %3d, mean %5.1f", p.name, w.name, most, mean)
			if i == len(strategies)-1 {
				require.LessOrEqual(t, most, coldBound, p.name)
			}
		}
	}
}
