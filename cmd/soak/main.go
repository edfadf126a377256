// Command soak runs the router fleet as real processes under injected faults, seed
// after seed, and reports which guarantees were violated.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"bulrushhinge.example/bulrushhinge/internal/soak"
)

type command struct {
	Program string        `help:"Path of the bulrushhinge program." default:"target/bulrushhinge"`
	Folder  string        `help:"Where settings and logs go; empty for the system's temporary folder."`
	Seed    uint64        `help:"First seed; 0 draws one."`
	Seeds   int           `help:"How many seeds are run, one after the other." default:"1"`
	Length  time.Duration `help:"How long each seed runs." default:"40s"`
	Nodes   int           `help:"How many nodes run." default:"6"`
	Callers int           `help:"How many callers ask." default:"24"`
	Faults  []string      `help:"Names of the faults that are drawn, separated by commas; all if empty."`
	Without []string      `help:"Names of faults that are not drawn."`
	Owners  float64       `help:"Slots per node below which a service has an owner; 0 for programs without owners." default:"2"`
	Untimed bool          `help:"Leave out the promises with a time bound."`
}

func main() {
	var c command
	ctx := kong.Parse(&c, kong.Name("soak"), kong.Description("Runs the router fleet under injected faults and checks its promises."))
	ctx.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64N(1_000_000)
	}
	var errs []error
	for n := range c.Seeds {
		errs = append(errs, c.runSeed(seed+uint64(n)))
	}
	return errors.Join(errs...)
}

func (c *command) runSeed(seed uint64) error {
	folder, err := soak.Folder(c.Folder, seed)
	if err != nil {
		return err
	}
	err = soak.Run(context.Background(), soak.Config{
		Program: c.Program, Folder: folder, Seed: seed, Length: c.Length, Nodes: c.Nodes, Callers: c.Callers, Faults: c.Faults, Without: c.Without,
		Owners: c.Owners, Timed: !c.Untimed, Out: os.Stdout,
	})
	if err != nil {
		return err
	}
	if err := os.RemoveAll(folder); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}
