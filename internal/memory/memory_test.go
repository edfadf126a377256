package memory_test

import (
	"bytes"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/memory"
)

// Guards against a process that ends because of its memory without a line that shows its
// use, and against a log that these lines fill.
func TestHighUseIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			out  bytes.Buffer
			heap atomic.Uint64
		)
		l := decision.New(decision.LogConfig{To: &out, Node: "n1"})
		w := memory.NewWatcher(memory.Config{
			Log: l, Read: func() memory.Usage { return memory.Usage{Heap: heap.Load(), Mapped: 95, Limit: 100, Goroutines: 7} },
			Fields: func() decision.Fields { return decision.Fields{"active": 3} },
		})
		heap.Store(79)
		// The use changes between two readings.
		time.Sleep(5*time.Second + 50*time.Millisecond)
		heap.Store(80)
		time.Sleep(5 * time.Second)
		heap.Store(79)
		time.Sleep(5 * time.Second)
		w.Close()
		l.Close()
		lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
		require.Len(t, lines, 5, "one a second")
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(lines[0], &fields))
		require.Equal(t, "memory", fields["event"])
		require.Equal(t, 80., fields["heap"])
		require.Equal(t, 95., fields["mapped"])
		require.Equal(t, 100., fields["limit"])
		require.Equal(t, 3., fields["active"])
	})
}

// Without a limit, no use is high.
func TestUseWithoutALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := decision.New(decision.LogConfig{To: &out, Node: "n1"})
		w := memory.NewWatcher(memory.Config{Log: l, Read: func() memory.Usage { return memory.Usage{Heap: 1 << 40} }})
		time.Sleep(5 * time.Second)
		w.Close()
		l.Close()
		require.Empty(t, out.String())
	})
}

// The use of the process itself is read, and shown as metrics.
func TestUseOfTheProcess(t *testing.T) {
	u := memory.Read()
	require.Positive(t, u.Heap)
	require.GreaterOrEqual(t, u.Mapped, u.Heap)
	require.Positive(t, u.Goroutines)
	w := memory.NewWatcher(memory.Config{})
	defer w.Close()
	var out bytes.Buffer
	w.WriteMetrics(&out)
	require.Regexp(t, `(?m)^bulrushhinge_process_heap_bytes [1-9]`, out.String())
	require.Regexp(t, `(?m)^bulrushhinge_process_start_time_seconds [1-9]`, out.String())
}

func BenchmarkRead(b *testing.B) {
	for range b.N {
		memory.Read()
	}
}
