package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"bulrushhinge.example/bulrushhinge/internal/policy"
	"bulrushhinge.example/bulrushhinge/internal/replay"
	"bulrushhinge.example/bulrushhinge/internal/workload"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const allPolicies = "all"

var errNoTrace = errors.New("replay: give traces, or --make")

type replayCommand struct {
	Traces []string `arg:"" optional:"" help:"Trace files to replay." type:"existingfile"`
	Make   string   `help:"Make a trace in place of reading one: thies or karamanlis."`
	Seed   uint64   `help:"Seed of the trace to make." default:"1"`
	Seeds  int      `help:"How many traces to make, with this seed and the next ones." default:"1"`
	Write  string   `help:"Write the made trace to a file in place of replaying it." type:"path"`
	Policy []string `help:"Policies to compare; all is every one." default:"present"`
	JSON   bool     `help:"Print the report as JSON lines."`
	Jobs   int      `help:"How many replays to run at once." default:"3"`
}

// Run replays traces and prints the report.
func (c *replayCommand) Run() error {
	traces, err := c.traces()
	if err != nil {
		return err
	}
	if c.Write != "" {
		return writeTrace(c.Write, traces[0])
	}
	policies, err := c.policies()
	if err != nil {
		return err
	}
	results, err := c.replays(traces, policies)
	if err != nil {
		return err
	}
	if !c.JSON {
		return replay.Table(os.Stdout, results)
	}
	enc := json.NewEncoder(os.Stdout)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func (c *replayCommand) traces() ([]*trace.Trace, error) {
	var traces []*trace.Trace
	for _, name := range c.Traces {
		t, err := readTrace(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		traces = append(traces, t)
	}
	if c.Make != "" {
		for i := range c.Seeds {
			t, err := workload.Make(c.Make, c.Seed+uint64(i))
			if err != nil {
				return nil, err
			}
			traces = append(traces, t)
		}
	}
	if len(traces) == 0 {
		return nil, errNoTrace
	}
	return traces, nil
}

func (c *replayCommand) policies() ([]policy.Policy, error) {
	var list []policy.Policy
	for _, name := range c.Policy {
		if name == allPolicies {
			return policy.All(), nil
		}
		p, err := policy.Find(name)
		if err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// replays runs every policy and the ideal router on every trace.
func (c *replayCommand) replays(traces []*trace.Trace, policies []policy.Policy) ([]*replay.Result, error) {
	var group errgroup.Group
	group.SetLimit(max(c.Jobs, 1))
	ideal := make([]*replay.Result, len(traces))
	results := make([]*replay.Result, len(traces)*len(policies))
	start := func(into **replay.Result, t *trace.Trace, config replay.Config) {
		group.Go(func() error {
			r, err := replay.Run(t, config)
			*into = r
			return err
		})
	}
	for i, t := range traces {
		start(&ideal[i], t, replay.Config{Policy: policies[0], Ideal: true})
		for k, p := range policies {
			start(&results[i*len(policies)+k], t, replay.Config{Policy: p})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var rows []*replay.Result
	for i, r := range results {
		best := ideal[i/len(policies)]
		r.Ideal = best.Reuse
		if i%len(policies) == 0 {
			rows = append(rows, best)
		}
		rows = append(rows, r)
	}
	return rows, nil
}

func readTrace(name string) (*trace.Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return trace.Read(f)
}

func writeTrace(name string, t *trace.Trace) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(trace.Write(f, t), f.Close())
}
