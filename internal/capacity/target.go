// Package capacity is the kernel plug-in that adapts the models loaded at endpoints
// to demand. What an endpoint should have loaded is a pure function of the accepted
// revision and the demand in the node's cell; the endpoint's owner orders it.
package capacity

import (
	"cmp"
	"math"
	"slices"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// Role is the role in every order; the manifest defines no other.
const Role = "mixed"

type (
	// Target is what an endpoint should have loaded.
	Target struct {
		Models   []string
		Adapters []string
		Role     string
	}

	// Counts is the number of endpoints for each model.
	Counts map[string]int
)

// Ideal returns the fractional number of endpoints that corresponds to each model's
// part of the demand. Without demand all models get the same number.
func Ideal(models []string, demand map[string]float64, endpoints int) map[string]float64 {
	total := 0.0
	for _, m := range models {
		total += demand[m]
	}
	ideal := make(map[string]float64, len(models))
	for _, m := range models {
		part := 1 / float64(len(models))
		if total > 0 {
			part = demand[m] / total
		}
		ideal[m] = part * float64(endpoints)
	}
	return ideal
}

// Round rounds to whole numbers of endpoints. Every model keeps at least one if
// there are enough, so that no request waits for a model to be loaded.
func Round(models []string, ideal map[string]float64, endpoints int) Counts {
	counts := Counts{}
	if endpoints < len(models) {
		for _, m := range models {
			counts[m] = 1
		}
		return counts
	}
	remaining := endpoints
	for _, m := range models {
		counts[m] = max(int(math.Floor(ideal[m])), 1)
		remaining -= counts[m]
	}
	order := slices.Clone(models)
	shortfall := func(m string) float64 { return ideal[m] - float64(counts[m]) }
	for ; remaining != 0; remaining -= sign(remaining) {
		step := sign(remaining)
		slices.SortStableFunc(order, func(a, b string) int {
			return step * cmp.Compare(shortfall(b), shortfall(a))
		})
		for _, m := range order {
			if counts[m]+step >= 1 {
				counts[m] += step
				break
			}
		}
	}
	return counts
}

// Assign returns the models of each endpoint. Each model takes the first endpoints
// of its rendezvous order that no earlier model took, so that changing a count by
// one moves few endpoints, and nodes with the same counts agree. If there are fewer
// endpoints than models, an endpoint may get several.
func Assign(models []string, counts Counts, endpoints []string) map[string][]string {
	assigned := make(map[string][]string, len(endpoints))
	if len(endpoints) == 0 {
		return assigned
	}
	for i, m := range models {
		order := slices.Clone(endpoints)
		slices.SortFunc(order, func(a, b string) int {
			return cmp.Compare(kernel.Score(m, b), kernel.Score(m, a))
		})
		if len(endpoints) < len(models) {
			name := endpoints[i%len(endpoints)]
			assigned[name] = append(assigned[name], m)
			continue
		}
		remaining := counts[m]
		for _, name := range order {
			if remaining > 0 && len(assigned[name]) == 0 {
				assigned[name] = []string{m}
				remaining--
			}
		}
	}
	return assigned
}

// target returns what an endpoint with the given models should have loaded.
func target(m *manifest.Manifest, models []string) Target {
	t := Target{Models: slices.Sorted(slices.Values(models)), Role: Role}
	for _, model := range m.Models {
		if slices.Contains(models, model.Name) {
			t.Adapters = append(t.Adapters, model.Adapters...)
		}
	}
	slices.Sort(t.Adapters)
	return t
}

func sign(n int) int {
	if n < 0 {
		return -1
	}
	return 1
}
