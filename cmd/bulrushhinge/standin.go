package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/standin"
)

const standinHeaderTimeout = 10 * time.Second

type (
	standinCommand struct {
		Platform standinPlatform `cmd:"" help:"Run a stand-in of the platform. PUT /admin/KEY publishes a value."`
		Endpoint standinEndpoint `cmd:"" help:"Run a stand-in of a model engine and plain service."`
	}

	standinPlatform struct {
		Listen netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:9090"`
	}

	standinEndpoint struct {
		Listen netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:9100"`
		Name   string         `help:"Name of the endpoint." default:"w1"`
		Step   time.Duration  `help:"Time for one token of each stream." default:"5ms"`
		Models []string       `help:"Models that are loaded."`
	}
)

// Run runs the stand-in platform until it is told to stop.
func (c *standinPlatform) Run() error {
	p := standin.NewPlatform()
	mux := http.NewServeMux()
	mux.Handle("/v1/", p)
	mux.HandleFunc("PUT /admin/", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(strings.TrimPrefix(r.URL.Path, "/admin/"), data)
	})
	return serveHTTP(c.Listen, mux)
}

// Run runs the stand-in endpoint until it is told to stop.
func (c *standinEndpoint) Run() error {
	return serveHTTP(c.Listen, standin.NewEndpoint(standin.EndpointConfig{
		Name: c.Name, Step: c.Step, Models: c.Models,
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
