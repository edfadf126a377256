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
)

// silenceEndpoints lets sound endpoints fall silent and go on where they stopped: some of
// them, or all of a service.
func (s *soak) silenceEndpoints(ctx context.Context, r *rand.Rand) string {
	var names []string
	for range mostSilences/2 + r.IntN(mostSilences/2) {
		share := []float64{0.3, 1}[r.IntN(2)]
		var group sync.WaitGroup
		for _, e := range s.world.pickSilent(r) {
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
	if r.IntN(3) == 0 {
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
