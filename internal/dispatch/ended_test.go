package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
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

type (
	// openGate grants every permit.
	openGate struct{}

	// silentEndpoints answer nothing until the call's context ends. Once broken is set,
	// the first call is lost and all others are answered.
	silentEndpoints struct {
		broken bool
		lost   bool
	}

	// records keeps the refusals.
	records struct{ reasons []route.Reason }
)

func (openGate) Apply(_ time.Time, b permit.Batch) permit.Reply {
	var reply permit.Reply
	for range b.Requests {
		reply.Verdicts = append(reply.Verdicts, permit.Granted)
	}
	return reply
}

func (openGate) OwnedLoad(time.Time, string) kernel.Load { return kernel.Load{} }

func (openGate) SetOwnerTotal(time.Time, string, string, kernel.Load) {}

func (e *silentEndpoints) Do(ctx context.Context, _ netip.AddrPort, _ endpoint.Call) (*endpoint.Answer, error) {
	if !e.broken {
		<-ctx.Done()
		return nil, errors.Join(endpoint.ErrLost, ctx.Err())
	}
	if !e.lost {
		e.lost = true
		return nil, endpoint.ErrLost
	}
	return &endpoint.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func (r *records) Record(rec dispatch.Record) {
	if rec.Step.Kind == route.StepRefuse {
		r.reasons = append(r.reasons, rec.Step.Reason)
	}
}

// Guards against retries that are refused because callers who disconnected, or whose
// deadlines passed, have used up the node's retry budget.
func TestEndedRequestsTakeNoRetries(t *testing.T) {
	const ended = 40
	contexts := map[route.Reason]func(ctx context.Context) (context.Context, context.CancelFunc){
		route.ReasonCanceled: func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			return ctx, cancel
		},
		route.ReasonDeadline: func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, time.Second)
		},
	}
	for reason, end := range contexts {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := &kernel.Pool{Service: manifest.Service{Name: "s"}, Bound: 2, Live: 2}
				for i := range 2 {
					pool.Endpoints = append(pool.Endpoints, kernel.Endpoint{Name: fmt.Sprint("w", i), Service: "s", Owner: "n1"})
				}
				view := &kernel.View{Self: kernel.Node{Name: "n1"}, Pools: map[string]*kernel.Pool{"s": pool}}
				e, r := &silentEndpoints{}, &records{}
				d := dispatch.New(dispatch.Config{View: func() *kernel.View { return view }, Gate: openGate{}, Endpoints: e, Sink: discardSink{}, Recorder: r})
				defer d.Close()
				do := func(ctx context.Context) (*dispatch.Run, error) {
					return d.Do(ctx, route.Request{Service: "s", Chat: "c", Deadline: time.Now().Add(10 * time.Second)}, endpoint.Call{})
				}
				for range ended {
					ctx, cancel := end(t.Context())
					_, err := do(ctx)
					cancel()
					var refusal *dispatch.Refusal
					require.ErrorAs(t, err, &refusal)
					require.Equal(t, reason, refusal.Reason)
					require.False(t, refusal.NotRun)
				}
				require.Len(t, r.reasons, ended, "each refusal is recorded")
				e.broken = true
				run, err := do(t.Context())
				require.NoError(t, err)
				require.NoError(t, run.Close())
			})
		})
	}
}
