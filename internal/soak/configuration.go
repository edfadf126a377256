package soak

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	usualIdle = 15 * time.Second
	// extraRoute and extraStream are routes that are added and taken away; the second
	// needs a key, which comes and goes as well.
	extraRoute  = "extra"
	extraStream = "stream/extra"
	extraKey    = "n2ctnfzs989anu6wsjnb"
	// limitsKept is how long the route timeouts of an older configuration may apply.
	limitsKept = 10 * time.Second
)

type (
	// overlay is how the configuration differs from the usual one.
	overlay struct {
		// services are the added services, by name.
		services map[string]bool
		split    map[string][]deployment.Share
		timeouts map[string]time.Duration
		// extra and keyed say whether the extra routes and the key are there.
		extra, keyed bool
		// idle is the limit of idle connections; the usual one if 0.
		idle time.Duration
	}

	// limitsAt are the timeouts of all routes and the limit of idle connections from a
	// time on.
	limitsAt struct {
		from     time.Time
		timeouts map[string]time.Duration
		idle     time.Duration
	}
)

// baseOf returns the service after which an added one is modeled.
func baseOf(service string) string {
	base, _, _ := strings.Cut(service, ".")
	return base
}

// configure writes a new configuration version, with one route more than the last.
func (w *world) configure() error { return w.change(func(*overlay) {}) }

// change writes a new configuration version, with one route more than the last and
// another overlay.
func (w *world) change(alter func(*overlay)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	alter(&w.overlay)
	w.version++
	w.routes = append(w.routes, route(fmt.Sprint("v", w.version), deployment.Idempotent, servicePlain, 2))
	c := &deployment.Config{
		Version: uint64(w.version),
		Routes: append([]deployment.Route{
			route("safe", deployment.Idempotent, servicePlain, 2), route("once", deployment.AtMostOnce, servicePlain, 1),
			route("small", deployment.Idempotent, serviceSmall, 2), route("tiny", deployment.Idempotent, serviceTiny, 2),
			route("stream/resume", deployment.Resumable, serviceEngine, 2), route("stream/once", deployment.Streaming, serviceEngine, 1),
		}, append(scarceRoutes(), w.routes...)...),
		Services: map[string]deployment.Service{
			servicePlain: {Name: servicePlain, Connections: 200}, serviceSmall: {Name: serviceSmall, Connections: 200}, serviceTiny: {Name: serviceTiny, Connections: 200}, serviceScarce: {Name: serviceScarce, Connections: 200},
			serviceEngine: {Name: serviceEngine, Connections: 200, Model: true, Slots: slots, Cold: coldTime, ColdRate: coldRate},
		},
		Limits: deployment.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: usualIdle},
	}
	w.overlay.apply(c)
	w.ledger.losses.recordLimits(c, time.Now())
	if err := w.store.Configure(c); err != nil {
		return fmt.Errorf("soak: configure: %w", err)
	}
	w.ledger.recordVersion(w.version, time.Now())
	return nil
}

func route(name string, kind deployment.Kind, service string, attempts int) deployment.Route {
	return deployment.Route{
		Name: name, Host: standin.Host(), Prefix: "/" + name + "/", Kind: kind, Split: []deployment.Share{{Service: service, Weight: 1}},
		Timeout: routeTimeout, Objective: time.Second, EventGap: 400 * time.Millisecond, Attempts: attempts, Public: true,
	}
}

// apply changes a configuration.
func (o *overlay) apply(c *deployment.Config) {
	if o.extra {
		keyed := route(extraStream, deployment.Resumable, serviceEngine, 2)
		keyed.Public = false
		c.Routes = append(c.Routes, route(extraRoute, deployment.Idempotent, servicePlain, 2), keyed)
	}
	if o.keyed {
		c.Accounts = []deployment.Account{{Name: "extra", Keys: []string{extraKey}}}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if split := o.split[r.Name]; len(split) > 0 {
			r.Split = split
		}
		if t := o.timeouts[r.Name]; t > 0 {
			r.Timeout = t
		}
	}
	for name := range maps.Keys(o.services) {
		added := c.Services[baseOf(name)]
		added.Name = name
		if added.Slots > 0 {
			added.Slots = addedSlots
		}
		c.Services[name] = added
	}
	if o.idle > 0 {
		c.Limits.IdleTimeout = o.idle
	}
}
