package gateway_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
	"bulrushhinge.example/bulrushhinge/internal/handover"
)

// newTaker returns a gateway that serves no callers.
func newTaker() *gateway.Handler {
	return gateway.New(gateway.Config{
		Deployment: staticDeployment{snapshot: &deployment.Snapshot{Config: &deployment.Config{Version: 1}}},
		Stopping:   func() bool { return false },
	})
}

// Guards against more memory than a node has, as the bodies of many requests that other
// nodes hand over are read at once.
func TestBodiesOfHandedOverRequestsAreHeldFromTheirOffer(t *testing.T) {
	const size, most = 8 << 20, 8
	h := newTaker()
	offer := &handover.Offer{Method: "POST", URI: "/x", Size: size}
	for range most {
		require.Empty(t, h.Take(offer))
	}
	require.Equal(t, "busy", h.Take(offer))
	require.Equal(t, "busy", h.Take(&handover.Offer{Method: "POST", URI: "/x", Size: math.MaxInt64}))
	h.Release(offer)
	require.Empty(t, h.Take(offer), "there is room again")
	require.Equal(t, "busy", h.Take(offer))
}
