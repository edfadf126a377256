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
	// Settings are compared with each program.
	Settings []string `help:"Settings of the nodes that are compared, one run each: plan for those of the plan, off for none, or ORDER/OWNERS such as owned/1." default:"plan"`
	Out      string   `help:"Folder for result.json, latency.svg, timely.svg and load.svg; empty for none."`
	Logs     string   `help:"Folder for the processes' settings and logs; empty for the system's temporary folder."`
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
	variants, err := experiment.Variants(plan, c.Program, c.Settings)
	if err != nil {
		return err
	}
	var names []string
	var results []*experiment.Result
	for _, v := range variants {
		r, err := c.runVariant(plan, v)
		if err != nil {
			return err
		}
		names, results = append(names, v.Name), append(results, r)
	}
	if err := experiment.Table(os.Stdout, plan, names, results); err != nil {
		return err
	}
	for i, r := range results {
		fmt.Printf("%s: 99 of 100 requests were sent at most %v late\n", names[i], r.SentLate)
		for _, s := range plan.Services {
			fmt.Printf("%s: %s at most %.2f times the mean in 95 of 100 samples\n", names[i], s.Name, r.Skew(s.Name))
		}
	}
	return c.write(names, results)
}

func (c *command) runVariant(plan *experiment.Plan, v experiment.Variant) (*experiment.Result, error) {
	folder, err := experiment.Folder(c.Logs, v.Name)
	if err != nil {
		return nil, err
	}
	r, err := experiment.Run(context.Background(), experiment.Config{Plan: plan, Program: v.Program, Folder: folder, Settings: &v.Settings})
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

func (c *command) write(names []string, results []*experiment.Result) error {
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
	return experiment.Charts(c.Out, names, results)
}
