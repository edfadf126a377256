package gate_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const (
	engineBatch   = 2
	engineService = 50 * time.Millisecond
	allowed       = 300 * time.Millisecond
	retryPause    = 20 * time.Millisecond
	requestTokens = 50
)

type (
	// waiting is a request on its way: first at the node, then in the engine.
	waiting struct {
		id       uint64
		deadline time.Time
		next     time.Time
		began    time.Time
		ends     time.Time
	}

	// pressed is one engine under overload before a real gate.
	pressed struct {
		gate    *gate.Gate
		view    *kernel.View
		now     time.Time
		random  *rand.Rand
		serial  uint64
		outside []waiting
		engine  []waiting
		whole   int
		wasted  int
		refused int
	}
)

func newPressed() *pressed {
	v := &kernel.View{Self: kernel.Node{Name: "n1"}, Pools: map[string]*kernel.Pool{}}
	e := kernel.Endpoint{Name: "w1", Service: "s", Home: "n1"}
	v.Nodes = []kernel.Node{v.Self}
	v.Pools["s"] = &kernel.Pool{Service: manifest.Service{Name: "s"}, Bound: 100, Endpoints: []kernel.Endpoint{e}, Live: 1}
	return &pressed{
		gate:   gate.New(gate.Config{View: func() *kernel.View { return v }}),
		view:   v,
		now:    time.Unix(0, 0),
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

// run presses the engine with callers that ask again at once when a request
// ends, for a time.
func (p *pressed) run(callers int, span time.Duration) {
	end := p.now.Add(span)
	for ; p.now.Before(end); p.now = p.now.Add(time.Millisecond) {
		// The kernel publishes its view again at each tick.
		p.view.At = p.now
		for len(p.outside)+len(p.engine) < callers {
			p.serial++
			p.outside = append(p.outside, waiting{id: p.serial, deadline: p.now.Add(allowed), next: p.now})
		}
		p.admit()
		p.serve()
	}
}

func (p *pressed) admit() {
	p.random.Shuffle(len(p.outside), func(i, j int) { p.outside[i], p.outside[j] = p.outside[j], p.outside[i] })
	p.outside = slices.DeleteFunc(p.outside, func(w waiting) bool { return !w.deadline.After(p.now) && p.refuse() })
	var left []waiting
	for _, w := range p.outside {
		if w.next.After(p.now) {
			left = append(left, w)
			continue
		}
		a := gate.Ask{ID: w.id, Endpoint: "w1", Tokens: requestTokens, Lease: w.deadline.Sub(p.now) + gate.LeaseSlack}
		switch p.gate.Admit(p.now, a) {
		case gate.Granted:
			w.began = p.now
			p.engine = append(p.engine, w)
		case gate.Late:
			p.refuse()
		default:
			w.next = p.now.Add(retryPause)
			left = append(left, w)
		}
	}
	p.outside = left
}

func (p *pressed) refuse() bool {
	p.refused++
	return true
}

// serve lets the engine run the first requests of its queue.
func (p *pressed) serve() {
	for i := range min(engineBatch, len(p.engine)) {
		if p.engine[i].ends.IsZero() {
			p.engine[i].ends = p.now.Add(engineService)
		}
	}
	p.engine = slices.DeleteFunc(p.engine, func(w waiting) bool {
		done := !w.ends.IsZero() && !p.now.Before(w.ends)
		late := !p.now.Before(w.deadline)
		if !done && !late {
			return false
		}
		p.gate.Release(p.now, gate.Return{ID: w.id, Took: p.now.Sub(w.began)})
		if done {
			p.whole++
		} else {
			p.wasted++
		}
		return true
	})
}

// Guards against this failure: under ten times the load an engine is busy with requests that
// end too late, and hardly one is answered.
func TestOverloadedEngineStillAnswers(t *testing.T) {
	const (
		able    = float64(engineBatch) * float64(time.Second) / float64(engineService)
		callers = 10 * int(able) * int(allowed/time.Millisecond) / 1000
		seconds = 30
	)
	p := newPressed()
	p.run(callers, seconds*time.Second)
	share := float64(p.whole) / able / seconds
	t.Logf("%d callers: goodput %.0f%% of capacity; %d whole, %d wasted, %d refused", callers, 100*share, p.whole, p.wasted, p.refused)
	require.Greater(t, share, 0.8)
	require.Less(t, p.wasted, p.whole/2)

	before := p.refused + p.wasted
	p.run(engineBatch, 10*time.Second)
	require.Less(t, p.refused+p.wasted-before, callers+1, "the surge leaves nothing behind")
}

// Guards against this failure: an idle endpoint seems loaded until a lease ends, and requests
// wait.
func TestPermitGivenBackBeforeItIsAskedForIsNotGranted(t *testing.T) {
	p := newPressed()
	p.run(0, time.Millisecond)
	a := gate.Ask{ID: 9, Endpoint: "w1", Tokens: 1, Lease: time.Minute}
	p.gate.Release(p.now, gate.Return{ID: a.ID})
	require.Equal(t, gate.Full, p.gate.Admit(p.now, a))
	a.ID = 10
	require.Equal(t, gate.Granted, p.gate.Admit(p.now, a))
}
