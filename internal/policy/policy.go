// Package policy names whole sets of decisions, so that a replay can compare
// them: the present ones, those that a measured change replaced, and the plain
// methods that they have to beat.
package policy

import (
	"errors"
	"fmt"
	"math/rand/v2"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

// Present is the name of the decisions that nodes run.
const Present = "present"

// ErrUnknown is returned for a name that no policy has.
var ErrUnknown = errors.New("policy: unknown")

var policies = []Policy{
	{
		Name:   Present,
		Text:   "what nodes run",
		Route:  func(*rand.Rand) route.Config { return route.Config{} },
		Import: true,
	},
	{
		Name:  "noimport",
		Text:  "what nodes run where engines cannot import prefixes",
		Route: func(*rand.Rand) route.Config { return route.Config{} },
	},
	{
		Name: "ceil",
		Text: "hints, then hash order; the home bounds requests, rounded up",
		Route: func(*rand.Rand) route.Config {
			return route.Config{Ranker: route.NewHashRanker(), Memory: 1, Whole: true}
		},
		Gate: gate.Config{Rule: gate.NewCeilRule()},
	},
	{
		Name:  "round",
		Text:  "round robin",
		Route: func(*rand.Rand) route.Config { return route.Config{Ranker: &roundRobin{}, Open: true} },
		Poll:  true,
	},
	{
		Name: "two",
		Text: "two random choices on lagged load",
		Route: func(r *rand.Rand) route.Config {
			return route.Config{Ranker: &twoChoices{random: r}, Open: true}
		},
		Poll: true,
	},
	{
		Name:  "hash",
		Text:  "consistent hashing",
		Route: func(*rand.Rand) route.Config { return route.Config{Ranker: chatHash{}, Open: true} },
		Poll:  true,
	},
	{
		Name:  "bounded",
		Text:  "consistent hashing with bounded lagged load",
		Route: func(*rand.Rand) route.Config { return route.Config{Ranker: boundedHash{}, Open: true} },
		Poll:  true,
	},
}

// Policy is a named set of decisions.
type Policy struct {
	Name string
	// Text says in a few words what it is.
	Text string
	// Route makes the settings of one node's Router.
	Route func(random *rand.Rand) route.Config
	// Gate is the settings of each node's Gate.
	Gate gate.Config
	// Import lets prefixes be imported where the trace's engines can.
	Import bool
	// Poll makes every node read the loads of all endpoints, not only of those
	// whose home it is.
	Poll bool
}

// All returns every policy, the present one first.
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
