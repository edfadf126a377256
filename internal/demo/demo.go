// Package demo runs an example deployment under a mixed workload of limited
// duration and checks the fleet's guarantees. The workload consists of returning
// chats, calls of plain services and calls that must not be repeated; meanwhile an
// endpoint joins, another leaves and a node stops.
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
	// leaveGrace is how long a leaving endpoint may still get new requests.
	leaveGrace = 2500 * time.Millisecond
)

// Fractions of the duration after which an endpoint joins, another leaves and a
// node stops.
const (
	joinFraction  = 0.15
	leaveFraction = 0.3
	stopFraction  = 0.5
)

var (
	// ErrBroken is returned if a guarantee of the fleet did not hold.
	ErrBroken = errors.New("demo: a promise was broken")
	// ErrDeployment is returned for an unknown example deployment.
	ErrDeployment = errors.New("demo: unknown deployment")

	// Deployments holds the example deployments by name.
	Deployments = map[string]func() loopback.Config{
		"thies":      loopback.Thies,
		"karamanlis": loopback.Karamanlis,
	}
)

type (
	// Config holds the settings of a Demo. Zero values of Duration, Overtime and
	// Callers select the defaults.
	Config struct {
		// Deployment is a key of Deployments.
		Deployment string
		// Duration is how long callers send requests.
		Duration time.Duration
		// Overtime is how much longer they continue while the endpoint that
		// joined has got no request, as may happen on a slow machine.
		Overtime time.Duration
		// Callers is the number of concurrent callers.
		Callers int
		// Out receives the progress and the summary.
		Out io.Writer
	}

	// Demo is a running example deployment.
	Demo struct {
		config         Config
		fleet          *loopback.Fleet
		example        loopback.Config
		model          string
		plain          string
		started        time.Time
		tally          *tally
		skew           *skew
		leaving        *loopback.Endpoint
		joined         atomic.Pointer[loopback.Endpoint]
		startedInGrace int
		printing       sync.Mutex
	}
)

// New starts the example deployment and waits until it is ready. It returns
// ErrDeployment if the example is unknown.
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

// Run sends the workload and prints a summary. It returns ErrBroken if a
// guarantee did not hold.
func (d *Demo) Run(ctx context.Context) error {
	d.started = time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.config.Duration+d.config.Overtime+finishTimeout)
	defer cancel()
	stop := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { d.monitor(stop) })
	var changing, working sync.WaitGroup
	changed := make(chan error, 1)
	changing.Go(func() { changed <- d.changeFleet(ctx) })
	for i := range d.config.Callers {
		working.Go(func() { d.newCaller(i).run(ctx) })
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

// Addr returns the caller address of the first node.
func (d *Demo) Addr() netip.AddrPort { return d.fleet.Caller(d.example.Nodes[0].Name) }

// Curl returns shell commands that send a request to the deployment.
func (d *Demo) Curl() string {
	return fmt.Sprintf(`export NODE=%v KEY=%s MODEL=%s SERVICE=%s
curl -N -H "Authorization: Bearer $KEY" http://$NODE%s -d "{\"model\":\"$MODEL\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"
`, d.Addr(), loopback.Secret(d.account(0)), d.model, d.plain, entry.PathChat)
}

// changeFleet lets an endpoint join, another leave and a node stop, and waits for
// the end of the duration.
func (d *Demo) changeFleet(ctx context.Context) error {
	engine := d.example.Endpoints[0]
	joining := engine
	joining.Name = "joined"
	d.sleepUntil(joinFraction)
	if err := d.fleet.StartEndpoint(joining); err != nil {
		return err
	}
	d.joined.Store(d.fleet.Endpoint(joining.Name))
	d.event("endpoint %s joins", joining.Name)
	d.sleepUntil(leaveFraction)
	d.leaving = d.fleet.Endpoint(engine.Name)
	if err := d.fleet.LeaveEndpoint(engine.Name); err != nil {
		return err
	}
	d.event("endpoint %s leaves", engine.Name)
	grace := time.AfterFunc(leaveGrace, func() {
		d.printing.Lock()
		defer d.printing.Unlock()
		d.startedInGrace = d.leaving.Started()
	})
	defer grace.Stop()
	d.sleepUntil(stopFraction)
	last := d.example.Nodes[len(d.example.Nodes)-1].Name
	d.event("node %s stops", last)
	if err := d.fleet.StopNode(ctx, last); err != nil {
		return err
	}
	d.event("node %s has stopped", last)
	d.sleepUntil(1)
	return nil
}

// monitor prints the progress and samples the engines' loads until stop is closed.
func (d *Demo) monitor(stop <-chan struct{}) {
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
			d.skew.sample(d.engineLoads())
		}
	}
}

// engineLoads returns the loads of the engines that are not leaving.
func (d *Demo) engineLoads() []int {
	var loads []int
	service := d.example.Endpoints[0].Service
	for _, e := range d.fleet.Endpoints() {
		if e.Service == service && !e.Leaving() {
			loads = append(loads, e.Running())
		}
	}
	return loads
}

// joinedHasWork reports whether the endpoint that joined has got a request.
func (d *Demo) joinedHasWork() bool {
	e := d.joined.Load()
	return e != nil && e.Started() > 0
}

// sleepUntil sleeps until that fraction of the duration has elapsed.
func (d *Demo) sleepUntil(fraction float64) {
	time.Sleep(time.Until(d.started.Add(time.Duration(fraction * float64(d.config.Duration)))))
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

// addrs returns the caller addresses of the first nodes.
func (d *Demo) addrs() []netip.AddrPort {
	const seeds = 3
	var list []netip.AddrPort
	for _, n := range d.example.Nodes[:min(seeds, len(d.example.Nodes))] {
		list = append(list, d.fleet.Caller(n.Name))
	}
	return list
}

func contains(text, part string) bool { return strings.Contains(text, part) }
