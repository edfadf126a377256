package loopback

import (
	"time"

	"bulrushhinge.example/bulrushhinge/examples"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// exampleGrace keeps planned stops of the examples short.
const exampleGrace = time.Second

// imports is what importing a cached token costs the engines of each example,
// over computing it, as in the replayed traces.
var imports = map[string]float64{examples.Thies: 0.53, examples.Karamanlis: 0.27}

// Secret returns the secret key of an example deployment's account.
func Secret(account string) string { return "secret-" + account }

// Thies returns a deployment of the size of the Régie Municipale d'Épargne de
// Thiès: three availability zones, twelve engines, a counter service of three
// workers and ten client accounts.
func Thies() Config { return example(examples.Thies) }

// Karamanlis returns a deployment of the size of Karamanlis Wholesale Supply:
// four sites, twenty engines, a price list service of four workers and ten
// client accounts.
func Karamanlis() Config { return example(examples.Karamanlis) }

// example returns a deployment that is part of the program, so that one that
// cannot be read is a fault of the program.
func example(name string) Config {
	e, err := examples.Load(name)
	if err != nil {
		panic(err)
	}
	c := Config{Manifest: e.Manifest, Grace: exampleGrace, Import: map[string]float64{}}
	for _, s := range e.Manifest.Services {
		if s.Kind == manifest.KindChat {
			c.Import[s.Name] = imports[name]
		}
	}
	for _, n := range e.Nodes {
		c.Nodes = append(c.Nodes, NodeConfig{Name: n.Name, Zone: n.Zone})
	}
	for _, p := range e.Endpoints {
		s, _ := e.Manifest.Service(p.Service)
		c.Endpoints = append(c.Endpoints, EndpointConfig{
			Name: p.Name, Zone: p.Zone, Service: p.Service, Models: s.Models,
		})
	}
	return c
}
