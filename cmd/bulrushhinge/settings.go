package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// settingsCommand prints the tables of docs/operators/settings.md; a test checks
// that the page matches the command line.
type settingsCommand struct {
	Commands []string `arg:"" optional:"" help:"Commands to show, such as node or manifest; without any, all."`
}

// Run prints a Markdown table for each command that has settings.
func (c *settingsCommand) Run(ctx *kong.Context) error {
	for _, n := range ctx.Model.Leaves(true) {
		if len(n.Flags) == 0 || !c.shows(commandPath(n)) {
			continue
		}
		fmt.Printf("\n## %s\n\n| flag | environment variable | default | meaning |\n|---|---|---|---|\n", commandPath(n))
		for _, f := range n.Flags {
			fmt.Printf("| `--%s` | `%s` | %s | %s |\n", f.Name, strings.Join(f.Envs, " "), shownDefault(f), f.Help)
		}
	}
	return nil
}

func (c *settingsCommand) shows(path string) bool {
	first, _, _ := strings.Cut(path, " ")
	return len(c.Commands) == 0 || slices.Contains(c.Commands, first)
}

// commandPath returns the words that select a command.
func commandPath(n *kong.Node) string {
	path := n.Name
	for p := n.Parent; p != nil && p.Parent != nil; p = p.Parent {
		path = p.Name + " " + path
	}
	return path
}

func shownDefault(f *kong.Flag) string {
	switch {
	case f.HasDefault && f.Default != "":
		return "`" + f.Default + "`"
	case f.IsBool():
		return "`false`"
	default:
		return "–"
	}
}
