package admission_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/admission"
)

// around draws work with a mean and little variation.
func around(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration { return time.Duration((0.7 + 0.6*r.Float64()) * float64(mean)) }
}

// uneven draws work between two times, evenly on a logarithmic scale.
func uneven(low, high time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(float64(low) * math.Pow(float64(high)/float64(low), r.Float64()))
	}
}

// plainDemand is requests of a plain service of 30 ms each.
func plainDemand(kind string, priority int, rate func(time.Duration) float64) demand {
	const mean = 30 * time.Millisecond
	return demand{
		request: admission.Request{Kind: kind, Priority: priority, Objective: 150 * time.Millisecond},
		rate:    rate, work: around(mean), learned: mean, first: 1, limit: time.Second,
	}
}

func streamDemand(kind string, priority int, objective time.Duration, rate func(time.Duration) float64) demand {
	return demand{
		request: admission.Request{Kind: kind, Priority: priority, Objective: objective},
		rate:    rate, work: uneven(200*time.Millisecond, 4*time.Second), first: 0.03, limit: 10 * time.Second,
	}
}

func usualSpeed(time.Duration) float64 { return 1 }

func burst(from, to time.Duration, within, outside float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return within
		}
		return outside
	}
}

func costLoads() []costLoad {
	const length = 30 * time.Second
	client := func(name string, d demand) demand {
		d.request.Account = name
		return d
	}
	return []costLoad{
		{
			name: "scarce plain service", slots: fixedPlaces(6), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{plainDemand("a", 1, steady(125)), plainDemand("b", 1, steady(125))},
		},
		{
			name: "scarce plain service, urgent and less urgent", slots: fixedPlaces(6), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{plainDemand("urgent", 0, steady(100)), plainDemand("later", 1, steady(150))},
		},
		{
			name: "short burst", slots: fixedPlaces(6), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{plainDemand("a", 1, burst(10*time.Second, 12*time.Second, 600, 100))},
		},
		{
			name: "uneven streams", slots: fixedPlaces(126), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{
				streamDemand("chat", 0, 400*time.Millisecond, steady(60)), streamDemand("agent", 1, 800*time.Millisecond, steady(30)),
				streamDemand("batch", 2, 600*time.Millisecond, steady(30)),
			},
		},
		{
			name: "many nodes", nodes: 77, lastLook: true, slots: fixedPlaces(18), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{plainDemand("a", 1, steady(375)), plainDemand("b", 1, steady(375))},
		},
		{
			name: "nine nodes, streams", nodes: 9, lastLook: true, slots: fixedPlaces(126), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{
				streamDemand("chat", 0, 400*time.Millisecond, steady(60)), streamDemand("agent", 1, 800*time.Millisecond, steady(30)),
				streamDemand("batch", 2, 600*time.Millisecond, steady(30)),
			},
		},
		{
			name: "slow for less than a second", slots: fixedPlaces(6), speed: func(at time.Duration) float64 {
				if at%(3*time.Second) < 600*time.Millisecond {
					return 0.4
				}
				return 1
			}, length: length, retries: 1,
			demands: []demand{plainDemand("a", 1, steady(80)), plainDemand("b", 1, steady(80))},
		},
		{
			name: "no completions for a while", slots: fixedPlaces(6), speed: func(at time.Duration) float64 {
				if at > 10*time.Second && at < 13*time.Second {
					return 0.001
				}
				return 1
			}, length: length, retries: 1,
			demands: []demand{plainDemand("a", 1, steady(80)), plainDemand("b", 1, steady(80))},
		},
		{
			name: "moderate load", slots: fixedPlaces(6), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{plainDemand("a", 1, steady(80)), plainDemand("b", 1, steady(80))},
		},
		{
			name: "surging account", slots: fixedPlaces(6), speed: usualSpeed, length: length, retries: 1,
			demands: []demand{
				client("one", plainDemand("a", 1, steady(60))), client("two", plainDemand("a", 1, steady(60))),
				client("surging", plainDemand("a", 1, burst(15*time.Second, 22*time.Second, 300, 40))),
			},
		},
	}
}

func logResults(t *testing.T, name string, m *costModel) {
	t.Helper()
	all := m.total()
	t.Logf("%s: served %.3f in time %.3f of served, held %v, wakeups %d, needless %d", name, all.share(), all.punctual(), all.meanHeld(), m.wakeups, m.needless)
	for i, r := range m.results {
		d := m.demands[i].request
		t.Logf("  %s %s: asked %d served %.3f in time %.3f rejected %.3f held %v", d.Kind, d.Account, r.asked, r.share(), r.punctual(), float64(r.rejected)/float64(max(r.asked, 1)), r.meanHeld())
	}
	for kind, classes := range m.sizes {
		t.Logf("  %s by size: %.3f %.3f %.3f", kind, classes[0].share(), classes[1].share(), classes[2].share())
	}
}
