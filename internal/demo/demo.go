// Package demo runs an example deployment through a bounded mixed workload and
// checks the fleet's promises on the way: returning chats, plain services and
// calls that must not be repeated, while an endpoint joins, another leaves and a
// node stops.
package demo

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// Defaults of a Config.
const (
	DefaultDuration = 8 * time.Second
	DefaultOvertime = 30 * time.Second
	DefaultCallers  = 48
)

const (
	readyTimeout   = 30 * time.Second
	finishTimeout  = 30 * time.Second
	progressPeriod = time.Second
	samplePeriod   = 20 * time.Millisecond
	// leaveGrace is how long a leaving endpoint may still get new work.
	leaveGrace = 2500 * time.Millisecond
)

// Shares of the duration after which something happens.
const (
	joinShare  = 0.15
	leaveShare = 0.3
	stopShare  = 0.5
)

var (
	// ErrBroken is returned where a promise of the fleet did not hold.
	ErrBroken = errors.New("demo: a promise was broken")
	// ErrDeployment is returned for an example that does not exist.
	ErrDeployment = errors.New("demo: unknown deployment")

	// Deployments is the example deployments by name.
	Deployments = map[string]func() loopback.Config{
		"thies":      loopback.Thies,
		"karamanlis": loopback.Karamanlis,
	}
)

type (
	// Config is the settings of a Demo; zero values are defaults.
	Config struct {
		// Deployment is the name of an example.
		Deployment string
		// Duration is how long callers send requests.
		Duration time.Duration
		// Overtime is how much longer they do so where the endpoint that joined
		// has got no work yet, as on a slow machine.
		Overtime time.Duration
		// Callers is how many callers there are at once.
		Callers int
		// Out takes progress and summary.
		Out io.Writer
	}

	// Demo is a running example deployment.
	Demo struct {
		config   Config
		fleet    *loopback.Fleet
		example  loopback.Config
		model    string
		plain    string
		started  time.Time
		tally    *tally
		skew     *skew
		leaving  *loopback.Endpoint
		joined   atomic.Pointer[loopback.Endpoint]
		leftWith int
		printing sync.Mutex
	}
)

// New starts the example deployment.
func New(c Config) (*Demo, error) {
	c.Duration = cmp.Or(c.Duration, DefaultDuration)
	c.Overtime = cmp.Or(c.Overtime, DefaultOvertime)
	c.Callers = cmp.Or(c.Callers, DefaultCallers)
	example, ok := Deployments[c.Deployment]
	if !ok {
		return nil, fmt.Errorf("%w: %q", ErrDeployment, c.Deployment)
	}
	d := &Demo{config: c, example: example(), tally: newTally()}
	d.skew = &skew{bound: d.example.Manifest.Deployments[0].Bound}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.example.Log = log
	d.model = d.example.Manifest.Models[0].Name
	d.plain = plainService(d.example.Manifest)
	var err error
	if d.fleet, err = loopback.New(d.example); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := d.fleet.Ready(ctx); err != nil {
		return nil, errors.Join(err, d.fleet.Close())
	}
	d.printf("deployment %s: %d nodes, %d endpoints, %d client accounts\n", c.Deployment,
		len(d.example.Nodes), len(d.example.Endpoints), len(d.example.Manifest.Accounts))
	return d, nil
}

// Close stops the deployment.
func (d *Demo) Close() error { return d.fleet.Close() }

// Run sends the workload and prints a summary. It returns ErrBroken where a
// promise did not hold.
func (d *Demo) Run(ctx context.Context) error {
	d.started = time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.config.Duration+d.config.Overtime+finishTimeout)
	defer cancel()
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { d.watch(stop) })
	var changing, working sync.WaitGroup
	changed := make(chan error, 1)
	changing.Go(func() { changed <- d.change(ctx) })
	for i := range d.config.Callers {
		working.Go(func() { d.newCaller(i).work(ctx) })
	}
	working.Wait()
	changing.Wait()
	close(stop)
	watching.Wait()
	if err := <-changed; err != nil {
		return err
	}
	return d.report()
}

// Addr returns where callers reach the first node.
func (d *Demo) Addr() netip.AddrPort { return d.fleet.Caller(d.example.Nodes[0].Name) }

// Curl returns the lines by which a shell reaches the deployment.
func (d *Demo) Curl() string {
	return fmt.Sprintf(`export NODE=%v KEY=%s MODEL=%s SERVICE=%s
curl -N -H "Authorization: Bearer $KEY" http://$NODE%s -d "{\"model\":\"$MODEL\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"
`, d.Addr(), loopback.Secret(d.account(0)), d.model, d.plain, entry.PathChat)
}

// change makes an endpoint join, another leave and a node stop.
func (d *Demo) change(ctx context.Context) error {
	engine := d.example.Endpoints[0]
	joining := engine
	joining.Name = "joined"
	d.until(joinShare)
	if err := d.fleet.StartEndpoint(joining); err != nil {
		return err
	}
	d.joined.Store(d.fleet.Endpoint(joining.Name))
	d.event("endpoint %s joins", joining.Name)
	d.until(leaveShare)
	d.leaving = d.fleet.Endpoint(engine.Name)
	if err := d.fleet.LeaveEndpoint(engine.Name); err != nil {
		return err
	}
	d.event("endpoint %s leaves", engine.Name)
	grace := time.AfterFunc(leaveGrace, func() {
		d.printing.Lock()
		defer d.printing.Unlock()
		d.leftWith = d.leaving.Started()
	})
	defer grace.Stop()
	d.until(stopShare)
	last := d.example.Nodes[len(d.example.Nodes)-1].Name
	d.event("node %s stops", last)
	if err := d.fleet.StopNode(ctx, last); err != nil {
		return err
	}
	d.event("node %s has stopped", last)
	d.until(1)
	return nil
}

// watch prints progress and samples the engines' loads.
func (d *Demo) watch(stop <-chan struct{}) {
	progress := time.NewTicker(progressPeriod)
	defer progress.Stop()
	sample := time.NewTicker(samplePeriod)
	defer sample.Stop()
	for {
		select {
		case <-stop:
			return
		case <-progress.C:
			d.event("%d answers", d.tally.answers())
		case <-sample.C:
			d.skew.sample(d.engines())
		}
	}
}

// engines returns the loads of the engines that take work.
func (d *Demo) engines() []int {
	var loads []int
	service := d.example.Endpoints[0].Service
	for _, e := range d.fleet.Endpoints() {
		if e.Service == service && !e.Leaving() {
			loads = append(loads, e.Running())
		}
	}
	return loads
}

// joinedWorks reports whether the endpoint that joined got work.
func (d *Demo) joinedWorks() bool {
	e := d.joined.Load()
	return e != nil && e.Started() > 0
}

// until waits for a share of the duration.
func (d *Demo) until(share float64) {
	time.Sleep(time.Until(d.started.Add(time.Duration(share * float64(d.config.Duration)))))
}

func (d *Demo) account(i int) string {
	accounts := d.example.Manifest.Accounts
	return accounts[i%len(accounts)].Name
}

func (d *Demo) event(format string, args ...any) {
	d.printf("%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demo) printf(format string, args ...any) {
	d.printing.Lock()
	defer d.printing.Unlock()
	fmt.Fprintf(d.config.Out, format, args...)
}

func plainService(m *manifest.Manifest) string {
	for _, s := range m.Services {
		if s.Kind == manifest.KindPlain {
			return s.Name
		}
	}
	return ""
}

// addrs returns where callers reach the first nodes.
func (d *Demo) addrs() []netip.AddrPort {
	const seeds = 3
	var list []netip.AddrPort
	for _, n := range d.example.Nodes[:min(seeds, len(d.example.Nodes))] {
		list = append(list, d.fleet.Caller(n.Name))
	}
	return list
}

func holds(text, part string) bool { return strings.Contains(text, part) }
