// Package soak runs the real program as several processes on loopback, injects a seeded
// series of faults from outside, and checks the platform's documented guarantees
// against what callers and endpoints observe.
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

// Sizes and timing of the fleet's environment.
const (
	servicePlain  = "plain"
	serviceEngine = "engine"
	// serviceSmall has few slots, so that a rush fills them.
	serviceSmall = "small"
	// serviceTiny has endpoints that start again at their address after restartTime.
	serviceTiny     = "tiny"
	tinyEndpoints   = 4
	restartTime     = 3 * time.Second
	smallEndpoints  = 3
	smallSlots      = 6
	smallQueue      = 20
	plainEndpoints  = 4
	engineEndpoints = 6
	slots           = 32
	streamEvents    = 20
	workTime        = 25 * time.Millisecond
	thinkTime       = 120 * time.Millisecond
	routeTimeout    = 6 * time.Second
	callerTimeout   = 7 * time.Second
	probeInterval   = 150 * time.Millisecond
	// joinTimeout bounds the time until all nodes know each other.
	joinTimeout = time.Minute
	// entryTTL is how long after a crash an endpoint's entry stays in the store.
	entryTTL = 3600 * time.Millisecond
	// coldTime is how long engines are cold, and coldRate how many requests a second
	// they can sustain while cold.
	coldTime = 2 * time.Second
	coldRate = 18
)

// Limits of the guarantees, with the values of the users' installations.
const (
	grace        = 8 * time.Second
	recoveryTime = 3 * time.Second
	drainBound   = 2 * time.Second
	applyBound   = 2 * time.Second
	// evacuateBound is how soon after an evacuation begins the zone's endpoints must
	// receive no more requests, and coldBound the most requests that a cold engine may
	// receive in one second.
	evacuateBound = 5 * time.Second
	coldBound     = coldRate*3/2 + 5
	budgetWindow  = 10 * time.Second
	// retrySlack is the retries that are allowed beside a share of the requests, and
	// scantSlack those in every second seed, one a node.
	retrySlack = 56
	scantSlack = 6
	// isolateBound is how soon after the third endpoint that ended under a request no
	// node may send it, but for lateCrashes more.
	isolateBound = 3 * time.Second
	lateCrashes  = 3
	// mayIsolate is the share of the popular requests that may be refused like one
	// that ends endpoints.
	mayIsolate = 0.02
	// cutShare and cutSlack bound the first tries at nodes that reach no endpoint
	// which may fail later than recoveryTime after the cut began.
	cutShare = 0.02
	cutSlack = 10
	// finishTime is how long after SIGTERM requests must be able to finish.
	finishTime = grace * 5 / 6
	// drainSlack allows for the delay between the store's answer and its record here.
	drainSlack = 100 * time.Millisecond
)

// zones are the availability zones of the endpoints.
var zones = []string{"z1", "z2"}

var (
	// ErrBroken is returned if a guarantee was violated.
	ErrBroken = errors.New("soak: a promise was broken")
	// ErrFault is returned for an unknown fault name.
	ErrFault = errors.New("soak: no such fault")
)

type (
	// Config holds the settings of a run.
	Config struct {
		// Program is the path of the program.
		Program string
		// Folder receives the nodes' settings and logs.
		Folder  string
		Seed    uint64
		Length  time.Duration
		Nodes   int
		Callers int
		// Faults names the faults to inject; all if empty.
		Faults []string
		// Without names the faults not to inject.
		Without []string
		// Owners is the number of slots per node below which a service has an owner; 0
		// for nodes without owners, which then get no settings for them.
		Owners float64
		// Timed also checks the guarantees with a time bound. On a machine with other
		// load their results mean little.
		Timed bool
		// Out receives the report.
		Out io.Writer
	}

	soak struct {
		config  Config
		faults  []fault
		world   *world
		ledger  *ledger
		callers *callers
		nodes   []*node
		began   time.Time
		// evacuating allows one evacuation at a time.
		evacuating sync.Mutex
		// restoring allows one restore of the store at a time.
		restoring sync.Mutex
		// rushing allows one rush to brittle endpoints at a time.
		rushing sync.Mutex
		// changing allows one series of changes at a time; changes counts them.
		changing  sync.Mutex
		changes   int
		scarce    *scarce
		processes processes

		mu     sync.Mutex
		errs   []error
		events []string
	}
)

// Run runs one seed. It returns ErrBroken if a guarantee was violated, and another
// error if the run itself failed.
func Run(ctx context.Context, c Config) error {
	selected, err := selectFaults(c.Faults, c.Without)
	if err != nil {
		return err
	}
	s := &soak{config: c, faults: selected, ledger: newLedger(c.Timed, c.retrySlack()), scarce: newScarce(), began: time.Now()}
	s.ledger.scarce = s.scarce
	defer s.end()
	if err := s.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Length)
	defer cancel()
	s.callers = &callers{soak: s, ledger: s.ledger}
	var group sync.WaitGroup
	group.Go(func() { s.callers.run(ctx, c.Callers, c.Seed) })
	group.Go(func() { s.callers.runScarce(ctx, c.Seed) })
	group.Go(func() { s.callers.probe(ctx) })
	group.Go(func() { s.watchOwner(ctx) })
	group.Go(func() { s.watchProcesses(ctx) })
	// Each run begins with a shortage, since there is often no other calm one.
	group.Go(func() { s.short(ctx) })
	group.Go(func() { s.injectFaults(ctx, rand.New(rand.NewPCG(c.Seed, 1))) })
	group.Wait()
	return s.report()
}

func (s *soak) start() error {
	// Each run uses loopback addresses of its own: on shared ones another run could
	// take a port that was freed here, and its requests would reach this run.
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
		if n.storeProxy, err = newProxy(world, func() netip.AddrPort { return s.world.storeAddr }); err != nil {
			return err
		}
		n.Settings = standin.Settings{
			Node: s.nodeName(i), IP: netip.MustParseAddr(fmt.Sprint(network, i+1)), Port: port,
			Seeds: seeds(network, s.config.Nodes), Store: n.storeProxy.addr(), Drain: drainBound, Grace: grace, RetrySlack: s.config.retrySlack(), Memory: memoryLimit,
		}
		if n.egress, err = newEgress(world, s.world); err != nil {
			return err
		}
		n.Args = append([]string{"--egress", n.egress.addr().String()}, s.config.ownerArgs()...)
		if n.callerProxy, err = newProxy(world, func() netip.AddrPort { return n.Callers() }); err != nil {
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
	return fleet.WaitForMembers(all, joinTimeout)
}

// retrySlack returns the retries that are allowed beside a share of the requests.
func (c Config) retrySlack() int {
	if c.Seed%2 == 1 {
		return scantSlack
	}
	return retrySlack
}

// nodeName returns the name of the node at a position. It depends on the seed: names
// decide which node owns a service, and it should not always be at the same position.
func (s *soak) nodeName(i int) string {
	nodes := uint64(s.config.Nodes)
	return fmt.Sprint("n", (uint64(i)+s.config.Seed)%nodes+1)
}

// incarnation returns the running incarnation of the node at an address.
func (s *soak) incarnation(addr netip.AddrPort) incarnation {
	for _, n := range s.nodes {
		if n.Callers() == addr {
			return incarnation{node: n.Node, start: n.Starts()}
		}
	}
	return incarnation{}
}

// seeds returns the addresses of the first nodes.
func seeds(network string, nodes int) []netip.Addr {
	const most = 3
	var list []netip.Addr
	for i := range min(nodes, most) {
		list = append(list, netip.MustParseAddr(fmt.Sprint(network, i+1)))
	}
	return list
}

// end stops the processes and proxies that the run started, and nothing else.
func (s *soak) end() {
	for _, n := range s.nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.storeProxy.close()
		n.callerProxy.close()
		n.egress.close()
	}
}

func (s *soak) recordError(err error) {
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

// report prints a summary of the run, and the schedule of faults if a guarantee was
// violated.
func (s *soak) report() error {
	broken := s.ledger.finish()
	if most := s.world.peakColdRate(); most > coldBound {
		broken = append(broken, fmt.Sprintf("a cold engine got %d requests in a second", most))
	}
	broken = append(broken, s.processes.check()...)
	broken = append(broken, s.ledger.endless.check()...)
	broken = append(broken, s.ledger.losses.check(s.config.Folder)...)
	outcomes := make([]string, 0, len(s.ledger.outcomes))
	for outcome, n := range s.ledger.outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", outcome, n))
	}
	slices.Sort(outcomes)
	if tries, failed := s.ledger.cuts.count(); tries > 0 {
		outcomes = append(outcomes, fmt.Sprintf("at cut nodes: %d, %d failed", tries, failed))
	}
	if rushes, falls := s.ledger.brittles.count(); rushes > 0 {
		outcomes = append(outcomes, fmt.Sprintf("rushes: %d, %d endpoints fell over", rushes, falls))
	}
	fmt.Fprintf(s.config.Out, "seed %d: %d faults, %v\n", s.config.Seed, len(s.events), outcomes)
	fmt.Fprintf(s.config.Out, "seed %d: %s\n", s.config.Seed, s.scarce.report(s.config.Folder))
	fmt.Fprintf(s.config.Out, "seed %d: %s; %s\n", s.config.Seed, s.processes.report(), s.ledger.losses.report())
	if text := s.ledger.endless.report(); text != "" {
		fmt.Fprintf(s.config.Out, "seed %d: %s\n", s.config.Seed, text)
	}
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

// Folder creates a folder for a seed's settings and logs.
func Folder(base string, seed uint64) (string, error) {
	path, err := os.MkdirTemp(base, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	return path, nil
}
