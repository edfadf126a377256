package loopback

import (
	"fmt"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// Secret returns the secret key of an example deployment's account.
func Secret(account string) string { return "secret-" + account }

// Thies returns a deployment of the size of the Régie Municipale d'Épargne de
// Thiès: three availability zones, twelve engines, a counter service of three
// workers and ten client accounts.
func Thies() Config {
	zones := []string{"thies-a", "thies-b", "thies-c"}
	m := &manifest.Manifest{
		Revision:    1,
		Deployments: []manifest.Deployment{{Name: "thies", Bound: 1.5}},
		Models:      []manifest.Model{{Name: "notices", Versions: []string{"1"}, Adapters: []string{}}},
		Services: []manifest.Service{
			{Name: "engines", Deployment: "thies", Kind: manifest.KindChat, Models: []string{"notices"}},
			{Name: "counter", Deployment: "thies", Kind: manifest.KindPlain, Models: []string{}},
		},
	}
	return example(m, zones, 12, 3)
}

// Karamanlis returns a deployment of the size of Karamanlis Wholesale Supply:
// four sites, twenty engines, a price list service of four workers and ten
// client accounts.
func Karamanlis() Config {
	zones := []string{"attica-1", "attica-2", "attica-3", "attica-4"}
	m := &manifest.Manifest{
		Revision:    1,
		Deployments: []manifest.Deployment{{Name: "karamanlis", Bound: 1.25}},
		Models:      []manifest.Model{{Name: "catalogue", Versions: []string{"1"}, Adapters: []string{}}},
		Services: []manifest.Service{
			{Name: "engines", Deployment: "karamanlis", Kind: manifest.KindChat, Models: []string{"catalogue"}},
			{Name: "prices", Deployment: "karamanlis", Kind: manifest.KindPlain, Models: []string{}},
		},
	}
	return example(m, zones, 20, 4)
}

func example(m *manifest.Manifest, zones []string, engines, workers int) Config {
	const (
		nodes    = 8
		accounts = 10
	)
	c := Config{Manifest: m, Grace: time.Second}
	for _, z := range zones {
		m.Zones = append(m.Zones, manifest.Zone{Name: z, Region: m.Deployments[0].Name})
	}
	for i := range accounts {
		name := fmt.Sprintf("a%d", i+1)
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: name, Key: manifest.KeyDigest(Secret(name)), Rate: 1e6, Burst: 1e6,
		})
	}
	for i := range nodes {
		c.Nodes = append(c.Nodes, NodeConfig{Name: fmt.Sprintf("n%d", i+1), Zone: zones[i%len(zones)]})
	}
	for i := range engines {
		c.Endpoints = append(c.Endpoints, EndpointConfig{
			Name: fmt.Sprintf("w%d", i+1), Zone: zones[i%len(zones)],
			Service: m.Services[0].Name, Models: m.Services[0].Models,
		})
	}
	for i := range workers {
		c.Endpoints = append(c.Endpoints, EndpointConfig{
			Name: fmt.Sprintf("p%d", i+1), Zone: zones[i%len(zones)], Service: m.Services[1].Name,
		})
	}
	return c
}
