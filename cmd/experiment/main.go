// Command experiment drives one or more builds of the router fleet with the load and
// faults of a plan, and compares what callers observed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"bulrushhinge.example/bulrushhinge/internal/experiment"
)

type command struct {
	Plan    string   `arg:"" help:"Path of the plan, in TOML."`
	Program []string `help:"Paths of the programs that are compared, one run each." default:"target/bulrushhinge"`
	Out     string   `help:"Folder for result.json, latency.svg and load.svg; empty for none."`
	Logs    string   `help:"Folder for the processes' settings and logs; empty for the system's temporary folder."`
}

func main() {
	var c command
	ctx := kong.Parse(&c, kong.Name("experiment"), kong.Description("Drives builds of the router fleet with a load and faults."))
	ctx.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	plan, err := experiment.Parse(string(text))
	if err != nil {
		return err
	}
	var results []*experiment.Result
	for _, program := range c.Program {
		r, err := c.runProgram(plan, program)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	if err := experiment.Table(os.Stdout, c.Program, results); err != nil {
		return err
	}
	for i, r := range results {
		for _, s := range plan.Services {
			fmt.Printf("%s: %s at most %.2f times the mean in 95 of 100 samples\n", c.Program[i], s.Name, r.Skew(s.Name))
		}
	}
	return c.write(results)
}

func (c *command) runProgram(plan *experiment.Plan, program string) (*experiment.Result, error) {
	folder, err := experiment.Folder(c.Logs, program)
	if err != nil {
		return nil, err
	}
	r, err := experiment.Run(context.Background(), experiment.Config{Plan: plan, Program: program, Folder: folder})
	if err != nil {
		return nil, fmt.Errorf("%w; logs: %s", err, folder)
	}
	if c.Logs != "" {
		return r, nil
	}
	if err := os.RemoveAll(folder); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return r, nil
}

func (c *command) write(results []*experiment.Result) error {
	if c.Out == "" {
		return nil
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.WriteFile(filepath.Join(c.Out, "result.json"), data, 0o644); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return experiment.Charts(c.Out, c.Program, results)
}
