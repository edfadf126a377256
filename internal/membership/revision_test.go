package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

const (
	// inForce is the time within which a change must be in force on all nodes.
	inForce = 4 * time.Second
	// fetchDelay is the time that a node takes to fetch a revision.
	fetchDelay = 200 * time.Millisecond
)

// accept puts a new revision in force on one node and returns its number.
func (f *fakeFleet) accept(name string) uint64 {
	m := f.m.Clone()
	m.Revision++
	f.m = m
	f.step(f.nodes[name], kernel.Accepted{Manifest: m})
	return m.Revision
}

// spread returns how long a revision takes to be in force on all nodes.
func (f *fakeFleet) spread(revision uint64) time.Duration {
	began := f.now
	for f.now.Sub(began) < time.Minute {
		missing := 0
		for _, n := range f.nodes {
			if !n.down && n.View().Manifest.Revision < revision {
				missing++
			}
		}
		if missing == 0 {
			break
		}
		f.run(kernel.DefaultTick)
	}
	return f.now.Sub(began)
}

// Guards against nodes that still use old settings long after a change.
func TestChangeSpreadsFromOneNodeInTime(t *testing.T) {
	for name, s := range map[string]size{"small": small, "layered": layered} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(s)
			f.delay = fetchDelay
			f.run(10 * time.Second)
			for _, first := range []string{f.names[0], f.names[s.nodes/2], f.names[s.nodes-1]} {
				took := f.spread(f.accept(first))
				t.Logf("%d nodes, from %s: in force everywhere after %v", s.nodes, first, took)
				require.LessOrEqual(t, took, inForce)
			}
		})
	}
}

// BenchmarkChangeSpread reports the longest virtual time, by fleet size, until a
// change that one node has accepted is in force on all.
func BenchmarkChangeSpread(b *testing.B) {
	for name, s := range map[string]size{"nodes=8": small, "nodes=64": medium, "nodes=330": target} {
		b.Run(name, func(b *testing.B) {
			f := newFleet(s)
			f.delay = fetchDelay
			f.run(10 * time.Second)
			var worst time.Duration
			for i := 0; b.Loop(); i++ {
				worst = max(worst, f.spread(f.accept(f.names[(7*i)%s.nodes])))
				f.run(time.Second)
			}
			b.ReportMetric(worst.Seconds(), "virtual-s/worst")
		})
	}
}
