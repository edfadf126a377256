package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// BenchmarkBeat creates, encodes, decodes and handles one heartbeat within a cell.
func BenchmarkBeat(b *testing.B) {
	for _, s := range []size{small, medium, target} {
		b.Run(fmt.Sprint(s.nodes), func(b *testing.B) {
			f := newFleet(s)
			f.run(4 * time.Second)
			from, to := f.nodes[node(0)], f.nodes[node(s.zones)]
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				msg := f.wire(from, to, from.Beat(f.now, to.Self().Name), callBytes)
				to.Step(f.now, kernel.HeartbeatReceived{Heartbeat: msg})
			}
		})
	}
}

// BenchmarkStep handles one tick at one node of a loaded fleet and publishes its
// view.
func BenchmarkStep(b *testing.B) {
	few := small
	few.endpoints = 24
	for _, s := range []size{few, medium, target} {
		b.Run(fmt.Sprint(s.endpoints), func(b *testing.B) {
			f := newFleet(s)
			f.run(4 * time.Second)
			n := f.nodes[node(0)]
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Microsecond)
				n.Step(f.now, kernel.Tick{})
			}
		})
	}
}

// TestKernelMemory logs and limits the heap size of one kernel, views included.
func TestKernelMemory(t *testing.T) {
	sizes := []size{small}
	if *atTarget {
		sizes = append(sizes, medium, target)
	}
	for _, s := range sizes {
		before := heap()
		f := newFleet(s)
		f.run(3 * time.Second)
		kept := heap() - before
		t.Logf("%d nodes, %d endpoints: %d KB a kernel", s.nodes, s.endpoints, kept/s.nodes/1024)
		require.Less(t, kept/s.nodes, 8<<20)
		runtime.KeepAlive(f)
	}
}

func heap() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
