package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// zonesCommand shows the evacuations that each node of a gateway fleet knows.
type zonesCommand struct {
	Nodes []address `arg:"" help:"Addresses and ports at which nodes serve their metrics and state."`
}

// nodeZones is the part of a node's state that concerns evacuations.
type nodeZones struct {
	deployment.Position
	Node      string                          `json:"node"`
	Evacuated map[string]deployment.Evacuated `json:"evacuated"`
}

// Validate reports every invalid setting at once.
func (c *zonesCommand) Validate() error { return checkSettings(c) }

// Run prints a row for each node and zone that the node considers evacuated, and one
// for each node without such a zone. Errors of nodes that did not answer are returned
// after the rows of the others are printed.
func (c *zonesCommand) Run() error {
	var rows [][]string
	var errs []error
	for _, addr := range c.Nodes {
		n, err := fetchZones(addr)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		rows = append(rows, n.rows()...)
	}
	table([]string{"zone", "node", "epoch/revision", "known for", "told by", "node knows all up to"}, rowsOf(rows, func(r []string) []string { return r }))
	return errors.Join(errs...)
}

func (n nodeZones) rows() [][]string {
	upTo := fmt.Sprintf("%d/%d", n.Epoch, n.Revision)
	if len(n.Evacuated) == 0 {
		return [][]string{{"none", n.Node, "", "", "", upTo}}
	}
	var rows [][]string
	for zone, e := range n.Evacuated {
		rows = append(rows, []string{
			zone, n.Node, fmt.Sprintf("%d/%d", e.Epoch, e.Revision), time.Since(e.Since).Round(time.Second).String(), e.Source, upTo,
		})
	}
	return rows
}

func fetchZones(addr address) (nodeZones, error) {
	client := http.Client{Timeout: stateTimeout}
	resp, err := client.Get("http://" + addr.String() + "/state")
	if err != nil {
		return nodeZones{}, fmt.Errorf("%w: %v", errState, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nodeZones{}, fmt.Errorf("%w: %s: %s", errState, addr, resp.Status)
	}
	var n nodeZones
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(&n); err != nil {
		return nodeZones{}, fmt.Errorf("%w: %s: %v", errState, addr, err)
	}
	return n, nil
}
