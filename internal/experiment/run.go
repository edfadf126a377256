package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/fleet"
	"bulrushhinge.example/bulrushhinge/internal/periodic"
	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	// sampleInterval is how often the endpoints' loads are sampled.
	sampleInterval = 100 * time.Millisecond
	// joinTimeout bounds the time until all nodes know each other.
	joinTimeout = time.Minute
	// grace is how long a node may go on after a planned stop, and drain how soon a
	// leaving endpoint must receive no more requests; the values are those of the
	// users' installations.
	grace      = 8 * time.Second
	drain      = 2 * time.Second
	retrySlack = 56
	// streamPrefix begins the paths that the stand-ins answer with events.
	streamPrefix = "/stream/"
)

var host = standin.Host()

type (
	// Config holds the settings of a run.
	Config struct {
		Plan *Plan
		// Program is the path of the program.
		Program string
		// Folder receives the nodes' settings and logs.
		Folder string
		// Settings are the nodes' extra settings in this run; the plan's if nil.
		Settings *Settings
	}

	run struct {
		config    Config
		network   string
		store     *standin.Store
		nodes     []*fleet.Process
		endpoints map[string][]*standin.Endpoint
		servers   []*http.Server
		result    *recorder
		// created is when the run was created, and began when callers began to send.
		created time.Time
		began   time.Time
	}
)

// Run executes a plan and returns what callers observed.
func Run(ctx context.Context, c Config) (*Result, error) {
	r := &run{
		config: c, network: fmt.Sprintf("127.%d.%d.", 192+rand.IntN(62), 1+rand.IntN(250)),
		store: standin.NewStore(), endpoints: map[string][]*standin.Endpoint{}, result: newRecorder(c.Plan),
		created: time.Now(),
	}
	defer r.end()
	if err := r.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Plan.Length)
	defer cancel()
	r.began = time.Now()
	var group sync.WaitGroup
	group.Go(func() { newCallers(r).sendRequests(ctx) })
	group.Go(func() { periodic.Run(ctx, sampleInterval, r.sample) })
	errs := make([]error, len(c.Plan.Faults))
	for i, f := range c.Plan.Faults {
		group.Go(func() { errs[i] = r.inject(ctx, f) })
	}
	group.Wait()
	return r.result.result(), errors.Join(errs...)
}

// start starts the stand-ins, then the nodes, and waits until all nodes know each
// other.
func (r *run) start() error {
	store, err := r.serve(r.store)
	if err != nil {
		return err
	}
	if err := r.store.Configure(r.config.Plan.config()); err != nil {
		return fmt.Errorf("experiment: configure: %w", err)
	}
	for _, s := range r.config.Plan.Services {
		for n := range s.Endpoints {
			if err := r.addEndpoint(s, n); err != nil {
				return err
			}
		}
	}
	port, err := fleet.FreePort(r.ip(1))
	if err != nil {
		return err
	}
	for n := range r.config.Plan.Nodes {
		p := &fleet.Process{
			Program: r.config.Program, Folder: r.config.Folder, Args: r.nodeSettings().args(),
			Settings: standin.Settings{
				Node: fmt.Sprint("n", n+1), IP: r.ip(n + 1), Port: port, Seeds: []netip.Addr{r.ip(1)}, Store: store,
				Drain: drain, Grace: grace, RetrySlack: retrySlack,
			},
		}
		r.nodes = append(r.nodes, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	return fleet.WaitForMembers(r.settings(), joinTimeout)
}

// nodeSettings returns the nodes' extra settings.
func (r *run) nodeSettings() Settings {
	if r.config.Settings != nil {
		return *r.config.Settings
	}
	return r.config.Plan.Settings
}

// settings returns the nodes' settings.
func (r *run) settings() []standin.Settings {
	var list []standin.Settings
	for _, n := range r.nodes {
		list = append(list, n.Settings)
	}
	return list
}

func (r *run) ip(n int) netip.Addr { return netip.MustParseAddr(fmt.Sprint(r.network, n)) }

// serve serves a handler on a free port of the run's own network.
func (r *run) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp4", r.network+"250:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("experiment: %w", err)
	}
	server := &http.Server{Handler: h}
	r.servers = append(r.servers, server)
	// Serve returns when the run closes the server.
	go func() { _ = server.Serve(l) }()
	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (r *run) addEndpoint(s Service, n int) error {
	c := r.config.Plan.endpointConfig(s, n, func(at time.Time) time.Duration { return at.Sub(r.created) })
	e := standin.NewEndpoint(c)
	addr, err := r.serve(e)
	if err != nil {
		return err
	}
	r.endpoints[s.Name] = append(r.endpoints[s.Name], e)
	err = r.store.Register(deployment.Endpoint{ID: c.ID, Service: s.Name, Addr: addr, Zone: "z1", Slots: s.Slots})
	if err != nil {
		return fmt.Errorf("experiment: register: %w", err)
	}
	return nil
}

// sample records the endpoints' loads.
func (r *run) sample(now time.Time) {
	for _, s := range r.config.Plan.Services {
		most, total := 0, 0
		for _, e := range r.endpoints[s.Name] {
			load := e.InFlight()
			most, total = max(most, load), total+load
		}
		r.result.addLoad(s.Name, now.Sub(r.began), most, float64(total)/float64(s.Endpoints))
	}
}

// inject causes a fault at its time, and ends it.
func (r *run) inject(ctx context.Context, f Fault) error {
	if !wait(ctx, f.At) {
		return nil
	}
	random := rand.New(rand.NewPCG(r.config.Plan.Seed, uint64(f.At)))
	switch f.Kind {
	case FaultOutage:
		r.store.SetDown(true)
		defer r.store.SetDown(false)
		wait(ctx, f.For)
	case FaultCrash:
		r.crashEndpoints(ctx, f, random)
	case FaultKill, FaultStop, FaultPause:
		return r.injectNodeFault(ctx, f, random)
	}
	return nil
}

func (r *run) crashEndpoints(ctx context.Context, f Fault, random *rand.Rand) {
	var all []*standin.Endpoint
	for _, s := range r.config.Plan.Services {
		all = append(all, r.endpoints[s.Name]...)
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, e := range all[:min(f.Count, len(all))] {
		e.SetFailing(true)
		defer e.SetFailing(false)
	}
	wait(ctx, f.For)
}

func (r *run) injectNodeFault(ctx context.Context, f Fault, random *rand.Rand) error {
	signals := map[string][2]syscall.Signal{
		FaultKill: {syscall.SIGKILL, 0}, FaultStop: {syscall.SIGTERM, 0}, FaultPause: {syscall.SIGSTOP, syscall.SIGCONT},
	}[f.Kind]
	var errs []error
	order := random.Perm(len(r.nodes))
	for _, i := range order[:min(f.Count, len(order))] {
		r.nodes[i].Signal(signals[0])
	}
	wait(ctx, f.For)
	for _, i := range order[:min(f.Count, len(order))] {
		if signals[1] != 0 {
			r.nodes[i].Signal(signals[1])
			continue
		}
		if !r.nodes[i].WaitExit(grace) {
			r.nodes[i].Signal(syscall.SIGKILL)
			r.nodes[i].WaitExit(grace)
		}
		errs = append(errs, r.nodes[i].Start())
	}
	return errors.Join(errs...)
}

// end stops the processes and servers that the run started, and nothing else.
func (r *run) end() {
	for _, n := range r.nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
}

// prefix returns the path prefix of a kind of request.
func (r Request) prefix() string {
	if kinds[r.Kind].Streams() {
		return streamPrefix + r.Name + "/"
	}
	return "/" + r.Name + "/"
}

// wait waits for d, and reports whether it elapsed before ctx ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// Folder creates a folder for a run's settings and logs.
func Folder(base, name string) (string, error) {
	path, err := os.MkdirTemp(base, "experiment-"+strings.ReplaceAll(name, string(os.PathSeparator), "-")+"-")
	if err != nil {
		return "", fmt.Errorf("experiment: %w", err)
	}
	return path, nil
}
