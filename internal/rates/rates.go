// Package rates stores the demand that nodes report to each other: rates per
// second, and when they were reported.
package rates

import (
	"maps"
	"time"
)

type (
	// Sample is a rate and when it was reported.
	Sample struct {
		Rate float64
		At   time.Time
	}

	// Table holds samples by the node or scope that sent or received them, and by
	// the name of what is requested.
	Table map[string]map[string]Sample
)

// Row returns the samples that a node sent or received. Changes to the map are
// kept.
func (t Table) Row(node string) map[string]Sample {
	if t[node] == nil {
		t[node] = map[string]Sample{}
	}
	return t[node]
}

// Reset removes the samples of a node.
func (t Table) Reset(node string) { t[node] = map[string]Sample{} }

// Set stores a rate that a node sent; a rate of 0 removes the sample.
func (t Table) Set(now time.Time, node, name string, rate float64) {
	if rate <= 0 {
		delete(t[node], name)
		return
	}
	t.Row(node)[name] = Sample{Rate: rate, At: now}
}

// Sum removes samples that are as old as stale and adds the others to sums.
func (t Table) Sum(now time.Time, sums map[string]float64, stale time.Duration) {
	for node, samples := range t {
		maps.DeleteFunc(samples, func(_ string, s Sample) bool { return now.Sub(s.At) >= stale })
		for name, s := range samples {
			sums[name] += s.Rate
		}
		if len(samples) == 0 {
			delete(t, node)
		}
	}
}
