// Package deployment holds what operators publish for a deployment: its routes,
// services, client accounts and limits, and the endpoints that run requests.
package deployment

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Streaming requests are answered with events, and run at most once.
	Streaming
	// Resumable requests are answered with events, and may resume at another
	// endpoint after the last event received.
	Resumable
)

type (
	// Kind says how a route's requests are answered, and whether they may be
	// retried.
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

	// Route sends the requests of a host and path prefix to services.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		Split  []Share
		// Timeout is how long a request may wait for its answer.
		Timeout time.Duration
		// Objective is the target latency of an answer, or of a stream's first
		// event.
		Objective time.Duration
		// EventGap is the target for the longest time between two events.
		EventGap time.Duration `json:"Pause"`
		// Attempts is how many endpoints may run one request.
		Attempts int
		// Priority is the route's rank; 0 is the most urgent.
		Priority int
		// Public routes need no API key.
		Public bool
		// Cached routes carry prompts, parts of which endpoints cache.
		Cached bool
		// Regions are the residency regions of the requests, where they may run; all
		// regions if empty.
		Regions []string `json:"Homes"`
	}

	// Share is a service's part of a route's traffic.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a set of interchangeable endpoints.
	Service struct {
		Name        string
		Health      string
		Connections int
		// Model says whether the endpoints are model engines.
		Model bool
		// Cold is how long an endpoint is cold after its start, and ColdRate how
		// many requests a second it sustains meanwhile, from all nodes together; 0
		// means no limit.
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
		// Priority takes precedence over the route's; 0 is the most urgent.
		Priority int
		// Regions are the residency regions of its requests, where they may run; all
		// regions if empty.
		Regions []string `json:"Homes"`
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}
)

// ServiceKey returns a hash, never 0, that identifies a service in messages between
// nodes.
func ServiceKey(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// Streams reports whether the kind's answers are events.
func (k Kind) Streams() bool { return k == Streaming || k == Resumable }

// Retryable reports whether a request of the kind may run more than once.
func (k Kind) Retryable() bool { return k == Idempotent || k == Resumable }

// Index builds the lookup tables; it must be called once before the lookups.
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

// Route returns the host's route with the longest prefix of the path, or nil if
// there is none.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds an API key, or nil if none does.
func (c *Config) Account(key string) *Account { return c.keys[key] }

// Regions returns the residency regions that all restricted routes of a host have in
// common; nil if no route is restricted.
func (c *Config) Regions(host string) []string {
	var homes []string
	for _, r := range c.hosts[strings.ToLower(host)] {
		switch {
		case len(r.Regions) == 0:
		case homes == nil:
			homes = slices.Clone(r.Regions)
		default:
			homes = slices.DeleteFunc(homes, func(h string) bool { return !slices.Contains(r.Regions, h) })
		}
	}
	return homes
}

// Service picks a service by weight; draw is uniform in [0, 1).
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
