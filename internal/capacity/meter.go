package capacity

import (
	"math"
	"sync"
	"time"
)

// meterMemory is the time over which demand is averaged. It is long beside the
// time that an engine takes to load a model.
const meterMemory = 30 * time.Second

type (
	// Meter measures the demand for each model that callers bring to the node.
	// It is safe for concurrent use.
	Meter struct {
		mu     sync.Mutex
		models map[string]*average
	}

	average struct {
		sum  float64
		last time.Time
	}
)

// NewMeter returns a Meter that has seen no demand.
func NewMeter() *Meter { return &Meter{models: map[string]*average{}} }

// Add counts a request's tokens.
func (m *Meter) Add(now time.Time, model string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.models[model]
	if a == nil {
		a = &average{last: now}
		m.models[model] = a
	}
	a.fade(now)
	a.sum += float64(tokens)
}

// Rates returns the demand for each model in tokens a second.
func (m *Meter) Rates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[string]float64, len(m.models))
	for model, a := range m.models {
		a.fade(now)
		rates[model] = a.sum / meterMemory.Seconds()
	}
	return rates
}

func (a *average) fade(now time.Time) {
	if passed := now.Sub(a.last); passed > 0 {
		a.sum *= math.Exp(-passed.Seconds() / meterMemory.Seconds())
		a.last = now
	}
}
