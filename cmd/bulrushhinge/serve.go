package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge"
	"bulrushhinge.example/bulrushhinge/internal/budget"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/platform"
)

const (
	// memoryShare is the fraction of the process's memory limit that is set as
	// the Go runtime's soft limit, near which it collects garbage more often.
	memoryShare = 0.7
	// storeDialTimeout is the timeout for a new connection to the store.
	storeDialTimeout = 700 * time.Millisecond
	// storeSilence is after how long without a packet a connection to the store is
	// given up: a new one costs little, and changes have to be in force in time.
	storeSilence = 1500 * time.Millisecond
	// pollInterval is how often the settings file is read again; a read takes
	// about 50 microseconds.
	pollInterval = 5 * time.Second
)

type serveCommand struct {
	Metrics   uint16 `help:"Port at which metrics and state are served." default:"9464"`
	Egress    string `help:"Address of an HTTP proxy through which endpoints are reached, with CONNECT; empty for none."`
	Owners    ratio  `help:"Plain services with fewer slots than this many for each node get one owner, a node through which all their requests pass; 0 to 1,000, 0 for none." default:"0" env:"BULRUSHHINGE_SERVE_OWNERS"`
	CostOrder string `help:"Services whose waiting requests are ordered by cost to callers: never, owned (those that have an owner) or always." enum:"never,owned,always" default:"never" env:"BULRUSHHINGE_SERVE_COST_ORDER"`
	Check     bool   `help:"Check the platform's settings and end."`
}

// Run serves the platform's callers until it is told to stop.
func (c *serveCommand) Run() error {
	s, err := platform.ReadSettings()
	if err := errors.Join(checkSettings(c), err); err != nil {
		return err
	}
	if c.Check {
		return nil
	}
	dialer, err := c.dialer()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	g, err := bulrushhinge.NewGateway(c.config(s, dialer))
	if err != nil {
		return err
	}
	c.follow(g, s, signals)
	if err := g.Stop(); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// follow applies new seeds from the settings file until a signal ends the process.
// The file may change without a signal, so it is also polled: otherwise a node
// that was isolated for long would keep trying seeds that no longer exist.
func (*serveCommand) follow(g *bulrushhinge.Gateway, s platform.Settings, signals <-chan os.Signal) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			signaled = true
		case <-ticker.C:
		}
		next, err := platform.ReadSettings()
		if !signaled && err == nil && slices.Equal(next.Seeds, s.Seeds) {
			continue
		}
		if err == nil {
			s = next
			g.SetSeeds(s.Seeds)
		}
		g.Reloaded(err)
	}
}

// dialer returns the dialer for endpoints, nil for the default.
func (c *serveCommand) dialer() (bulrushhinge.Dialer, error) {
	if c.Egress == "" {
		return nil, nil
	}
	proxy, err := netip.ParseAddrPort(c.Egress)
	if err != nil {
		return nil, fmt.Errorf("egress: %w", err)
	}
	return &http1.Egress{Proxy: proxy, Timeout: http1.ConnectTimeout}, nil
}

func (c *serveCommand) config(s platform.Settings, dialer bulrushhinge.Dialer) bulrushhinge.GatewayConfig {
	transport := platform.NewTransport(http1.NewDialer(http1.DialerConfig{Timeout: storeDialTimeout, Silence: storeSilence}).DialContext)
	return bulrushhinge.GatewayConfig{
		Dialer: dialer,
		Node:   s.Node, Zone: s.Zone, Regions: s.Regions, Power: s.Power, IP: s.IP, Port: s.Ports[0], HandoverPort: s.Ports[0] + 1, Seeds: s.Seeds,
		Callers: s.Callers, Directory: s.Directory, Ready: s.Ready, Metrics: netip.AddrPortFrom(s.IP, c.Metrics),
		Source: platform.NewStore(s.Store, transport), Decoder: platform.Decoder{}, Headers: platform.Headers(),
		Places:  func(p *http1.Pool) gateway.Reserver { return platform.NewReserver(p) },
		Answers: func(g *bulrushhinge.Gateway) http.Handler { return platform.NewDirectoryHandler(g) },
		Retry:   budget.Config{Ratio: s.Bounds.RetryRatio, Window: s.Bounds.RetryWindow, Slack: s.Bounds.RetrySlack},
		Apply:   s.Bounds.Apply, LoadCap: s.Bounds.LoadCap, Owners: c.Owners.value,
		CostOrder: gateway.CostOrder(c.CostOrder), Drain: s.Bounds.Drain, Grace: s.Bounds.Grace, AddressTTL: s.Bounds.AddressTTL, Log: os.Stdout,
	}
}
