package balance_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var coldSeeds = flag.Int("cold.seeds", 60, "seeds of the model of cold engines")

const (
	// The model's times are in milliseconds.
	modelStep = 10
	modelCold = 3000
	// wanted is how many requests a second all nodes together would send.
	wanted = 400.0
	// usual is the same for an engine that nobody takes for cold.
	usual = 10.0
	// modelSpared is what each way aims at a second: under what the engine bears,
	// as far as chance lets it.
	modelSpared = 15.0
)

type (
	// way is how one node decides whether it may send to a cold engine.
	way interface {
		may(ms int) bool
	}

	// scenario is what the fleet knows while an engine is cold.
	scenario struct {
		name  string
		nodes int
		// known is how many nodes each one knows.
		known int
		// late is for how long half of the nodes do not know that it is cold.
		late int
	}

	// bucket gives each node a share, which it may save up to one request.
	bucket struct {
		rate, saved float64
		last        int
	}

	// elected lets the first few nodes in the engine's order send, each its share,
	// evenly spaced. Nodes that do not know of each other elect their own.
	elected struct {
		among bool
		gap   int
		next  int
	}

	// lottery lets through what part of the demand that this node sees fits.
	lottery struct {
		nodes  int
		random *rand.Rand
		seen   []int
	}

	// turns come by chance, whatever the demand, and cannot be saved.
	turns struct {
		rate   float64
		last   int
		random *rand.Rand
	}
)

func (b *bucket) may(ms int) bool {
	b.saved = min(b.saved+b.rate*float64(ms-b.last)/1000, 1)
	b.last = ms
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

func (e *elected) may(ms int) bool {
	if !e.among || ms < e.next {
		return false
	}
	e.next = ms + e.gap
	return true
}

func (l *lottery) may(ms int) bool {
	const memory = 2000
	l.seen = append(l.seen, ms)
	l.seen = slices.DeleteFunc(l.seen, func(at int) bool { return at < ms-memory })
	// What a node sees in its first moments is taken for two seconds' worth.
	rate := float64(len(l.seen)) * 1000 / memory * float64(l.nodes)
	return l.random.Float64() < modelSpared/rate
}

func (s *turns) may(ms int) bool {
	since := min(ms-s.last, 200)
	s.last = ms
	return s.random.Float64() >= math.Exp(-s.rate*float64(since)/1000)
}

// ways are those that were thought of; reservations are not among them, as an
// engine keeps places by its slots and not by its rate.
var ways = []struct {
	name  string
	build func(p scenario, node int, r *rand.Rand) way
}{
	{"a share a node, saved", func(p scenario, _ int, _ *rand.Rand) way {
		return &bucket{rate: modelSpared / float64(p.known), saved: 1}
	}},
	{"four elected nodes", func(p scenario, node int, _ *rand.Rand) way {
		const elects = 4
		return &elected{among: node%p.known < elects, gap: 1000 * elects / int(modelSpared)}
	}},
	{"a lot a request", func(p scenario, _ int, r *rand.Rand) way {
		return &lottery{nodes: p.known, random: r}
	}},
	{"turns by chance", func(p scenario, _ int, r *rand.Rand) way {
		return &turns{rate: coldRate / 2 / float64(p.known), random: r, last: -200}
	}},
}

// play returns the most that the engine gets in one second, and its mean.
func (p scenario) play(build func(p scenario, node int, r *rand.Rand) way, seed uint64) (most int, mean float64) {
	random := rand.New(rand.NewPCG(seed, uint64(p.nodes)))
	list := []way{}
	for n := range p.nodes {
		list = append(list, build(p, n, random))
	}
	var sent []int
	for ms := 0; ms < modelCold; ms += modelStep {
		for n, w := range list {
			rate := wanted
			unaware := n%2 == 0 && ms < p.late
			if unaware {
				rate = usual
			}
			if random.Float64() >= rate/float64(p.nodes)*modelStep/1000 {
				continue
			}
			if unaware || w.may(ms) {
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

// An engine that has just started crashes under more than it bears from all nodes
// together. Of the ways in which nodes can keep to that without hearing of each
// other in time, the one that is built holds in each scenario.
func TestWaysToShareAColdEngine(t *testing.T) {
	scenarios := []scenario{
		{name: "8 nodes", nodes: 8, known: 8},
		{name: "85 nodes", nodes: 85, known: 85},
		{name: "85, a third cut off and forgotten", nodes: 85, known: 57},
		{name: "85, half do not know for 3 s", nodes: 85, known: 85, late: 3000},
		{name: "195 nodes", nodes: 195, known: 195},
		{name: "330 nodes", nodes: 330, known: 330},
	}
	for _, p := range scenarios {
		for i, w := range ways {
			most, mean := 0, 0.0
			for seed := range uint64(*coldSeeds) {
				m, rate := p.play(w.build, seed)
				most, mean = max(most, m), mean+rate/float64(*coldSeeds)
			}
			t.Logf("%-36s %-24s most in a second %3d, mean %5.1f", p.name, w.name, most, mean)
			if i == len(ways)-1 {
				require.LessOrEqual(t, most, coldBound, p.name)
			}
		}
	}
}
