package demo_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/demo"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

func TestDemoKeepsItsPromises(t *testing.T) {
	tests := []struct {
		deployment string
		duration   time.Duration
	}{
		// Long enough that leaveGrace ends before the run does.
		{"thies", 4 * time.Second},
		{"karamanlis", time.Second},
	}
	for _, test := range tests {
		t.Run(test.deployment, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			d, err := demo.New(demo.Config{Deployment: test.deployment, Duration: test.duration, Callers: 8, Out: &out})
			require.NoError(t, err)
			defer func() { require.NoError(t, d.Close()) }()
			require.NoError(t, d.Run(t.Context()), out.String())
			require.Contains(t, out.String(), "kept    every request got its whole answer")
			require.NotContains(t, out.String(), "BROKEN")
		})
	}
}

// TestDemoReportsBrokenGuarantees guards against a demo that passes although no
// endpoint answers.
func TestDemoReportsBrokenGuarantees(t *testing.T) {
	demo.Deployments["down"] = func() loopback.Config {
		c := loopback.Thies()
		for i := range c.Endpoints {
			c.Endpoints[i].Engine.Faults.Down = true
		}
		return c
	}
	defer delete(demo.Deployments, "down")
	var out bytes.Buffer
	d, err := demo.New(demo.Config{Deployment: "down", Duration: time.Second, Overtime: time.Millisecond, Callers: 2, Out: &out})
	require.NoError(t, err)
	defer func() { require.NoError(t, d.Close()) }()
	require.ErrorIs(t, d.Run(t.Context()), demo.ErrBroken)
	require.Contains(t, out.String(), "BROKEN  every request got its whole answer")
}

func TestNewRejectsUnknownDeployment(t *testing.T) {
	_, err := demo.New(demo.Config{Deployment: "elsewhere"})
	require.ErrorIs(t, err, demo.ErrDeployment)
}
