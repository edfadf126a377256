// Package examples holds the deployments of the first users at their present
// sizes: manifest, instances and settings. The demo and the end-to-end tests run
// them.
package examples

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// Names of the examples.
const (
	Thies      = "thies"
	Karamanlis = "karamanlis"
)

var (
	// ErrExample is returned if an example does not exist or cannot be read.
	ErrExample = errors.New("examples: bad example")

	//go:embed thies karamanlis
	files embed.FS
)

type (
	// Example is one deployment.
	Example struct {
		Manifest *manifest.Manifest
		// Settings is the env file of its first node.
		Settings []byte
		Instances
	}

	// Instances is the nodes and endpoints of a deployment.
	Instances struct {
		Nodes     []Instance `json:"nodes"`
		Endpoints []Instance `json:"endpoints"`
	}

	// Instance is a node or an endpoint.
	Instance struct {
		Name    string `json:"name"`
		Zone    string `json:"zone"`
		Service string `json:"service"`
	}
)

// Load returns the example with the given name. The caller may modify the manifest.
func Load(name string) (Example, error) {
	text, errText := files.ReadFile(name + "/manifest.json")
	list, errList := files.ReadFile(name + "/instances.json")
	settings, errSettings := files.ReadFile(name + "/node.env")
	if err := errors.Join(errText, errList, errSettings); err != nil {
		return Example{}, fmt.Errorf("%w: %v", ErrExample, err)
	}
	m, err := manifest.Parse(text)
	if err != nil {
		return Example{}, fmt.Errorf("%w: %s: %v", ErrExample, name, err)
	}
	e := Example{Manifest: m.Clone(), Settings: settings}
	dec := json.NewDecoder(bytes.NewReader(list))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&e.Instances); err != nil {
		return Example{}, fmt.Errorf("%w: %s: instances: %v", ErrExample, name, err)
	}
	return e, nil
}
