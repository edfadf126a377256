package main

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge"
)

type nodeCommand struct {
	Instance  string         `help:"Name of this instance on the platform's list." required:""`
	Zone      string         `help:"Availability zone of this instance." required:""`
	Callers   netip.AddrPort `help:"Address for callers." default:"127.0.0.1:8080"`
	Peers     netip.AddrPort `help:"Address for other nodes." default:"127.0.0.1:8081"`
	Operators netip.AddrPort `help:"Address for operators." default:"127.0.0.1:8082"`
	Platform  netip.AddrPort `help:"Address of the platform." required:""`
	Keys      []string       `help:"Operators' Ed25519 public keys, in hexadecimal." required:""`
	Grace     time.Duration  `help:"How long a stopping node still takes requests." default:"2s"`
	Linger    time.Duration  `help:"How long a stopping node at least refuses requests before its listener closes." default:"1s"`
	Patience  time.Duration  `help:"How long a stopping node waits for requests in progress." default:"5m"`
}

// Run runs a node until it is told to stop.
func (c *nodeCommand) Run() error {
	keys, err := parseKeys(c.Keys)
	if err != nil {
		return err
	}
	listeners, err := listen(c.Callers, c.Peers, c.Operators)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	n, err := bulrushhinge.New(bulrushhinge.Config{
		Instance: c.Instance, Zone: c.Zone,
		Callers: listeners[0], Peers: listeners[1], Operators: listeners[2],
		Platform: c.Platform, Keys: keys, Grace: c.Grace, Linger: c.Linger,
		Log: logrus.WithField("instance", c.Instance),
	})
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{
		"instance": c.Instance, "callers": listeners[0].Addr().String(), "peers": listeners[1].Addr().String(), "operators": listeners[2].Addr().String(),
	}).Info("node started")
	<-stop.Done()
	logrus.WithField("instance", c.Instance).Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), c.Grace+c.Linger+c.Patience)
	defer cancel()
	return n.Stop(ctx)
}

func parseKeys(texts []string) ([]ed25519.PublicKey, error) {
	var keys []ed25519.PublicKey
	var errs []error
	for _, text := range texts {
		key, err := hex.DecodeString(text)
		if err != nil || len(key) != ed25519.PublicKeySize {
			errs = append(errs, fmt.Errorf("keys: %q is no Ed25519 public key in hexadecimal", text))
			continue
		}
		keys = append(keys, key)
	}
	return keys, errors.Join(errs...)
}

func listen(addrs ...netip.AddrPort) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, addr := range addrs {
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}
