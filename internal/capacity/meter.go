package capacity

import (
	"math"
	"sync"
	"time"
)

// meterTimeConstant is the time constant of the demand average. It is long compared
// with the time in which an engine loads a model.
const meterTimeConstant = 30 * time.Second

type (
	// Meter measures the demand of the node's callers for each model. It is safe
	// for concurrent use.
	Meter struct {
		mu     sync.Mutex
		models map[string]*average
	}

	average struct {
		sum       float64
		decayedAt time.Time
	}
)

// NewMeter returns a Meter without demand.
func NewMeter() *Meter { return &Meter{models: map[string]*average{}} }

// Add counts a request's tokens.
func (m *Meter) Add(now time.Time, model string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.models[model]
	if a == nil {
		a = &average{decayedAt: now}
		m.models[model] = a
	}
	a.decay(now)
	a.sum += float64(tokens)
}

// Rates returns the demand for each model in tokens per second.
func (m *Meter) Rates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates := make(map[string]float64, len(m.models))
	for model, a := range m.models {
		a.decay(now)
		rates[model] = a.sum / meterTimeConstant.Seconds()
	}
	return rates
}

func (a *average) decay(now time.Time) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		a.sum *= math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
		a.decayedAt = now
	}
}
