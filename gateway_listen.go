package bulrushhinge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/handover"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

// limitListener wraps the callers' listener with the configured timeouts.
func (g *Gateway) limitListener(l net.Listener) net.Listener {
	b := http1.NewListener(l, func() http1.Timeouts {
		c := g.state.Snapshot().Config
		if c == nil {
			return http1.Timeouts{}
		}
		return http1.Timeouts{Header: c.Limits.HeaderTimeout, Idle: c.Limits.IdleTimeout}
	}, g.log)
	g.callers.ConnState = b.ConnState
	g.callersListener = b
	return b
}

// held returns what the node holds for requests, for the lines about its memory.
func (g *Gateway) held() decision.Fields {
	return decision.Fields{"active": g.handler.Active(), "held": g.handler.Held(), "taken": g.handler.Taken()}
}

// listen starts the servers.
func (g *Gateway) listen(ctx context.Context) error {
	calls, err := http1.NewListenConfig(handover.MaxSilence).Listen(ctx, "tcp4", netip.AddrPortFrom(g.config.IP, g.config.HandoverPort).String())
	if err != nil {
		return fmt.Errorf("%w: %v", ErrStart, err)
	}
	g.handoverCalls = handover.NewServer(calls, g.handler)
	directory := g.config.Answers(g)
	operators := http.NewServeMux()
	operators.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		g.metrics.Write(w)
		g.callersListener.WriteMetrics(w)
		g.memory.WriteMetrics(w)
		g.gossipMetrics.Write(w)
		g.crashMetrics.Write(w)
		g.reachMetrics.Write(w)
		g.owners.writeMetrics(w)
		g.storeMetrics.Write(w)
	})
	operators.HandleFunc("GET /state", g.serveState)
	operators.HandleFunc("GET /explain", g.serveExplain)
	operators.HandleFunc("DELETE /crashes/{print}", g.crashes.ServeClear)
	// The listener enforces the timeouts, as they follow the configuration.
	g.callers = &http.Server{Handler: g.handler, MaxHeaderBytes: maxHeaderBytes}
	targets := []struct {
		name   string
		addr   netip.AddrPort
		server *http.Server
	}{
		{"callers", g.config.Callers, g.callers},
		{"directory", g.config.Directory, &http.Server{Handler: directory, ReadHeaderTimeout: readHeaderTimeout}},
		{"ready", g.config.Ready, &http.Server{Handler: directory, ReadHeaderTimeout: readHeaderTimeout}},
		{"metrics", g.config.Metrics, &http.Server{Handler: operators, ReadHeaderTimeout: readHeaderTimeout}},
	}
	for _, t := range targets {
		l, err := net.Listen("tcp4", t.addr.String())
		if err != nil {
			return fmt.Errorf("%w: %v", ErrStart, err)
		}
		if t.server == g.callers {
			l = g.limitListener(l)
		}
		t.server.ErrorLog = decision.NewErrorLog(decision.ErrorLogConfig{
			Log: g.log, Server: t.name, Count: func() { g.metrics.ServerError(t.name) },
		})
		g.servers = append(g.servers, t.server)
		g.running.Go(func() {
			if err := t.server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				t.server.ErrorLog.Print(err)
			}
		})
	}
	return nil
}
