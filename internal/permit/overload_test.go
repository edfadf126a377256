package permit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	engineBatch    = 2
	serviceTime    = 50 * time.Millisecond
	requestTimeout = 300 * time.Millisecond
	retryPause     = 20 * time.Millisecond
	requestTokens  = 50
)

type (
	// simRequest is a request that waits at the node and then in the engine.
	simRequest struct {
		id        uint64
		deadline  time.Time
		nextTry   time.Time
		startedAt time.Time
		endsAt    time.Time
	}

	// overload simulates one engine under overload behind a real gate.
	overload struct {
		gate      *permit.Gate
		view      *kernel.View
		now       time.Time
		random    *rand.Rand
		lastID    uint64
		queued    []simRequest
		engine    []simRequest
		completed int
		wasted    int
		refused   int
	}
)

func newOverload() *overload {
	v := &kernel.View{Self: kernel.Node{Name: "n1"}, Pools: map[string]*kernel.Pool{}}
	e := kernel.Endpoint{Name: "w1", Service: "s", Owner: "n1"}
	v.Nodes = []kernel.Node{v.Self}
	v.Pools["s"] = &kernel.Pool{Service: manifest.Service{Name: "s"}, Bound: 100, Endpoints: []kernel.Endpoint{e}, Live: 1}
	return &overload{
		gate:   permit.New(permit.Config{View: func() *kernel.View { return v }}),
		view:   v,
		now:    time.Unix(0, 0),
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

// run loads the engine for a time with callers that send the next request as soon
// as one ends.
func (p *overload) run(callers int, span time.Duration) {
	end := p.now.Add(span)
	for ; p.now.Before(end); p.now = p.now.Add(time.Millisecond) {
		// The kernel publishes a new view at each tick.
		p.view.At = p.now
		for len(p.queued)+len(p.engine) < callers {
			p.lastID++
			p.queued = append(p.queued, simRequest{id: p.lastID, deadline: p.now.Add(requestTimeout), nextTry: p.now})
		}
		p.admit()
		p.serve()
	}
}

func (p *overload) admit() {
	p.random.Shuffle(len(p.queued), func(i, j int) { p.queued[i], p.queued[j] = p.queued[j], p.queued[i] })
	p.queued = slices.DeleteFunc(p.queued, func(w simRequest) bool { return !w.deadline.After(p.now) && p.refuse() })
	var left []simRequest
	for _, w := range p.queued {
		if w.nextTry.After(p.now) {
			left = append(left, w)
			continue
		}
		a := permit.Request{ID: w.id, Endpoint: "w1", Tokens: requestTokens, Lease: w.deadline.Sub(p.now) + permit.LeaseSlack}
		switch p.gate.Admit(p.now, a) {
		case permit.Granted:
			w.startedAt = p.now
			p.engine = append(p.engine, w)
		case permit.TooLate:
			p.refuse()
		default:
			w.nextTry = p.now.Add(retryPause)
			left = append(left, w)
		}
	}
	p.queued = left
}

func (p *overload) refuse() bool {
	p.refused++
	return true
}

// serve runs the first requests of the engine's queue.
func (p *overload) serve() {
	for i := range min(engineBatch, len(p.engine)) {
		if p.engine[i].endsAt.IsZero() {
			p.engine[i].endsAt = p.now.Add(serviceTime)
		}
	}
	p.engine = slices.DeleteFunc(p.engine, func(w simRequest) bool {
		done := !w.endsAt.IsZero() && !p.now.Before(w.endsAt)
		late := !p.now.Before(w.deadline)
		if !done && !late {
			return false
		}
		p.gate.Release(p.now, permit.Release{ID: w.id, Took: p.now.Sub(w.startedAt)})
		if done {
			p.completed++
		} else {
			p.wasted++
		}
		return true
	})
}

// Guards against an engine that, at ten times its capacity, is busy with requests
// that end after their deadlines and answers hardly any.
func TestOverloadedEngineKeepsGoodput(t *testing.T) {
	const (
		capacity = float64(engineBatch) * float64(time.Second) / float64(serviceTime)
		callers  = 10 * int(capacity) * int(requestTimeout/time.Millisecond) / 1000
		seconds  = 30
	)
	p := newOverload()
	p.run(callers, seconds*time.Second)
	share := float64(p.completed) / capacity / seconds
	t.Logf("%d callers: goodput %.0f%% of capacity; %d completed, %d wasted, %d refused", callers, 100*share, p.completed, p.wasted, p.refused)
	require.Greater(t, share, 0.8)
	require.Less(t, p.wasted, p.completed/2)

	before := p.refused + p.wasted
	p.run(engineBatch, 10*time.Second)
	require.Less(t, p.refused+p.wasted-before, callers+1, "the overload has no lasting effect")
}

// Guards against an idle endpoint that seems loaded until a lease ends, while
// requests wait, because a release overtook its permit request.
func TestPermitReleasedBeforeRequestIsNotGranted(t *testing.T) {
	p := newOverload()
	p.run(0, time.Millisecond)
	a := permit.Request{ID: 9, Endpoint: "w1", Tokens: 1, Lease: time.Minute}
	p.gate.Release(p.now, permit.Release{ID: a.ID})
	require.Equal(t, permit.Full, p.gate.Admit(p.now, a))
	a.ID = 10
	require.Equal(t, permit.Granted, p.gate.Admit(p.now, a))
}
