// Package policy defines named sets of routing and admission decisions, so that a
// replay can compare them: the current ones, earlier ones that were replaced after
// a measured comparison, and simple baselines that they must outperform.
package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Present is the name of the policy that nodes run.
const Present = "present"

// ErrUnknown is returned for an unknown policy name.
var ErrUnknown = errors.New("policy: unknown")

var policies = []Policy{
	{
		Name:        Present,
		Description: "what nodes run",
		Route:       func(*rand.Rand) route.Config { return route.Config{} },
		Import:      true,
	},
	{
		Name:        "noimport",
		Description: "what nodes run where engines cannot import prefixes",
		Route:       func(*rand.Rand) route.Config { return route.Config{} },
	},
	{
		Name:        "ceil",
		Description: "hints, then hash order; the owner bounds requests, rounded up",
		Route: func(*rand.Rand) route.Config {
			return route.Config{Ranker: route.NewHashRanker(), Memory: 1, Whole: true}
		},
		Gate: permit.Config{Rule: permit.NewCeilRule()},
	},
	{
		Name:        "round",
		Description: "round robin",
		Route:       func(*rand.Rand) route.Config { return route.Config{Ranker: &roundRobin{}, NoPermits: true} },
		Poll:        true,
	},
	{
		Name:        "two",
		Description: "two random choices on lagged load",
		Route: func(r *rand.Rand) route.Config {
			return route.Config{Ranker: &twoChoices{random: r}, NoPermits: true}
		},
		Poll: true,
	},
	{
		Name:        "hash",
		Description: "consistent hashing",
		Route:       func(*rand.Rand) route.Config { return route.Config{Ranker: chatHash{}, NoPermits: true} },
		Poll:        true,
	},
	{
		Name:        "bounded",
		Description: "consistent hashing with bounded lagged load",
		Route:       func(*rand.Rand) route.Config { return route.Config{Ranker: boundedHash{}, NoPermits: true} },
		Poll:        true,
	},
}

// Policy is a named set of decisions.
type Policy struct {
	Name string
	// Description says in a few words what the policy does.
	Description string
	// Route returns the settings of one node's Router.
	Route func(random *rand.Rand) route.Config
	// Gate configures each node's Gate.
	Gate permit.Config
	// Import enables the import of prefixes if the trace's engines support it.
	Import bool
	// Poll makes every node read the loads of all endpoints, not only of those that
	// it owns.
	Poll bool
}

// All returns every policy, the current one first.
func All() []Policy { return policies }

// Find returns the policy with the given name.
func Find(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("%w: %q", ErrUnknown, name)
}
