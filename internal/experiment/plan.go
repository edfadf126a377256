// Package experiment drives processes of the real program, with stand-ins for the store
// and the endpoints, by the load and faults of a plan, and reports what callers
// observed.
package experiment

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// ErrPlan is returned for an invalid plan.
var ErrPlan = errors.New("experiment: plan")

// Kinds of faults.
const (
	// FaultKill kills nodes and starts them again, FaultStop does so with a planned
	// stop, and FaultPause suspends them.
	FaultKill  = "kill"
	FaultStop  = "stop"
	FaultPause = "pause"
	// FaultCrash makes endpoints break off their answers for a time, and FaultOutage
	// makes the store refuse all calls.
	FaultCrash  = "crash"
	FaultOutage = "outage"
	// FaultBurst multiplies the rate.
	FaultBurst = "burst"
)

type (
	// Plan describes one experiment.
	Plan struct {
		// Nodes is how many processes of the program run.
		Nodes int `toml:"nodes"`
		// Length is how long callers send requests.
		Length time.Duration `toml:"length"`
		// Rate is the number of requests a second.
		Rate float64 `toml:"rate"`
		// Accounts is the number of client accounts that send requests, and Skew the
		// exponent of the Zipf distribution of their shares; 0 for equal shares.
		Accounts int     `toml:"accounts"`
		Skew     float64 `toml:"skew"`
		Seed     uint64  `toml:"seed"`
		// Settings are extra settings of the nodes.
		Settings

		Services []Service `toml:"service"`
		Requests []Request `toml:"request"`
		Faults   []Fault   `toml:"fault"`
		// Shifts change the load during the run, in order of time.
		Shifts []Shift `toml:"shift"`
		// Surges make single accounts send more for a time.
		Surges []Surge `toml:"surge"`
	}

	// Shift changes the load for the rest of the run, or until the next shift.
	Shift struct {
		At time.Duration `toml:"at"`
		// Rate is the number of requests a second from then on; 0 leaves it unchanged.
		Rate float64 `toml:"rate"`
		// Shares are the new shares of some requests, by request name.
		Shares map[string]float64 `toml:"share"`
	}

	// Service is a set of stand-in endpoints.
	Service struct {
		Name      string `toml:"name"`
		Endpoints int    `toml:"endpoints"`
		Slots     int    `toml:"slots"`
		Queue     int    `toml:"queue"`
		// Work is how long a plain answer takes, or the time between two events.
		Work time.Duration `toml:"work"`
		// Events is the number of events of a stream; 0 for plain answers.
		Events int `toml:"events"`
		// Uneven makes some of the endpoints slower, others in each period; nil if
		// all keep their speed.
		Uneven *Uneven `toml:"uneven"`
	}

	// Request is one kind of request.
	Request struct {
		Name    string `toml:"name"`
		Service string `toml:"service"`
		// Kind is once, idempotent, stream or resumable.
		Kind string `toml:"kind"`
		// Share is the weight of this request relative to the others.
		Share float64 `toml:"share"`
		// Objective is when the first byte is due, and Timeout when the caller gives
		// up.
		Objective time.Duration `toml:"objective"`
		Timeout   time.Duration `toml:"timeout"`
		// Priority is the rank of the request's route; 0 is the most urgent.
		Priority int `toml:"priority"`
		// Large is the part of these requests that take LargeTimes as much work.
		Large      float64 `toml:"large"`
		LargeTimes float64 `toml:"large_times"`
	}

	// Fault is an injected fault.
	Fault struct {
		Kind string        `toml:"kind"`
		At   time.Duration `toml:"at"`
		// For is how long it lasts.
		For time.Duration `toml:"for"`
		// Count is the number of nodes or endpoints affected, and Times the factor by
		// which a burst multiplies the rate.
		Count int     `toml:"count"`
		Times float64 `toml:"times"`
	}
)

var kinds = map[string]deployment.Kind{
	"once": deployment.AtMostOnce, "idempotent": deployment.Idempotent, "stream": deployment.Streaming, "resumable": deployment.Resumable,
}

// Parse reads a plan from TOML and checks it.
func Parse(text string) (*Plan, error) {
	var p Plan
	meta, err := toml.Decode(text, &p)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrPlan, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%w: unknown field %s", ErrPlan, unknown[0])
	}
	if p.Accounts == 0 {
		p.Accounts = 1
	}
	return &p, p.check()
}

func (p *Plan) check() error {
	if p.Nodes < 1 || p.Length <= 0 || p.Rate <= 0 || p.Accounts < 1 || p.Skew < 0 {
		return fmt.Errorf("%w: nodes, length, rate and accounts must be positive", ErrPlan)
	}
	if len(p.Services) == 0 || len(p.Requests) == 0 {
		return fmt.Errorf("%w: a service and a request are required", ErrPlan)
	}
	for _, s := range p.Services {
		if s.Name == "" || s.Endpoints < 1 || s.Slots < 1 || s.Queue < 0 || s.Work <= 0 {
			return fmt.Errorf("%w: service %q needs a name, endpoints, slots and work", ErrPlan, s.Name)
		}
		if err := s.checkUneven(); err != nil {
			return err
		}
	}
	for _, r := range p.Requests {
		if err := p.checkRequest(r); err != nil {
			return err
		}
	}
	for _, f := range p.Faults {
		if err := f.check(); err != nil {
			return err
		}
	}
	return errors.Join(p.checkShifts(), p.checkSurges(), p.Settings.check())
}

func (p *Plan) checkShifts() error {
	at := time.Duration(0)
	for _, s := range p.Shifts {
		if s.At < at || s.Rate < 0 {
			return fmt.Errorf("%w: shifts must be in order of time, without negative rates", ErrPlan)
		}
		at = s.At
		for name, share := range s.Shares {
			known := slices.ContainsFunc(p.Requests, func(r Request) bool { return r.Name == name })
			if !known || share < 0 {
				return fmt.Errorf("%w: a shift gives request %q the share %v", ErrPlan, name, share)
			}
		}
	}
	return nil
}

func (p *Plan) checkRequest(r Request) error {
	s, ok := p.service(r.Service)
	kind, known := kinds[r.Kind]
	switch {
	case r.Name == "" || r.Share <= 0 || r.Objective <= 0 || r.Timeout <= 0:
		return fmt.Errorf("%w: request %q needs a name, share, objective and timeout", ErrPlan, r.Name)
	case !ok:
		return fmt.Errorf("%w: request %q uses unknown service %q", ErrPlan, r.Name, r.Service)
	case !known:
		return fmt.Errorf("%w: request %q has unknown kind %q", ErrPlan, r.Name, r.Kind)
	case kind.Streams() != (s.Events > 0):
		return fmt.Errorf("%w: request %q and service %q do not agree on whether to stream events", ErrPlan, r.Name, r.Service)
	}
	return r.checkOrder()
}

func (f Fault) check() error {
	known := []string{FaultKill, FaultStop, FaultPause, FaultCrash, FaultOutage, FaultBurst}
	switch {
	case !slices.Contains(known, f.Kind):
		return fmt.Errorf("%w: unknown fault kind %q", ErrPlan, f.Kind)
	case f.At < 0 || f.For <= 0:
		return fmt.Errorf("%w: %s needs a time and a length", ErrPlan, f.Kind)
	case f.Kind == FaultBurst && f.Times <= 0:
		return fmt.Errorf("%w: %s needs times", ErrPlan, f.Kind)
	case f.Kind != FaultBurst && f.Kind != FaultOutage && f.Count < 1:
		return fmt.Errorf("%w: %s needs a count", ErrPlan, f.Kind)
	}
	return nil
}

func (p *Plan) service(name string) (Service, bool) {
	for _, s := range p.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RateAt returns the requests a second at a time since the start.
func (p *Plan) RateAt(at time.Duration) float64 {
	rate := p.Rate * p.surgeAt(at)
	for _, s := range p.Shifts {
		if at >= s.At && s.Rate > 0 {
			rate = s.Rate * p.surgeAt(at)
		}
	}
	for _, f := range p.Faults {
		if f.Kind == FaultBurst && at >= f.At && at < f.At+f.For {
			rate *= f.Times
		}
	}
	return rate
}

// ShareAt returns the weight of a request relative to the others, at a time since the
// start.
func (p *Plan) ShareAt(r Request, at time.Duration) float64 {
	share := r.Share
	for _, s := range p.Shifts {
		if shifted, ok := s.Shares[r.Name]; ok && at >= s.At {
			share = shifted
		}
	}
	return share
}

// config returns the deployment's configuration.
func (p *Plan) config() *deployment.Config {
	const connections = 400
	c := &deployment.Config{
		Version: 1, Services: map[string]deployment.Service{},
		Limits: deployment.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range p.Services {
		c.Services[s.Name] = deployment.Service{Name: s.Name, Connections: connections, Model: s.Events > 0, Slots: s.Slots}
	}
	for _, r := range p.Requests {
		c.Routes = append(c.Routes, deployment.Route{
			Name: r.Name, Host: host, Prefix: r.prefix(), Kind: kinds[r.Kind], Split: []deployment.Share{{Service: r.Service, Weight: 1}},
			Timeout: r.Timeout, Objective: r.Objective, EventGap: 400 * time.Millisecond, Attempts: 2, Priority: r.Priority,
		})
	}
	for n := range p.Accounts {
		c.Accounts = append(c.Accounts, deployment.Account{Name: account(n), Keys: []string{key(n)}})
	}
	return c
}

func account(n int) string { return fmt.Sprint("account", n) }

func key(n int) string { return fmt.Sprint("key", n) }
