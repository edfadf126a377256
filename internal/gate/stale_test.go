package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Guards against new work for an endpoint that left while the node was paused.
func TestPausedOwnerGrantsNothingFromStaleView(t *testing.T) {
	p := newOverload()
	p.view.At = p.now
	ask := gate.Request{ID: 1, Endpoint: "w1", Tokens: requestTokens, Lease: time.Minute}
	require.Equal(t, gate.Granted, p.gate.Admit(p.now, ask))
	resumed := p.now.Add(kernel.MaxViewAge)
	ask.ID = 2
	require.Equal(t, gate.NotOwner, p.gate.Admit(resumed, ask))
	p.view.At = resumed
	p.view.Resyncing = true
	require.Equal(t, gate.NotOwner, p.gate.Admit(resumed, ask), "view is resynchronizing")
	p.view.Resyncing = false
	require.Equal(t, gate.Granted, p.gate.Admit(resumed, ask))
}
