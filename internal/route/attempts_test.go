package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/route"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// dispatch grants the plan's permit request and returns the step after it.
func dispatch(t *testing.T, p *route.Plan, now time.Time, v *kernel.View) route.Step {
	t.Helper()
	require.Equal(t, route.StepPermit, p.Next(now, v).Kind)
	p.Report(route.OutcomeGranted)
	return p.Next(now, v)
}

// Guards against a request that fails although other endpoints could answer it:
// attempts that certainly did not run must not use up its attempts.
func TestOnlyAttemptsThatMayHaveRunCount(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	pool := &kernel.Pool{Service: manifest.Service{Name: "s"}, Bound: 2, Live: 8}
	for i := range 8 {
		pool.Endpoints = append(pool.Endpoints, kernel.Endpoint{Name: fmt.Sprintf("w%d", i), Service: "s", Owner: "n1"})
	}
	v := &kernel.View{At: now, Self: kernel.Node{Name: "n1"}, Pools: map[string]*kernel.Pool{"s": pool}}
	p := route.NewRouter(route.Config{}).Plan(now, route.Request{Service: "s", Chat: "c", Deadline: now.Add(time.Minute)})
	for range 5 {
		require.Equal(t, route.StepRun, dispatch(t, p, now, v).Kind)
		p.Report(route.OutcomeNotRun)
	}
	for range 2 {
		require.Equal(t, route.StepRun, dispatch(t, p, now, v).Kind)
		p.Report(route.OutcomeLost)
	}
	require.Equal(t, route.StepRun, dispatch(t, p, now, v).Kind)
	p.Report(route.OutcomeLost)
	step := p.Next(now, v)
	require.Equal(t, route.StepRefuse, step.Kind)
	require.Equal(t, route.ReasonAttempts, step.Reason)
}
