package loopback

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/standin"
)

// StartEndpoint starts an endpoint and lists it.
func (f *Fleet) StartEndpoint(c EndpointConfig) error {
	engine := c.Engine
	engine.Name, engine.Models = c.Name, c.Models
	if c.Step > 0 {
		engine.Step = c.Step
	}
	engine.OnCrash = func() { _ = f.KillEndpoint(c.Name) }
	e := &Endpoint{Endpoint: standin.NewEndpoint(engine)}
	var err error
	if e.server, err = serve(e.Endpoint); err != nil {
		return err
	}
	e.Addr = e.server.addr
	e.Service = c.Service
	f.Network.listens(c.Name, e.Addr)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[c.Name] = e
	f.list[c.Name] = platform.Instance{
		Name: c.Name, Kind: kernel.KindEndpoint, Zone: c.Zone, Service: c.Service, Addr: e.Addr,
	}
	return f.publish()
}

// LeaveEndpoint marks an endpoint as leaving, on the list and in its reports.
func (f *Fleet) LeaveEndpoint(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[name]
	if e == nil {
		return fmt.Errorf("loopback: no endpoint %q", name)
	}
	e.SetLeaving(true)
	i := f.list[name]
	i.Leaving = true
	f.list[name] = i
	return f.publish()
}

// KillEndpoint closes an endpoint at once. The list still names it.
func (f *Fleet) KillEndpoint(name string) error {
	f.mu.Lock()
	e := f.endpoints[name]
	delete(f.endpoints, name)
	f.mu.Unlock()
	if e == nil {
		return fmt.Errorf("loopback: no endpoint %q", name)
	}
	return e.server.close()
}

// Endpoint returns a running endpoint, or nil.
func (f *Fleet) Endpoint(name string) *Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[name]
}

// Endpoints returns the running endpoints, sorted by name.
func (f *Fleet) Endpoints() []*Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.SortedFunc(maps.Values(f.endpoints), func(a, b *Endpoint) int {
		return strings.Compare(a.Name(), b.Name())
	})
}
