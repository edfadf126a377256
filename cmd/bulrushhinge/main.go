// Command bulrushhinge is the router fleet's only binary: the node, the tools of
// operators and callers, and the stand-ins for the platform and endpoints.
package main

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Node     nodeCommand     `cmd:"" help:"Run one router process."`
	Serve    serveCommand    `cmd:"" help:"Run one router process on the users' platform, by its settings file."`
	Demo     demoCommand     `cmd:"" help:"Run an example deployment in this process over loopback."`
	Ask      askCommand      `cmd:"" help:"Ask as a caller does, within one chat."`
	Standin  standinCommand  `cmd:"" help:"Run a stand-in of the platform or of an endpoint."`
	Manifest manifestCommand `cmd:"" help:"Check, compare, accept and reject manifests."`
	State    stateCommand    `cmd:"" help:"Show the state of a running node."`
	Zones    zonesCommand    `cmd:"" help:"Show which availability zones nodes of the gateway take for evacuated."`
	Explain  explainCommand  `cmd:"" help:"Show where nodes of the gateway would route a request now, and why, without sending it."`
	Settings settingsCommand `cmd:"" help:"Print every setting of every command as a table."`
	Replay   replayCommand   `cmd:"" help:"Replay traces through the decisions of a whole fleet in virtual time."`
}

func main() {
	logrus.SetFormatter(&logrus.JSONFormatter{})
	logrus.SetOutput(os.Stderr)
	var c commands
	parser := kong.Must(&c,
		kong.Name("bulrushhinge"),
		kong.Description("A router fleet for very many returning chats."),
		kong.DefaultEnvars("BULRUSHHINGE"),
		kong.UsageOnError(),
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		parser.Errorf("%v", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		parser.Errorf("%v", err)
		os.Exit(exitFailed)
	}
}
