package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// Lengths of a silence of sound endpoints, and how many endpoints fall silent at once
// and how often, at most.
const (
	shortestSilence = 800 * time.Millisecond
	longestSilence  = 2 * time.Second
	mostSilent      = 4
	mostSilences    = 8
	// streamCallers send streams while endpoints fall silent.
	streamCallers = 16
)

// silenceEndpoints lets sound endpoints fall silent and go on where they stopped: some of
// them, or all of a service.
func (s *soak) silenceEndpoints(ctx context.Context, r *rand.Rand) string {
	return s.silence(ctx, r, s.world.pickSilent)
}

// silence lets endpoints fall silent several times, those that pick returns each time.
func (s *soak) silence(ctx context.Context, r *rand.Rand, pick func(*rand.Rand) []*endpoint) string {
	streaming, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer stop()
	for range streamCallers {
		random := rand.New(rand.NewPCG(r.Uint64(), 0))
		callers.Go(func() { s.callers.sendStreams(streaming, random) })
	}
	var names []string
	for range mostSilences/2 + r.IntN(mostSilences/2) {
		share := []float64{0.3, 1}[r.IntN(2)]
		var group sync.WaitGroup
		for _, e := range pick(r) {
			silence := standin.Silence{Share: share, Head: r.IntN(2) == 0, Seed: r.Uint64()}
			d := shortestSilence + time.Duration(r.Int64N(int64(longestSilence-shortestSilence)))
			names = append(names, fmt.Sprintf("%s %v of %v", e.id, d.Round(time.Millisecond), share))
			group.Go(func() {
				end := e.standIn.FallSilent(silence)
				defer end()
				sleep(ctx, d)
			})
		}
		group.Wait()
		wait(ctx, r, time.Second)
	}
	return strings.Join(names, ", ")
}

// pickSilent returns the endpoints that fall silent together.
func (w *world) pickSilent(r *rand.Rand) []*endpoint {
	first := w.pickBusy(r)
	if first == nil {
		return nil
	}
	if r.IntN(2) == 0 {
		return w.endpointsOf(first.service)
	}
	list := []*endpoint{first}
	for range r.IntN(mostSilent) {
		if e := w.pickBusy(r); e != nil && !slices.Contains(list, e) {
			list = append(list, e)
		}
	}
	return list
}

// sendStreams sends requests for streams until ctx ends.
func (c *callers) sendStreams(ctx context.Context, r *rand.Rand) {
	sender := c.caller(r)
	for ctx.Err() == nil {
		if addr, ok := sender.address(); ok {
			k, name := resumed, "stream/resume"
			if r.IntN(2) == 0 {
				k, name = streamOnce, "stream/once"
			}
			id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, "/", "-"), c.next.Add(1))
			c.ledger.recordRequest(id, k)
			a := sender.sendPrompt(ctx, addr, name, id, "body of "+id, append(sharedParts(), id), callerTimeout)
			a.abandoned = a.abandoned || ctx.Err() != nil
			a.cut = a.cut && ctx.Err() == nil
			c.ledger.recordAnswer(id, a)
		}
		wait(ctx, r, thinkTime)
	}
}
