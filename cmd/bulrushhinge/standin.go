package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/standin"
)

const standinHeaderTimeout = 10 * time.Second

type (
	standinCommand struct {
		Platform standinPlatform `cmd:"" help:"Run a stand-in of the platform. PUT /admin/KEY publishes a value, PUT /admin/faults?NAME=VALUE sets faults."`
		Endpoint standinEndpoint `cmd:"" help:"Run a stand-in of a model engine and plain service. PUT /admin/faults?NAME=VALUE sets faults."`
	}

	standinPlatform struct {
		Listen netip.AddrPort         `help:"Address to listen on." default:"127.0.0.1:9090"`
		Faults standin.PlatformFaults `embed:""`
	}

	standinEndpoint struct {
		Listen      netip.AddrPort         `help:"Address to listen on." default:"127.0.0.1:9100"`
		Name        string                 `help:"Name of the endpoint." default:"w1"`
		Step        time.Duration          `help:"Time for one token of each stream." default:"5ms"`
		Prefill     time.Duration          `help:"Time for one prompt token that is not cached." default:"20us"`
		MaxBatch    int                    `help:"Requests that run at once; more wait by priority." default:"64"`
		CacheTokens int                    `help:"Size of the prefix cache, in tokens." default:"1048576"`
		Models      []string               `help:"Models that are loaded."`
		Faults      standin.EndpointFaults `embed:""`
	}
)

// Run runs the stand-in platform until it is told to stop.
func (c *standinPlatform) Run() error {
	p := standin.NewPlatform()
	p.SetFaults(c.Faults)
	return serveHTTP(c.Listen, p)
}

// Run runs the stand-in endpoint until it is told to stop.
func (c *standinEndpoint) Run() error {
	return serveHTTP(c.Listen, standin.NewEndpoint(standin.EndpointConfig{
		Name: c.Name, Step: c.Step, Prefill: c.Prefill, MaxBatch: c.MaxBatch, CacheTokens: c.CacheTokens,
		Models: c.Models, Faults: c.Faults, OnCrash: func() { os.Exit(exitFailed) },
	}))
}

func serveHTTP(addr netip.AddrPort, h http.Handler) error {
	listeners, err := listen(addr)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listeners[0]) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-stop.Done():
		return server.Close()
	}
}
