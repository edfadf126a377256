package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	speedEngines     = 90
	speedEngineSlots = 64
	// enginePerToken is how long an engine takes for a prompt token.
	enginePerToken = 25 * time.Microsecond
	// engineParts is how many prompt parts there are, and engineMemory how many an
	// engine keeps.
	engineParts  = 600
	engineMemory = 20
	engineDecode = 1500 * time.Millisecond
)

// speedEngine processes prompts one after another and keeps the last parts.
type speedEngine struct {
	freeAt time.Time
	parts  []string
	active int
}

// touch reports whether the engine holds a part, and makes it the last used one.
func (e *speedEngine) touch(part string) bool {
	held := false
	parts := make([]string, 0, engineMemory+1)
	for _, p := range e.parts {
		if p == part {
			held = true
			continue
		}
		parts = append(parts, p)
	}
	parts = append(parts, part)
	e.parts = parts[max(len(parts)-engineMemory, 0):]
	return held
}

// playEngines plays engines that get some requests a second; a latency is the time to
// the first event.
func playEngines(way speedWay, seed uint64, rate float64, runs time.Duration) speedResult {
	m := newSpeedModel(way, seed, speedEngines, speedEngineSlots, runs)
	m.objective = 400 * time.Millisecond
	state := map[string]*speedEngine{}
	for _, e := range m.list {
		state[e.ID] = &speedEngine{freeAt: m.now}
	}
	began := m.now
	arrivals := rand.New(rand.NewPCG(seed, 2))
	var arrive func()
	arrive = func() {
		n := m.nodes[arrivals.IntN(len(m.nodes))]
		// A few parts are in most prompts.
		part := int(math.Pow(arrivals.Float64(), 2) * engineParts)
		prompt := balance.Prompt{Own: 100 + int(arrivals.ExpFloat64()*600), Shared: 600 + part%8*600}
		decode := time.Duration((0.5 + arrivals.Float64()) * float64(engineDecode))
		m.sendPrompt(n, state, fmt.Sprint("part-", part), prompt, decode, m.now.Sub(began) > 3*time.Second)
		m.after(time.Duration(arrivals.ExpFloat64()*float64(time.Second)/rate), arrive)
	}
	arrive()
	return m.play(runs)
}

func (m *speedModel) sendPrompt(n *speedNode, state map[string]*speedEngine, part string, prompt balance.Prompt, decode time.Duration, counts bool) {
	came := m.now
	choice := n.balancer.Choose(m.now, m.list, balance.Request{
		Service: deployment.Service{Name: "s", Model: true, Slots: speedEngineSlots}, Key: part, Prompt: prompt, Objective: m.objective, Repeatable: true,
	})
	if choice == nil {
		if counts {
			m.rejected++
		}
		return
	}
	n.balancer.Sent(m.now, choice)
	e := choice.Endpoint
	s := state[e.ID]
	tokens := prompt.Own
	if !s.touch(part) {
		tokens += prompt.Shared
	}
	s.active++
	begins := s.freeAt
	if begins.Before(m.now) {
		begins = m.now
	}
	s.freeAt = m.slow[e.ID].end(begins, time.Duration(tokens)*enginePerToken)
	m.at(s.freeAt, func() {
		if counts {
			m.latencies = append(m.latencies, m.now.Sub(came))
		}
		n.balancer.PrefillDone(m.now, choice, m.now.Sub(came))
		m.report(n, e, s.active)
		m.at(m.slow[e.ID].end(m.now, decode), func() {
			s.active--
			n.balancer.Release(m.now, e.Start(), balance.Served)
		})
	})
}

// Guards against prompts that leave the engines that hold them because of slowdowns that
// are over before the prompt is processed elsewhere, or late.
func TestEnginesOfChangingSpeed(t *testing.T) {
	if *speedTable {
		for _, rate := range []float64{600, 1200, 1600} {
			for _, way := range speedWays() {
				t.Log(rate, way.name, meanOf(2, func(seed uint64) speedResult { return playEngines(way, seed, rate, 8*time.Second) }))
			}
		}
		return
	}
	play := func(way speedWay) speedResult { return playEngines(way, 1, 600, 6*time.Second) }
	ways := speedWays()
	usual := play(ways[0])
	for _, way := range []speedWay{ways[1], ways[4]} {
		got := play(way)
		require.LessOrEqual(t, got.mean, usual.mean*103/100, way.name)
		require.GreaterOrEqual(t, got.inTime, usual.inTime-0.005, way.name)
	}
}
