package bulrushhinge

import (
	"context"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
)

const (
	readHeaderTimeout = 10 * time.Second
	beatTimeout       = time.Second
	loadInterval      = time.Second
	queueLength       = 1024
)

type (
	controlConfig struct {
		Kernel    *kernel.Kernel
		Peers     *peer.Client
		Endpoints *endpoint.Client
		Gate      *gate.Gate
	}

	// control owns the kernel: one goroutine steps it, others do the I/O that
	// it asks for.
	control struct {
		config  controlConfig
		inputs  chan input
		cancel  context.CancelFunc
		ctx     context.Context
		running sync.WaitGroup
	}

	// input is an event, a call on the goroutine that owns the kernel, or both.
	input struct {
		event kernel.Event
		call  func(now time.Time)
		done  chan struct{}
	}
)

func newControl(cfg controlConfig) *control {
	ctx, cancel := context.WithCancel(context.Background())
	c := &control{config: cfg, inputs: make(chan input, queueLength), ctx: ctx, cancel: cancel}
	c.running.Go(func() {
		tick := time.NewTicker(kernel.DefaultTick)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-tick.C:
				c.config.Gate.Expire(now)
				c.step(now, kernel.Tick{})
			case in := <-c.inputs:
				c.take(time.Now(), in)
			}
		}
	})
	c.running.Go(func() {
		tick := time.NewTicker(loadInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				c.readLoads()
			}
		}
	})
	return c
}

// Offer hands an event to the control goroutine.
func (c *control) Offer(ev kernel.Event) {
	select {
	case c.inputs <- input{event: ev}:
	case <-c.ctx.Done():
	}
}

// View returns the newest published view.
func (c *control) View() *kernel.View { return c.config.Kernel.View() }

// Beat takes a peer's heartbeat and returns the node's own.
func (c *control) Beat(_ context.Context, b *kernel.Beat) *kernel.Beat {
	reply := &kernel.Beat{}
	c.do(kernel.BeatReceived{Beat: b}, func(now time.Time) {
		reply = c.config.Kernel.Beat(now, b.Node)
	})
	return reply
}

// Dump returns the state of every plug-in.
func (c *control) Dump() map[string]any {
	state := map[string]any{}
	c.do(nil, func(now time.Time) {
		state = c.config.Kernel.Dump(now)
		state["view"] = c.View()
	})
	return state
}

// Close stops the goroutines.
func (c *control) Close() {
	c.cancel()
	c.running.Wait()
}

// do applies an event and runs a call on the control goroutine, and waits.
func (c *control) do(ev kernel.Event, call func(now time.Time)) {
	in := input{event: ev, call: call, done: make(chan struct{})}
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
		return
	}
	select {
	case <-in.done:
	case <-c.ctx.Done():
	}
}

func (c *control) take(now time.Time, in input) {
	if in.event != nil {
		c.step(now, in.event)
	}
	if in.call != nil {
		in.call(now)
	}
	if in.done != nil {
		close(in.done)
	}
}

func (c *control) step(now time.Time, ev kernel.Event) {
	for _, a := range c.config.Kernel.Step(now, ev) {
		c.act(now, a)
	}
}

func (c *control) act(now time.Time, a kernel.Action) {
	switch a := a.(type) {
	case kernel.SendBeat:
		beat := c.config.Kernel.Beat(now, a.To.Name)
		c.running.Go(func() { c.sendBeat(a.To, beat) })
	}
}

func (c *control) sendBeat(to kernel.Node, beat *kernel.Beat) {
	ctx, cancel := context.WithTimeout(c.ctx, beatTimeout)
	defer cancel()
	reply, err := c.config.Peers.Beat(ctx, to.Peer, beat)
	if err != nil {
		c.Offer(kernel.BeatFailed{Node: to.Name})
		return
	}
	c.Offer(kernel.BeatReceived{Beat: reply})
}

// readLoads asks the endpoints whose home the node is for their reports.
func (c *control) readLoads() {
	v := c.View()
	for _, p := range v.Pools {
		for _, e := range p.Endpoints {
			if e.Home == v.Self.Name {
				c.running.Go(func() { c.readLoad(e) })
			}
		}
	}
}

func (c *control) readLoad(e kernel.Endpoint) {
	report, err := c.config.Endpoints.Load(c.ctx, e.Addr)
	if err != nil {
		c.Offer(kernel.EndpointFailed{Endpoint: e.Name})
		return
	}
	c.config.Gate.Reported(time.Now(), e.Name, kernel.Load{Requests: report.Requests, Tokens: report.Tokens})
	c.Offer(kernel.LoadReported{
		Endpoint: e.Name,
		Load:     kernel.Load{Requests: report.Requests, Tokens: report.Tokens},
		Models:   report.Models,
		Leaving:  report.Leaving,
	})
}
