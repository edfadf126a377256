// Package deployment holds what operators publish for a deployment: its routes,
// services, client accounts and limits, and the endpoints that run requests.
package deployment

import (
	"slices"
	"strings"
	"time"
)

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run once at most.
	AtMostOnce
	// Streaming requests are answered with events, and run once at most.
	Streaming
	// Resumable requests are answered with events, and may go on at another
	// endpoint after the last event that arrived.
	Resumable
)

type (
	// Kind is what may be repeated of a route's requests.
	Kind int

	// Config is one version of what operators publish. It is immutable.
	Config struct {
		Version  uint64
		Routes   []Route
		Services map[string]Service
		Accounts []Account
		Limits   Limits

		hosts map[string][]*Route
		keys  map[string]*Account
	}

	// Route says which service answers the requests of a host and path.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		Split  []Share
		// Timeout is how long a request may stay unanswered.
		Timeout time.Duration
		// Objective is when an answer, or a stream's first event, is due.
		Objective time.Duration
		// Pause is the longest wanted time between two events.
		Pause time.Duration
		// Attempts is how many endpoints may run one request.
		Attempts int
		// Priority is the route's rank; 0 is the most urgent.
		Priority int
		// Public routes need no API key.
		Public bool
		// Cached routes carry prompts, parts of which endpoints keep in memory.
		Cached bool
		// Homes are the regions in which the requests may run, all if empty.
		Homes []string
	}

	// Share is a service's part of a route's traffic.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a set of alike endpoints.
	Service struct {
		Name        string
		Health      string
		Connections int
		// Model says whether the endpoints are model engines.
		Model bool
		// Cold is for how long an endpoint is cold after its start, and ColdRate
		// how many requests a second it bears meanwhile, from all nodes; 0 where
		// it bears all.
		Cold     time.Duration
		ColdRate float64
		// Slots is how many requests one engine runs at once.
		Slots int
		// Tokens is how many tokens one engine keeps in memory.
		Tokens int
	}

	// Account is a client account.
	Account struct {
		Name string
		Keys []string
		// Priority goes before the routes' priority; 0 is the most urgent.
		Priority int
		// Homes are the regions in which its requests may run, all if empty.
		Homes []string
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// Streams reports whether the kind's answers are events.
func (k Kind) Streams() bool { return k == Streaming || k == Resumable }

// Repeats reports whether a request of the kind may run more than once.
func (k Kind) Repeats() bool { return k == Idempotent || k == Resumable }

// Index prepares the configuration for look-ups; it must be called once before
// the others.
func (c *Config) Index() {
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.keys = make(map[string]*Account)
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			c.keys[k] = &c.Accounts[i]
		}
	}
}

// Route returns the route with the longest prefix of a host's path, nil where
// there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds an API key, nil where none does.
func (c *Config) Account(key string) *Account { return c.keys[key] }

// Homes returns the regions in which all requests to a host may run that may not
// run everywhere; it is empty where there are none.
func (c *Config) Homes(host string) []string {
	var homes []string
	for _, r := range c.hosts[strings.ToLower(host)] {
		switch {
		case len(r.Homes) == 0:
		case homes == nil:
			homes = slices.Clone(r.Homes)
		default:
			homes = slices.DeleteFunc(homes, func(h string) bool { return !slices.Contains(r.Homes, h) })
		}
	}
	return homes
}

// Service picks the service for a number drawn evenly from 0 up to 1.
func (r *Route) Service(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
