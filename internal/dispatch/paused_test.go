package dispatch_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

var errRefused = errors.New("refused")

type (
	// pausedGate grants the first permit after a pause, as if the process had been
	// stopped meanwhile, and denies later ones, as the endpoint has left.
	pausedGate struct {
		pause    time.Duration
		requests int
		released []uint64
	}

	// discardSink discards events.
	discardSink struct{}

	// endpoints counts calls and refuses them.
	endpoints struct{ calls int }
)

func (g *pausedGate) Apply(_ time.Time, b permit.Batch) permit.Reply {
	for _, r := range b.Releases {
		g.released = append(g.released, r.ID)
	}
	var reply permit.Reply
	for range b.Requests {
		g.requests++
		verdict := permit.Gone
		if g.requests == 1 {
			time.Sleep(g.pause)
			verdict = permit.Granted
		}
		reply.Verdicts = append(reply.Verdicts, verdict)
	}
	return reply
}

func (*pausedGate) OwnedLoad(time.Time, string) kernel.Load { return kernel.Load{} }

func (*pausedGate) SetOwnerTotal(time.Time, string, string, kernel.Load) {}

func (discardSink) Offer(kernel.Event) {}

func (e *endpoints) Do(context.Context, netip.AddrPort, endpoint.Call) (*endpoint.Answer, error) {
	e.calls++
	return nil, errors.Join(endpoint.ErrNotRun, errRefused)
}

// Guards against new work for an endpoint that has left. A node that was paused during
// its permit request must not use the permit when it resumes.
func TestPermitFromBeforePauseIsNotUsed(t *testing.T) {
	for _, pause := range []time.Duration{0, kernel.MaxViewAge} {
		synctest.Test(t, func(t *testing.T) {
			e := kernel.Endpoint{Name: "w1", Service: "s", Owner: "n1"}
			view := &kernel.View{Self: kernel.Node{Name: "n1"}, Pools: map[string]*kernel.Pool{
				"s": {Service: manifest.Service{Name: "s"}, Bound: 2, Live: 1, Endpoints: []kernel.Endpoint{e}},
			}}
			g, calls := &pausedGate{pause: pause}, &endpoints{}
			d := dispatch.New(dispatch.Config{View: func() *kernel.View { return view }, Gate: g, Endpoints: calls, Sink: discardSink{}})
			defer d.Close()
			_, err := d.Do(t.Context(), route.Request{Service: "s", Chat: "c", Deadline: time.Now().Add(10 * time.Second)}, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			require.True(t, refusal.NotRun)
			require.Len(t, g.released, 1, "the permit is released")
			if pause == 0 {
				require.Equal(t, 1, calls.calls)
				return
			}
			require.Zero(t, calls.calls)
		})
	}
}
