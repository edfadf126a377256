package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

type (
	// fault is one kind of trouble. It returns when the trouble is over.
	fault struct {
		name    string
		planned bool
		strike  func(ctx context.Context, s *soak, r *rand.Rand) (what string)
	}
)

var faults = []fault{
	{name: "kill", strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		return s.restart(s.node(r), syscall.SIGKILL, time.Duration(r.IntN(2000))*time.Millisecond)
	}},
	{name: "kill many", strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		var group sync.WaitGroup
		for _, n := range s.nodes {
			if r.IntN(2) == 0 {
				group.Go(func() { s.restart(n, syscall.SIGKILL, time.Second) })
			}
		}
		group.Wait()
		return "half of the nodes"
	}},
	{name: "stop", planned: true, strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		return s.restart(s.node(r), syscall.SIGTERM, 0)
	}},
	{name: "hang up", planned: true, strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		n.Signal(syscall.SIGHUP)
		return n.Node
	}},
	{name: "pause", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		s.ledger.words.excuse(n.Node)
		n.Signal(syscall.SIGSTOP)
		wait(ctx, r, 4*time.Second)
		n.Signal(syscall.SIGCONT)
		s.ledger.words.excuse(n.Node)
		return n.Node
	}},
	{name: "store down", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		s.world.store.Down(true)
		wait(ctx, r, 5*time.Second)
		s.world.store.Down(false)
		return "refuses all"
	}},
	{name: "store forgets", strike: func(_ context.Context, s *soak, _ *rand.Rand) string {
		s.world.store.Compact()
		return "its history"
	}},
	{name: "store restored", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		if !s.restoring.TryLock() {
			return ""
		}
		defer s.restoring.Unlock()
		return s.world.restore(r, func(most time.Duration) { wait(ctx, r, most) })
	}},
	{name: "store cut", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		return n.Node + " " + through(ctx, r, n.store)
	}},
	{name: "callers cut", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		n := s.node(r)
		return n.Node + " " + through(ctx, r, n.front)
	}},
	{name: "endpoint cut", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.ledger.words.harm(e.id, true)
		defer s.ledger.words.harm(e.id, false)
		return e.id + " " + through(ctx, r, e.proxy)
	}},
	{name: "endpoint breaks off", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		e.stand.Break(true)
		wait(ctx, r, 2*time.Second)
		e.stand.Break(false)
		return e.id
	}},
	{name: "endpoint crashes", strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.note(s.world.crash(e))
		return e.id
	}},
	{name: "endpoint leaves", planned: true, strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.note(s.world.leave(e))
		return e.id
	}},
	{name: "endpoint says that it leaves", planned: true, strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		s.note(s.world.announce(e, func(most time.Duration) { wait(ctx, r, most) }))
		return e.id
	}},
	{name: "endpoint sheds", strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		e := s.world.pick(r)
		if e == nil {
			return ""
		}
		e.shed(r, func(most time.Duration) { wait(ctx, r, most) })
		return e.id
	}},
	{name: "zone evacuated", planned: true, strike: func(ctx context.Context, s *soak, r *rand.Rand) string {
		zone := zones[r.IntN(len(zones))]
		if !s.evacuating.TryLock() {
			return ""
		}
		defer s.evacuating.Unlock()
		s.note(s.world.evacuate(zone, func() { wait(ctx, r, 8*time.Second) }))
		return zone
	}},
	{name: "configuration", planned: true, strike: func(_ context.Context, s *soak, r *rand.Rand) string {
		for range 1 + r.IntN(4) {
			s.note(s.world.configure())
			time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		return fmt.Sprint("version ", s.ledger.newest())
	}},
}

// chosen returns the faults of some names, all where there are none.
func chosen(names []string) ([]fault, error) {
	if len(names) == 0 {
		return faults, nil
	}
	var list []fault
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("%w: %q", ErrFault, name)
		}
		list = append(list, faults[i])
	}
	return list, nil
}

// through makes a proxy misbehave for a while.
func through(ctx context.Context, r *rand.Rand, p *proxy) string {
	m := mode(1 + r.IntN(int(resets)))
	p.set(m)
	wait(ctx, r, 4*time.Second)
	p.set(passes)
	return m.String()
}

// wait waits for a part of a time.
func wait(ctx context.Context, r *rand.Rand, most time.Duration) {
	select {
	case <-time.After(time.Duration(r.Int64N(int64(most)))):
	case <-ctx.Done():
	}
}

// strike lets faults come in series that overlap, as the seed draws them. Quiet
// spells lie between, in which the promises with a time bound can be seen.
func (s *soak) strike(ctx context.Context, r *rand.Rand) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		wait(ctx, r, 2*contact)
		onlyPlanned := r.IntN(3) == 0
		for range 1 + r.IntN(3) {
			f := s.faults[r.IntN(len(s.faults))]
			if onlyPlanned && !f.planned {
				continue
			}
			draws := rand.New(rand.NewPCG(r.Uint64(), 0))
			group.Go(func() { s.one(ctx, f, draws) })
			wait(ctx, r, time.Second)
		}
		if onlyPlanned {
			wait(ctx, r, 2*grace)
			group.Wait()
		}
	}
}

func (s *soak) one(ctx context.Context, f fault, r *rand.Rand) {
	end := s.ledger.disturb(f.planned)
	began := time.Now()
	what := f.strike(ctx, s, r)
	end()
	s.log("%6.1f s to %6.1f s  %s: %s", began.Sub(s.began).Seconds(), time.Since(s.began).Seconds(), f.name, what)
}

func (s *soak) node(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

// restart ends a node's process and starts it again after a pause. One that was
// asked to stop gets its grace before it is killed.
func (s *soak) restart(n *node, sig syscall.Signal, pause time.Duration) string {
	n.turn.Lock()
	defer n.turn.Unlock()
	n.Signal(sig)
	if sig == syscall.SIGTERM && !n.Gone(grace) {
		n.Signal(syscall.SIGKILL)
	}
	n.Gone(grace)
	time.Sleep(pause)
	s.note(n.Start())
	return n.Node
}
