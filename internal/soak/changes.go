package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// addedEndpoints is how many endpoints an added service has, and addedSlots how many
	// slots one of them, so few that it can be full.
	addedEndpoints = 3
	addedSlots     = 6
	// changePause is the longest pause between two changes of a series, and changesEnd
	// how long an added service is kept after its last route was moved away.
	changePause = 600 * time.Millisecond
	changesEnd  = applyBound
	// extraCallers send to the extra routes during a series.
	extraCallers = 4
)

// idleLimits are the limits of idle connections during changes.
var idleLimits = []time.Duration{time.Second, 2 * time.Second, usualIdle, time.Minute}

// movedRoutes are the routes that move to an added service, by the service that they
// leave.
var movedRoutes = map[string][]string{
	servicePlain:  {"safe", "once"},
	serviceEngine: {"stream/resume", "stream/once"},
	serviceScarce: {scarceKinds[0].route, scarceKinds[1].route},
}

// changeConfiguration runs a series of changes of the configuration: routes move to an
// added service and back, timeouts and limits change, routes and keys come and go.
func (s *soak) changeConfiguration(ctx context.Context, r *rand.Rand) string {
	if !s.changing.TryLock() {
		return ""
	}
	defer s.changing.Unlock()
	from := []string{servicePlain, serviceEngine, serviceScarce}[r.IntN(3)]
	s.changes++
	to := fmt.Sprintf("%s.%d", from, s.changes)
	for range addedEndpoints {
		s.recordError(s.world.addEndpoint(to))
	}
	calling, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	for range extraCallers {
		random := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() { s.callers.sendExtra(calling, random) })
	}
	if r.IntN(2) == 0 {
		random := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() { s.silenceAdded(calling, random, to) })
	}
	for _, step := range changeSteps(r, from, to) {
		s.recordError(s.world.change(step))
		wait(ctx, r, changePause)
	}
	s.recordError(s.world.change(func(o *overlay) {
		o.split, o.timeouts, o.idle, o.extra, o.keyed = nil, nil, 0, false, false
	}))
	stop()
	group.Wait()
	sleep(ctx, changesEnd)
	for _, e := range s.world.endpointsOf(to) {
		s.recordError(s.world.withdraw(e))
	}
	return fmt.Sprintf("%s to %s, version %d", from, to, s.ledger.newest())
}

// silenceAdded lets endpoints of an added service fall silent, for which no node has
// counted requests or retries before.
func (s *soak) silenceAdded(ctx context.Context, r *rand.Rand, service string) {
	defer s.ledger.recordFault(fault{})()
	s.silence(ctx, r, func(r *rand.Rand) []*endpoint {
		list := s.world.endpointsOf(service)
		return list[r.IntN(max(len(list), 1)):]
	})
}

// changeSteps returns the changes of a series in random order. Routes are split between
// two services first or moved at once.
func changeSteps(r *rand.Rand, from, to string) []func(*overlay) {
	setSplit := func(shares ...deployment.Share) func(*overlay) {
		return func(o *overlay) {
			o.split = map[string][]deployment.Share{}
			for _, name := range movedRoutes[from] {
				o.split[name] = shares
			}
		}
	}
	add := func(o *overlay) {
		if o.services == nil {
			o.services = map[string]bool{}
		}
		o.services[to] = true
	}
	moves := []func(*overlay){add, setSplit(deployment.Share{Service: to, Weight: 1}), setSplit()}
	if r.IntN(2) == 0 {
		halves := setSplit(deployment.Share{Service: from, Weight: 1}, deployment.Share{Service: to, Weight: 1})
		moves = []func(*overlay){add, halves, moves[1], halves, moves[2]}
	}
	others := []func(*overlay){
		setTimeouts(r), setTimeouts(r), setIdle(r), setIdle(r), setIdle(r),
		func(o *overlay) { o.extra, o.keyed = true, true }, func(o *overlay) { o.keyed = false },
		func(o *overlay) { o.extra = false }, func(o *overlay) { o.extra, o.keyed = true, true },
	}
	// Moves keep their order.
	var steps []func(*overlay)
	for len(moves)+len(others) > 0 {
		list := &others
		if r.IntN(len(moves)+len(others)) < len(moves) {
			list = &moves
		}
		steps = append(steps, (*list)[0])
		*list = (*list)[1:]
	}
	return steps
}

// setTimeouts returns a change of the timeouts of routes.
func setTimeouts(r *rand.Rand) func(*overlay) {
	timeouts := map[string]time.Duration{}
	for _, name := range []string{"safe", "once", "stream/resume", "stream/once"} {
		if r.IntN(2) == 0 {
			timeouts[name] = routeTimeout/2 + time.Duration(r.Int64N(int64(routeTimeout)))
		}
	}
	return func(o *overlay) { o.timeouts = timeouts }
}

// setIdle returns a change of the limit of idle connections.
func setIdle(r *rand.Rand) func(*overlay) {
	idle := idleLimits[r.IntN(len(idleLimits))]
	return func(o *overlay) { o.idle = idle }
}

// sendExtra sends requests to the extra routes until ctx ends.
func (c *callers) sendExtra(ctx context.Context, r *rand.Rand) {
	sender := c.caller(r)
	sender.key = extraKey
	for ctx.Err() == nil {
		if addr, ok := sender.address(); ok {
			k, name := safe, extraRoute
			if r.IntN(2) == 0 {
				k, name = resumed, extraStream
			}
			id := fmt.Sprintf("extra-%d", c.next.Add(1))
			c.ledger.recordRequest(id, k)
			a := sender.send(ctx, addr, name, id, "body of "+id, callerTimeout)
			a.abandoned = a.abandoned || ctx.Err() != nil
			a.cut = a.cut && ctx.Err() == nil
			c.ledger.recordAnswer(id, a)
		}
		wait(ctx, r, 2*thinkTime)
	}
}
