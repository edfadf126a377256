// Package memory reports how much memory the process uses of what it may use.
package memory

import (
	"context"
	"io"
	"math"
	"runtime/metrics"
	"sync"
	"time"

	vmetrics "github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/periodic"
)

const (
	// metricPrefix is the prefix of every metric's name.
	metricPrefix = "bulrushhinge_process_"
	// checkInterval is how often the use is read, which takes about two microseconds: a
	// process can take all of its memory within a second.
	checkInterval = 100 * time.Millisecond
	// logInterval limits the lines.
	logInterval = time.Second
	// highShare is the share of the limit above which the heap's size is logged.
	highShare = 0.8
)

// The names of the runtime's metrics, in the order in which Read reads them.
var names = [...]string{
	"/memory/classes/heap/objects:bytes", "/memory/classes/total:bytes", "/memory/classes/heap/released:bytes",
	"/gc/gomemlimit:bytes", "/sched/goroutines:goroutines", "/gc/cycles/total:gc-cycles",
}

type (
	// Usage is the memory that a process uses, in bytes.
	Usage struct {
		// Heap is the size of all objects, also of those that are not yet freed.
		Heap uint64
		// Mapped is what the limit applies to: all memory of the Go runtime that is
		// not returned to the system. Limit is 0 if there is none.
		Mapped uint64
		Limit  uint64
		// Goroutines is their number, and Collections that of garbage collections.
		Goroutines  uint64
		Collections uint64
	}

	// Config is the settings of a Watcher.
	Config struct {
		// Read reads the use; nil is Read.
		Read func() Usage
		// Fields returns fields that are added to each line; it may be nil.
		Fields func() decision.Fields
		Log    *decision.Log
	}

	// Watcher logs the use of memory while it is high.
	Watcher struct {
		config  Config
		began   time.Time
		lines   *decision.Limited
		cancel  context.CancelFunc
		running sync.WaitGroup
	}
)

// Read returns the use of memory by this process.
func Read() Usage {
	var s [len(names)]metrics.Sample
	for i, name := range names {
		s[i].Name = name
	}
	metrics.Read(s[:])
	u := Usage{
		Heap: s[0].Value.Uint64(), Mapped: s[1].Value.Uint64() - s[2].Value.Uint64(), Limit: s[3].Value.Uint64(),
		Goroutines: s[4].Value.Uint64(), Collections: s[5].Value.Uint64(),
	}
	if u.Limit == math.MaxInt64 {
		u.Limit = 0
	}
	return u
}

// NewWatcher returns a Watcher and starts its goroutine. Close stops it.
func NewWatcher(c Config) *Watcher {
	if c.Read == nil {
		c.Read = Read
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &Watcher{config: c, began: time.Now(), lines: decision.NewLimited(c.Log, logInterval, 1), cancel: cancel}
	w.running.Go(func() {
		periodic.Run(ctx, checkInterval, func(time.Time) { w.check() })
	})
	return w
}

// Close stops the Watcher.
func (w *Watcher) Close() {
	w.cancel()
	w.running.Wait()
}

func (w *Watcher) check() {
	u := w.config.Read()
	if u.Limit == 0 || float64(u.Heap) < highShare*float64(u.Limit) {
		return
	}
	f := decision.Fields{"heap": u.Heap, "mapped": u.Mapped, "limit": u.Limit, "goroutines": u.Goroutines, "collections": u.Collections}
	if w.config.Fields != nil {
		for name, value := range w.config.Fields() {
			f[name] = value
		}
	}
	w.lines.Event("memory", f)
}

// WriteMetrics writes the use in the Prometheus text format.
func (w *Watcher) WriteMetrics(to io.Writer) {
	u := w.config.Read()
	vmetrics.WriteGaugeUint64(to, metricPrefix+"start_time_seconds", uint64(w.began.Unix()))
	vmetrics.WriteGaugeUint64(to, metricPrefix+"heap_bytes", u.Heap)
	vmetrics.WriteGaugeUint64(to, metricPrefix+"mapped_bytes", u.Mapped)
	vmetrics.WriteGaugeUint64(to, metricPrefix+"memory_limit_bytes", u.Limit)
	vmetrics.WriteGaugeUint64(to, metricPrefix+"goroutines", u.Goroutines)
	vmetrics.WriteCounterUint64(to, metricPrefix+"collections_total", u.Collections)
}
