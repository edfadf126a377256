package caller_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	spreadCallers = 1600
	// spreadHeavy callers hold heavyLoad requests each, the others one.
	spreadHeavy = 8
	heavyLoad   = 100
	spreadSeeds = 10
	spreadTime  = 10 * time.Minute
	spreadStep  = 100 * time.Millisecond
	// spreadLag is the age, in steps, of the loads that entry answers are based on.
	spreadLag = 10
)

// picker chooses the first node of an entry answer.
type picker func(v *kernel.View, chat string) string

// BenchmarkSpread compares ways to order the entry answer, in virtual time. It
// measures how evenly they distribute callers who keep an answer for 30 to 40 s,
// and how often a chat changes its node. All callers send their first request
// within two seconds, as after an outage.
func BenchmarkSpread(b *testing.B) {
	strategies := []struct {
		name string
		pick picker
	}{
		{"weighted", func(v *kernel.View, chat string) string { return caller.Nodes(v, "", chat)[0].Name }},
		{"rendezvous", func(v *kernel.View, chat string) string { return kernel.Rendezvous(chat, v.Nodes)[0].Name }},
		{"least", func(v *kernel.View, _ string) string {
			return slices.MinFunc(v.Nodes, func(a, b kernel.Node) int { return cmp.Compare(a.Active, b.Active) }).Name
		}},
	}
	for _, strategy := range strategies {
		b.Run(strategy.name, func(b *testing.B) {
			for b.Loop() {
				var mean, worst, moves float64
				for seed := range spreadSeeds {
					m, w, moved := spreadRun(strategy.pick, seed)
					mean += m / spreadSeeds
					worst = max(worst, w)
					moves += moved / spreadSeeds
				}
				b.ReportMetric(mean, "max/mean")
				b.ReportMetric(worst, "worst")
				b.ReportMetric(100*moves, "%moved")
			}
		})
	}
}

// spreadRun returns the mean and the maximum over time, after the first minute,
// of the ratio between the highest load and the mean load of the nodes, and the
// share of renewals that moved a chat to another node.
func spreadRun(pick picker, seed int) (mean, worst, moves float64) {
	random := rand.New(rand.NewPCG(1, uint64(seed)))
	v := fleet(8)
	at := make([]string, spreadCallers)
	due := make([]time.Duration, spreadCallers)
	for i := range due {
		due[i] = time.Duration(random.Int64N(int64(2 * time.Second)))
	}
	load := map[string]int{}
	var past []map[string]int
	renewals, moved, samples := 0, 0, 0
	for now := time.Duration(0); now < spreadTime; now += spreadStep {
		past = append(past, copyOf(load))
		known := past[max(len(past)-spreadLag, 0)]
		for i := range v.Nodes {
			v.Nodes[i].Active = known[v.Nodes[i].Name]
		}
		for i := range due {
			if due[i] > now {
				continue
			}
			due[i] = now + 30*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
			next := pick(v, fmt.Sprintf("chat-%d-%d", seed, i))
			if at[i] != "" {
				renewals++
				load[at[i]] -= weight(i)
			}
			if at[i] != "" && at[i] != next {
				moved++
			}
			at[i] = next
			load[next] += weight(i)
		}
		if now < time.Minute {
			continue
		}
		ratio := skewOf(load)
		samples++
		mean += ratio
		worst = max(worst, ratio)
	}
	return mean / float64(samples), worst, float64(moved) / float64(renewals)
}

func weight(i int) int {
	if i < spreadHeavy {
		return heavyLoad
	}
	return 1
}

func copyOf(load map[string]int) map[string]int {
	c := make(map[string]int, len(load))
	for name, n := range load {
		c[name] = n
	}
	return c
}

func skewOf(load map[string]int) float64 {
	total, most := 0, 0
	for _, n := range load {
		total += n
		most = max(most, n)
	}
	return float64(most) * 8 / float64(total)
}
