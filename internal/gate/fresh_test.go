package gate_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// Guards against this failure: an endpoint that has long been leaving gets new work.
func TestPausedHomeGrantsNothingOnAnOldView(t *testing.T) {
	p := newPressed()
	p.view.At = p.now
	ask := gate.Ask{ID: 1, Endpoint: "w1", Tokens: requestTokens, Lease: time.Minute}
	require.Equal(t, gate.Granted, p.gate.Admit(p.now, ask))
	woken := p.now.Add(kernel.MaxAge)
	ask.ID = 2
	require.Equal(t, gate.NotHome, p.gate.Admit(woken, ask))
	p.view.At = woken
	p.view.Doubtful = true
	require.Equal(t, gate.NotHome, p.gate.Admit(woken, ask), "until it has heard from its peers")
	p.view.Doubtful = false
	require.Equal(t, gate.Granted, p.gate.Admit(woken, ask))
}
