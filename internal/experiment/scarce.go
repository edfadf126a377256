package experiment

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// Settings of the nodes that are named.
const (
	// SettingsOfPlan are those of the plan, and SettingsOff are none.
	SettingsOfPlan = "plan"
	SettingsOff    = "off"
)

// maxPriority is the least urgent rank of a route.
const maxPriority = 2

// costOrders are the values of the setting of the queue's order.
var costOrders = []string{"", "never", "owned", "always"}

type (
	// Settings are extra settings of the nodes. Those that are not set are not passed,
	// so that builds without them can be compared as well.
	Settings struct {
		// Owners is the number of slots per node below which a service has an owner; 0
		// passes no setting.
		Owners float64 `toml:"owners"`
		// CostOrder says where the queue orders by cost: never, owned or always; empty
		// passes no setting.
		CostOrder string `toml:"cost_order"`
	}

	// Variant is a program and settings of its nodes, one of those that are compared.
	Variant struct {
		Name     string
		Program  string
		Settings Settings
	}

	// Uneven makes Share of a service's endpoints take Times as long, others in each
	// Period.
	Uneven struct {
		Share  float64       `toml:"share"`
		Times  float64       `toml:"times"`
		Period time.Duration `toml:"period"`
	}

	// Surge makes one account send Times as many requests for a time.
	Surge struct {
		// Account is the account's number, from 0.
		Account int           `toml:"account"`
		Times   float64       `toml:"times"`
		At      time.Duration `toml:"at"`
		For     time.Duration `toml:"for"`
	}
)

// args returns the program's arguments for the settings.
func (s Settings) args() []string {
	var list []string
	if s.CostOrder != "" {
		list = append(list, "--cost-order", s.CostOrder)
	}
	if s.Owners != 0 {
		list = append(list, "--owners", strconv.FormatFloat(s.Owners, 'f', -1, 64))
	}
	return list
}

func (s Settings) check() error {
	switch {
	case !finite(s.Owners) || s.Owners < 0:
		return fmt.Errorf("%w: owners is %v, and must not be negative", ErrPlan, s.Owners)
	case !slices.Contains(costOrders, s.CostOrder):
		return fmt.Errorf("%w: cost_order is %q, and must be never, owned or always", ErrPlan, s.CostOrder)
	}
	return nil
}

// Variants returns each of the programs with each of the settings: SettingsOfPlan,
// SettingsOff, or an order and a number of owners such as owned/1.
func Variants(p *Plan, programs, settings []string) ([]Variant, error) {
	var list []Variant
	for _, program := range programs {
		for _, text := range settings {
			s, err := parseSettings(p, text)
			if err != nil {
				return nil, err
			}
			name := program
			if text != SettingsOfPlan {
				name += " " + text
			}
			list = append(list, Variant{Name: name, Program: program, Settings: s})
		}
	}
	return list, nil
}

func parseSettings(p *Plan, text string) (Settings, error) {
	switch text {
	case SettingsOfPlan:
		return p.Settings, nil
	case SettingsOff:
		return Settings{}, nil
	}
	order, number, _ := strings.Cut(text, "/")
	owners, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: settings %q are not plan, off or ORDER/OWNERS", ErrPlan, text)
	}
	s := Settings{CostOrder: order, Owners: owners}
	return s, s.check()
}

func (s Service) checkUneven() error {
	u := s.Uneven
	switch {
	case u == nil:
		return nil
	case !(u.Share > 0 && u.Share <= 1):
		return fmt.Errorf("%w: service %q has uneven share %v, which must be above 0 and at most 1", ErrPlan, s.Name, u.Share)
	case math.Round(u.Share*float64(s.Endpoints)) < 1:
		return fmt.Errorf("%w: service %q has uneven share %v, which is no whole endpoint of %d", ErrPlan, s.Name, u.Share, s.Endpoints)
	case !finite(u.Times) || u.Times < 1:
		return fmt.Errorf("%w: service %q has uneven times %v, which must be at least 1", ErrPlan, s.Name, u.Times)
	case u.Period <= 0:
		return fmt.Errorf("%w: service %q needs a period of its uneven speed", ErrPlan, s.Name)
	}
	return nil
}

// checkOrder checks what the order of requests depends on.
func (r Request) checkOrder() error {
	switch {
	case r.Priority < 0 || r.Priority > maxPriority:
		return fmt.Errorf("%w: request %q has priority %d, which must be from 0 to %d", ErrPlan, r.Name, r.Priority, maxPriority)
	case !(r.Large >= 0 && r.Large < 1):
		return fmt.Errorf("%w: request %q has the share %v of large ones, which must be at least 0 and below 1", ErrPlan, r.Name, r.Large)
	case (r.Large > 0) != (r.LargeTimes != 0):
		return fmt.Errorf("%w: request %q needs both large and large_times, or neither", ErrPlan, r.Name)
	case r.Large > 0 && (!finite(r.LargeTimes) || r.LargeTimes <= 1):
		return fmt.Errorf("%w: request %q has large_times %v, which must be above 1", ErrPlan, r.Name, r.LargeTimes)
	}
	return nil
}

func (p *Plan) checkSurges() error {
	for _, s := range p.Surges {
		switch {
		case s.Account < 0 || s.Account >= p.Accounts:
			return fmt.Errorf("%w: a surge of account %d, of %d from 0", ErrPlan, s.Account, p.Accounts)
		case !finite(s.Times) || s.Times <= 0:
			return fmt.Errorf("%w: the surge of account %d has times %v, which must be positive", ErrPlan, s.Account, s.Times)
		case s.At < 0 || s.For <= 0:
			return fmt.Errorf("%w: the surge of account %d needs a time and a length", ErrPlan, s.Account)
		}
	}
	return nil
}

func finite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// AccountShareAt returns the weight of an account relative to the others, at a time
// since the start.
func (p *Plan) AccountShareAt(n int, at time.Duration) float64 {
	share := math.Pow(float64(n+1), -p.Skew)
	for _, s := range p.Surges {
		if s.Account == n && at >= s.At && at < s.At+s.For {
			share *= s.Times
		}
	}
	return share
}

// surgeAt returns how many times as many requests all accounts send together because of
// surges: the requests of a surge come in addition to those of other accounts.
func (p *Plan) surgeAt(at time.Duration) float64 {
	usual, now := 0.0, 0.0
	for n := range p.Accounts {
		usual += p.AccountShareAt(n, -1)
		now += p.AccountShareAt(n, at)
	}
	return now / usual
}

// endpointConfig returns the settings of an endpoint; since returns the time since the
// start of the run.
func (p *Plan) endpointConfig(s Service, n int, since func(time.Time) time.Duration) standin.EndpointConfig {
	c := standin.EndpointConfig{ID: fmt.Sprintf("%s-%d", s.Name, n), Slots: s.Slots, Queue: s.Queue, Events: s.Events, Pause: s.Work}
	if s.Uneven != nil {
		u := standin.Uneven{Share: s.Uneven.Share, Times: s.Uneven.Times, Period: s.Uneven.Period, Seed: p.Seed}
		c.Slowdown = func(at time.Time) float64 { return u.Slowdown(n, s.Endpoints, max(since(at), 0)) }
	}
	return c
}
