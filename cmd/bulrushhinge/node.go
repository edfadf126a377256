package main

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge"
	"bulrushhinge.example/bulrushhinge/internal/caller"
)

type nodeCommand struct {
	Instance     string             `help:"Name of this instance on the platform's list (required)." need:"true"`
	Zone         string             `help:"Availability zone of this instance (required)." need:"true"`
	Callers      address            `help:"Address and port for callers." default:"127.0.0.1:8080"`
	Peers        address            `help:"Address and port for other nodes." default:"127.0.0.1:8081"`
	Operators    address            `help:"Address and port for operators." default:"127.0.0.1:8082"`
	Platform     address            `help:"Address and port of the platform (required)." need:"true" placeholder:"ADDR:PORT"`
	Join         []address          `help:"Addresses and ports for peers of some other nodes, separated by commas: a node that starts while the platform is down asks them for the instance list." placeholder:"ADDR:PORT,..."`
	Keys         []publicKey        `help:"Operators' Ed25519 public keys in hexadecimal, separated by commas (required)." need:"true" placeholder:"KEY,..."`
	Token        string             `help:"Secret that operators show as a bearer token; without one only health and readiness are served."`
	FleetKey     []secret           `name:"fleet-key" help:"Secrets that the fleet's nodes share, of 64 hexadecimal digits, separated by commas: the first is shown to peers, all are accepted (required). Give them in the environment, not on the command line." need:"true" placeholder:"SECRET,..."`
	Import       map[string]float64 `help:"What importing a cached token costs a service's engines, over computing it: SERVICE=COST."`
	Grace        duration           `help:"How long a stopping node still takes requests." default:"2s"`
	Linger       duration           `help:"How long a stopping node at least refuses requests before its listener closes." default:"1s"`
	Patience     duration           `help:"How long a stopping node waits for requests in progress." default:"5m"`
	Timeout      duration           `help:"Deadline of a request that names none." default:"3m"`
	MaxTimeout   duration           `name:"max-timeout" help:"Longest deadline that a request can name." default:"15m"`
	ReadTimeout  duration           `name:"read-timeout" help:"How long a caller may take to send a body." default:"30s"`
	WriteTimeout duration           `name:"write-timeout" help:"How long a caller may take to read a piece of its answer." default:"20s"`
	MaxBody      count              `name:"max-body" help:"Largest request body, in bytes." default:"4194304"`
	MaxHeld      count              `name:"max-held" help:"Request bodies, answers not streamed and long events that the node holds at once, in bytes together." default:"67108864"`
	MaxAnswer    count              `name:"max-answer" help:"Largest answer that is not streamed, in bytes." default:"16777216"`
	MaxActive    count              `name:"max-active" help:"Requests that the node serves at once." default:"8192"`
	MaxWaiting   count              `name:"max-waiting" help:"Requests that wait for an endpoint at once." default:"2048"`
	MaxAccount   count              `name:"max-account" help:"Requests of one client account that wait at once." default:"512"`
	Traces       count              `help:"Requests whose decisions are kept for operators." default:"1024"`
	Check        bool               `help:"Check the settings and end."`
	Level        string             `help:"Least level that is logged: debug, info, warn or error." default:"info"`
}

// Validate reports every invalid setting at once.
func (c *nodeCommand) Validate() error {
	err := checkSettings(c)
	if c.Timeout.Duration > c.MaxTimeout.Duration {
		err = errors.Join(err, fmt.Errorf("--timeout (%s) %v is over --max-timeout %v", envOf("timeout"), c.Timeout.Duration, c.MaxTimeout.Duration))
	}
	if _, bad := logrus.ParseLevel(c.Level); bad != nil {
		err = errors.Join(err, fmt.Errorf("--level (%s): %w", envOf("level"), bad))
	}
	return err
}

// Run runs a node until it is told to stop.
func (c *nodeCommand) Run() error {
	if c.Check {
		return nil
	}
	listeners, err := listen(c.Callers.AddrPort, c.Peers.AddrPort, c.Operators.AddrPort)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	n, err := bulrushhinge.New(c.config(listeners))
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{
		"instance": c.Instance, "callers": listeners[0].Addr().String(), "peers": listeners[1].Addr().String(), "operators": listeners[2].Addr().String(),
	}).Info("node started")
	<-stop.Done()
	logrus.WithField("instance", c.Instance).Info("node stopping")
	ctx, cancel := context.WithTimeout(context.Background(), c.Grace.Duration+c.Linger.Duration+c.Patience.Duration)
	defer cancel()
	return n.Stop(ctx)
}

func (c *nodeCommand) config(listeners []net.Listener) bulrushhinge.Config {
	if level, err := logrus.ParseLevel(c.Level); err == nil {
		logrus.SetLevel(level)
	}
	keys := make([]ed25519.PublicKey, len(c.Keys))
	for i, k := range c.Keys {
		keys[i] = k.key
	}
	secrets := make([][]byte, len(c.FleetKey))
	for i, s := range c.FleetKey {
		secrets[i] = s.data
	}
	return bulrushhinge.Config{
		Instance: c.Instance, Zone: c.Zone,
		Callers: listeners[0], Peers: listeners[1], Operators: listeners[2],
		Platform: c.Platform.AddrPort, Join: addresses(c.Join), Keys: keys, Import: c.Import, FleetSecrets: secrets,
		Grace: c.Grace.Duration, Linger: c.Linger.Duration,
		Limits: caller.Config{
			Timeout: c.Timeout.Duration, MaxTimeout: c.MaxTimeout.Duration,
			ReadTimeout: c.ReadTimeout.Duration, WriteTimeout: c.WriteTimeout.Duration,
			MaxBody: int64(c.MaxBody.n), MaxHeld: int64(c.MaxHeld.n), MaxAnswer: int64(c.MaxAnswer.n),
			MaxActive: c.MaxActive.n, MaxWaiting: c.MaxWaiting.n, MaxAccount: c.MaxAccount.n,
		},
		Token: c.Token, Traces: c.Traces.n,
		Log: logrus.WithField("instance", c.Instance),
	}
}

func addresses(list []address) []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(list))
	for i, a := range list {
		addrs[i] = a.AddrPort
	}
	return addrs
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
