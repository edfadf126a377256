// Command account reports from nodes' logs which of callers' requests were
// lost, when and for what reason.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"bulrushhinge.example/bulrushhinge/internal/account"
)

type command struct {
	Logs    []string `arg:"" optional:"" help:"Paths of logs; standard input if there are none." type:"existingfile"`
	Late    float64  `help:"Part of its worth that a late answer loses, 0 to 1." default:"0.7"`
	Request string   `help:"Says what nodes believed of the endpoint to which the request with this id was sent last."`
	Chart   string   `help:"Path of a chart, .svg or .png; empty for none."`
}

func main() {
	var c command
	ctx := kong.Parse(&c, kong.Name("account"), kong.Description("Says from nodes' logs what was lost of callers' requests, and why."))
	ctx.FatalIfErrorf(c.run())
}

func (c *command) run() error {
	if c.Late < 0 || c.Late > 1 {
		return fmt.Errorf("account: --late %v is not between 0 and 1", c.Late)
	}
	in, closeLogs, err := c.open()
	if err != nil {
		return err
	}
	defer closeLogs()
	if c.Request != "" {
		view, err := account.ReadEndpointView(in, c.Request)
		if err != nil {
			return err
		}
		return view.Table(os.Stdout)
	}
	report, err := account.Read(in)
	if err != nil {
		return err
	}
	if c.Chart != "" {
		if err := report.Chart(c.Chart); err != nil {
			return err
		}
	}
	return report.Table(os.Stdout, c.Late)
}

// open returns the concatenated logs and a function that closes them.
func (c *command) open() (io.Reader, func(), error) {
	if len(c.Logs) == 0 {
		return os.Stdin, func() {}, nil
	}
	var readers []io.Reader
	var files []*os.File
	done := func() {
		for _, f := range files {
			// An error does not matter: nothing was written.
			_ = f.Close()
		}
	}
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			done()
			return nil, nil, fmt.Errorf("account: %w", err)
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), done, nil
}
