// Package soak runs the real program as many processes on loopback, injects
// faults from outside, as a seed draws them, and checks the promises of the
// platform's pages by what callers and endpoints see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/fleet"
	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// Sizes and times of what the fleet runs in.
const (
	servicePlain    = "plain"
	serviceEngine   = "engine"
	plainEndpoints  = 4
	engineEndpoints = 6
	slots           = 32
	streamEvents    = 20
	workTime        = 25 * time.Millisecond
	thinkTime       = 120 * time.Millisecond
	routeTimeout    = 6 * time.Second
	callerTimeout   = 7 * time.Second
	probeInterval   = 150 * time.Millisecond
	// meetTimeout bounds the time until all nodes know each other.
	meetTimeout = time.Minute
	// lapseTime is how long an endpoint's entry outlives it.
	lapseTime = 3600 * time.Millisecond
	// coldTime is for how long engines are cold, and coldRate how many requests a
	// second they then bear.
	coldTime = 2 * time.Second
	coldRate = 18
)

// Bounds of the promises, as the users' installations have them.
const (
	grace      = 8 * time.Second
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
	applyBound = 2 * time.Second
	// evacuateBound is within what time a zone's endpoints get nothing more, and
	// coldBound the most that a cold engine gets in one second.
	evacuateBound = 5 * time.Second
	coldBound     = coldRate*3/2 + 5
	budgetWindow  = 10 * time.Second
	retrySlack    = 56
	// drainSlack is for the way between the store's answer and the note of it.
	drainSlack = 100 * time.Millisecond
)

// zones are the availability zones of the endpoints.
var zones = []string{"z1", "z2"}

var (
	// ErrBroken is returned where a promise was broken.
	ErrBroken = errors.New("soak: a promise was broken")
	// ErrFault is returned for the name of a fault that is not there.
	ErrFault = errors.New("soak: no such fault")
)

type (
	// Config is the settings of a run.
	Config struct {
		// Program is the path of the program.
		Program string
		// Folder takes settings and logs.
		Folder  string
		Seed    uint64
		Length  time.Duration
		Nodes   int
		Callers int
		// Faults are the names of those that are drawn, all if empty.
		Faults []string
		// Timed checks the promises with a time bound too; on a machine that is
		// busy with other things they say little.
		Timed bool
		// Out takes the report.
		Out io.Writer
	}

	soak struct {
		config Config
		faults []fault
		world  *world
		ledger *ledger
		nodes  []*node
		began  time.Time
		// evacuating is held by the only evacuation at a time.
		evacuating sync.Mutex
		// restoring is held by the only restore of the store at a time.
		restoring sync.Mutex

		mu     sync.Mutex
		errs   []error
		events []string
	}
)

// Run runs one seed. It returns ErrBroken where a promise was broken, and
// another error where the run itself failed.
func Run(ctx context.Context, c Config) error {
	drawn, err := chosen(c.Faults)
	if err != nil {
		return err
	}
	s := &soak{config: c, faults: drawn, ledger: newLedger(c.Timed), began: time.Now()}
	defer s.end()
	if err := s.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	k := &callers{soak: s, ledger: s.ledger}
	var group sync.WaitGroup
	group.Go(func() { k.run(ctx, c.Callers, c.Seed) })
	group.Go(func() { k.probe(ctx) })
	group.Go(func() { s.strike(ctx, rand.New(rand.NewPCG(c.Seed, 1))) })
	group.Wait()
	return s.report()
}

func (s *soak) start() error {
	// All addresses are the run's own, so that a port which is free again is not
	// taken by another run, whose requests would come here.
	network := fmt.Sprintf("127.%d.%d.", 192+rand.IntN(62), 1+rand.IntN(250))
	world := network + "250"
	var err error
	if s.world, err = newWorld(world, s.ledger); err != nil {
		return err
	}
	port, err := fleet.FreePort(netip.MustParseAddr(network + "1"))
	if err != nil {
		return err
	}
	for i := range s.config.Nodes {
		n := &node{Process: &fleet.Process{Program: s.config.Program, Folder: s.config.Folder}}
		if n.store, err = newProxy(world, func() netip.AddrPort { return s.world.storeAddr }); err != nil {
			return err
		}
		n.Settings = standin.Settings{
			Node: fmt.Sprint("n", i+1), IP: netip.MustParseAddr(fmt.Sprint(network, i+1)), Port: port,
			Seeds: seeds(network, s.config.Nodes), Store: n.store.addr(), Drain: drainBound, Grace: grace, RetrySlack: retrySlack,
		}
		if n.front, err = newProxy(world, func() netip.AddrPort { return n.Callers() }); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	var all []standin.Settings
	for _, n := range s.nodes {
		if err := n.Start(); err != nil {
			return err
		}
		all = append(all, n.Settings)
	}
	return fleet.Meet(all, meetTimeout)
}

// life is the start of the node at an address that runs now.
func (s *soak) life(addr netip.AddrPort) life {
	for _, n := range s.nodes {
		if n.Callers() == addr {
			return life{node: n.Node, start: n.Starts()}
		}
	}
	return life{}
}

// seeds are the addresses of the first nodes.
func seeds(network string, nodes int) []netip.Addr {
	const most = 3
	var list []netip.Addr
	for i := range min(nodes, most) {
		list = append(list, netip.MustParseAddr(fmt.Sprint(network, i+1)))
	}
	return list
}

// end ends what the run started, and nothing else.
func (s *soak) end() {
	for _, n := range s.nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.store.close()
		n.front.close()
	}
}

func (s *soak) note(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

func (s *soak) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(format, args...))
}

// report prints what happened, the schedule too where a promise was broken.
func (s *soak) report() error {
	broken := s.ledger.finish()
	if most := s.world.chilled(); most > coldBound {
		broken = append(broken, fmt.Sprintf("a cold engine got %d requests in a second", most))
	}
	outcomes := make([]string, 0, len(s.ledger.outcomes))
	for outcome, n := range s.ledger.outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", outcome, n))
	}
	slices.Sort(outcomes)
	fmt.Fprintf(s.config.Out, "seed %d: %d faults, %v\n", s.config.Seed, len(s.events), outcomes)
	if err := errors.Join(s.errs...); err != nil {
		return err
	}
	if len(broken) == 0 {
		return nil
	}
	for _, line := range s.events {
		fmt.Fprintln(s.config.Out, line)
	}
	for _, line := range broken {
		fmt.Fprintln(s.config.Out, "BROKEN:", line)
	}
	fmt.Fprintln(s.config.Out, "logs:", s.config.Folder)
	return fmt.Errorf("%w: seed %d", ErrBroken, s.config.Seed)
}

// Folder returns a new folder for a seed's settings and logs.
func Folder(base string, seed uint64) (string, error) {
	path, err := os.MkdirTemp(base, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	return path, nil
}
