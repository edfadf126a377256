package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/demo"
)

type demoCommand struct {
	Deployment string        `help:"Example deployment: thies or karamanlis." enum:"thies,karamanlis" default:"thies"`
	Duration   time.Duration `help:"How long callers send requests." default:"8s"`
	Callers    int           `help:"How many callers there are at once." default:"48"`
	Serve      bool          `help:"Keep the deployment up afterwards and print a curl line."`
}

// Run runs the demo.
func (c *demoCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	d, err := demo.New(demo.Config{Deployment: c.Deployment, Duration: c.Duration, Callers: c.Callers, Out: os.Stdout})
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Run(ctx); err != nil {
		return err
	}
	if c.Serve {
		fmt.Fprintf(os.Stdout, "\nserving until interrupted; try:\n\n%s", d.Curl())
		<-ctx.Done()
	}
	return nil
}
