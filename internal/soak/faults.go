package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

type (
	// fault is a kind of fault. inject causes it and returns when it is over.
	fault struct {
		name    string
		planned bool
		// spares says that it disturbs no node, cuts that it cuts nodes off from
		// endpoints.
		spares bool
		cuts   bool
		// owner says that it disturbs only the owner of the scarce service.
		owner  bool
		inject func(ctx context.Context, s *soak, r *rand.Rand) (what string)
	}
)

var faults = []fault{
	{name: "kill", inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		return s.restart(s.node(r), syscall.SIGKILL, time.Duration(r.IntN(2000))*time.Millisecond)
	}},
	{name: "kill many", inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		var group sync.WaitGroup
		for _, n := range s.nodes {
			if r.IntN(2) == 0 {
				group.Go(func() { s.restart(n, syscall.SIGKILL, time.Second) })
			}
		}
		group.Wait()
		return "half of the nodes"
	}},
	{name: "stop", planned: true, inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		return s.restart(s.node(r), syscall.SIGTERM, 0)
	}},
	{name: "hang up", planned: true, inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		n.Signal(syscall.SIGHUP)
		return n.Node
	}},
	{name: "pause", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		s.pauseNode(ctx, r, n)
		return n.Node
	}},
	{name: "owner killed", owner: true, inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		return s.hitOwner(func(n *node) { s.restart(n, syscall.SIGKILL, time.Duration(r.IntN(2000))*time.Millisecond) })
	}},
	{name: "owner paused", owner: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.hitOwner(func(n *node) { s.pauseNode(ctx, r, n) })
	}},
	{name: "owner stopped", planned: true, owner: true, inject: func(_ context.Context, s *soak, _ *rand.Rand) string {
		return s.hitOwner(func(n *node) { s.restart(n, syscall.SIGTERM, 0) })
	}},
	{name: "endpoints uneven", spares: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.unevenEndpoints(ctx, r)
	}},
	{name: "service short", spares: true, inject: func(ctx context.Context, s *soak, _ *rand.Rand) string {
		return s.short(ctx)
	}},
	{name: "store down", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		s.world.store.SetDown(true)
		wait(ctx, r, 5*time.Second)
		s.world.store.SetDown(false)
		return "refuses all"
	}},
	{name: "store forgets", inject: func(_ context.Context, s *soak, _ *rand.Rand) string {
		s.world.store.Compact()
		return "its history"
	}},
	{name: "store restored", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		if !s.restoring.TryLock() {
			return ""
		}
		defer s.restoring.Unlock()
		return s.world.restore(r, func(most time.Duration) { wait(ctx, r, most) })
	}},
	{name: "store cut", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		return n.Node + " " + disrupt(ctx, r, n.storeProxy)
	}},
	{name: "callers cut", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		return n.Node + " " + disrupt(ctx, r, n.callerProxy)
	}},
	{name: "endpoints cut", cuts: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		var cut []*node
		for _, n := range s.nodes[1:] {
			if r.IntN(2) == 0 {
				cut = append(cut, n)
			}
		}
		return s.cutEndpoints(ctx, r, cut)
	}},
	{name: "endpoint cut", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.ledger.notices.setImpaired(e.id, true)
		defer s.ledger.notices.setImpaired(e.id, false)
		return e.id + " " + disrupt(ctx, r, e.proxy)
	}},
	{name: "endpoint breaks off", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		e.standIn.SetFailing(true)
		wait(ctx, r, 2*time.Second)
		e.standIn.SetFailing(false)
		return e.id
	}},
	{name: "endpoint crashes", inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.recordError(s.world.crash(e))
		return e.id
	}},
	{name: "endpoints brittle", spares: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.rushBrittle(ctx, r)
	}},
	{name: "request crashes endpoints", spares: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.callers.sendCrashing(ctx, r)
	}},
	{name: "request crashes a service", spares: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.callers.sendCrashingService(ctx, r)
	}},
	{name: "part crashes endpoints", spares: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.callers.sendCrashingPart(ctx, r)
	}},
	{name: "endpoint answers without framing", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		e.standIn.SetUnframed(true)
		wait(ctx, r, 4*time.Second)
		e.standIn.SetUnframed(false)
		return e.id
	}},
	{name: "endpoint leaves", planned: true, inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.recordError(s.world.leave(e))
		return e.id
	}},
	{name: "endpoint says that it leaves", planned: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.recordError(s.world.announce(e, func(most time.Duration) { wait(ctx, r, most) }))
		return e.id
	}},
	{name: "endpoint sheds", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		e.shed(r, func(most time.Duration) { wait(ctx, r, most) })
		return e.id
	}},
	{name: "zone evacuated", planned: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		zone := zones[r.IntN(len(zones))]
		if !s.evacuating.TryLock() {
			return ""
		}
		defer s.evacuating.Unlock()
		s.recordError(s.world.evacuate(zone, func() { wait(ctx, r, 8*time.Second) }))
		return zone
	}},
	{name: "configuration", planned: true, inject: func(_ context.Context, s *soak, r *rand.Rand) string {
		for range 1 + r.IntN(4) {
			s.recordError(s.world.configure())
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		return fmt.Sprint("version ", s.ledger.newest())
	}},
	{name: "silence", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.silenceEndpoints(ctx, r)
	}},
	{name: "endless", inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.sendEndless(ctx, r)
	}},
	{name: "changes", planned: true, inject: func(ctx context.Context, s *soak, r *rand.Rand) string {
		return s.changeConfiguration(ctx, r)
	}},
}

// selectFaults returns the named faults, or all faults if no names are given, without
// some.
func selectFaults(names, without []string) ([]fault, error) {
	for _, name := range slices.Concat(names, without) {
		if !slices.ContainsFunc(faults, func(f fault) bool { return f.name == name }) {
			return nil, fmt.Errorf("%w: %q", ErrFault, name)
		}
	}
	return slices.DeleteFunc(slices.Clone(faults), func(f fault) bool {
		return slices.Contains(without, f.name) || len(names) > 0 && !slices.Contains(names, f.name)
	}), nil
}

// cutEndpoints cuts nodes off from all endpoints for some seconds.
func (s *soak) cutEndpoints(ctx context.Context, r *rand.Rand, nodes []*node) string {
	m := cutModes[r.IntN(len(cutModes))]
	names := []string{m.String()}
	for _, n := range nodes {
		n.egress.set(m)
		s.ledger.cuts.set(n.Callers(), time.Now())
		names = append(names, n.Node)
	}
	wait(ctx, r, 2*time.Second)
	sleep(ctx, recoveryTime+2*time.Second)
	for _, n := range nodes {
		s.ledger.cuts.set(n.Callers(), time.Time{})
		n.egress.set(modePass)
	}
	return strings.Join(names, " ")
}

// disrupt sets a random failure mode on a proxy for a random time.
func disrupt(ctx context.Context, r *rand.Rand, p *proxy) string {
	m := mode(1 + r.IntN(int(modeReset)))
	p.set(m)
	wait(ctx, r, 4*time.Second)
	p.set(modePass)
	return m.String()
}

// wait waits for a random time below most, or until ctx ends.
func wait(ctx context.Context, r *rand.Rand, most time.Duration) {
	sleep(ctx, time.Duration(r.Int64N(int64(most))))
}

// sleep waits for a time, and reports whether it has passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// injectFaults injects seeded series of overlapping faults. In the pauses between the
// series, the guarantees with a time bound can be checked.
func (s *soak) injectFaults(ctx context.Context, r *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		wait(ctx, r, 2*recoveryTime)
		onlyPlanned := r.IntN(3) == 0
		for range 1 + r.IntN(3) {
			f := s.faults[r.IntN(len(s.faults))]
			if onlyPlanned && !f.planned {
				continue
			}
			draws := rand.New(rand.NewPCG(r.Uint64(), 0))
			group.Go(func() { s.injectOne(ctx, f, draws) })
			wait(ctx, r, time.Second)
		}
		if onlyPlanned {
			wait(ctx, r, 2*grace)
			group.Wait()
		}
	}
}

func (s *soak) injectOne(ctx context.Context, f fault, r *rand.Rand) {
	end := s.ledger.recordFault(f)
	began := time.Now()
	what := f.inject(ctx, s, r)
	end()
	s.log("%6.1f s to %6.1f s  %s: %s", began.Sub(s.began).Seconds(), time.Since(s.began).Seconds(), f.name, what)
}

func (s *soak) node(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

// restart terminates a node's process with a signal and starts it again after a pause.
// After SIGTERM the process has the grace period to exit before it is killed.
func (s *soak) restart(n *node, sig syscall.Signal, pause time.Duration) string {
	n.restarting.Lock()
	defer n.restarting.Unlock()
	from := time.Now()
	if sig == syscall.SIGTERM {
		from = from.Add(finishTime)
	}
	defer n.disturb(from)()
	n.Signal(sig)
	if sig == syscall.SIGTERM && !n.WaitExit(grace) {
		n.Signal(syscall.SIGKILL)
	}
	n.WaitExit(grace)
	time.Sleep(pause)
	s.recordError(n.Start())
	return n.Node
}
