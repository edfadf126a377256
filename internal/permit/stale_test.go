package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// Guards against new work for an endpoint that left while the node was paused.
func TestPausedOwnerGrantsNothingFromStaleView(t *testing.T) {
	p := newOverload()
	p.view.At = p.now
	ask := permit.Request{ID: 1, Endpoint: "w1", Tokens: requestTokens, Lease: time.Minute}
	require.Equal(t, permit.Granted, p.gate.Admit(p.now, ask))
	resumed := p.now.Add(kernel.MaxViewAge)
	ask.ID = 2
	require.Equal(t, permit.NotOwner, p.gate.Admit(resumed, ask))
	p.view.At = resumed
	p.view.Resyncing = true
	require.Equal(t, permit.NotOwner, p.gate.Admit(resumed, ask), "view is resynchronizing")
	p.view.Resyncing = false
	require.Equal(t, permit.Granted, p.gate.Admit(resumed, ask))
}
