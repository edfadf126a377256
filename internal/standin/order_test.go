package standin_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/standin"
)

// A node that was paused and has been replaced as the endpoint's owner must not
// undo an order of the new owner: its fencing number is older.
func TestOrdersWithOldFencingNumbers(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		e := standin.NewEndpoint(standin.EndpointConfig{Name: "e", Unfenced: unfenced})
		server := httptest.NewServer(e)
		defer server.Close()
		addr := netip.MustParseAddrPort(server.Listener.Addr().String())
		client := endpoint.NewClient(endpoint.ClientConfig{})
		defer client.Close()
		newer := endpoint.Order{Fence: 2, Models: []string{"new"}}
		for range 2 {
			reply, err := client.Order(t.Context(), addr, newer)
			require.NoError(t, err, "an order that is resent after a lost reply is accepted")
			require.Equal(t, uint64(2), reply.Fence)
		}
		reply, err := client.Order(t.Context(), addr, endpoint.Order{Fence: 1, Models: []string{"old"}})
		last, _ := e.Orders()
		if unfenced {
			require.NoError(t, err)
			require.Equal(t, []string{"old"}, last.Models)
			continue
		}
		require.ErrorIs(t, err, endpoint.ErrFenced)
		require.Equal(t, uint64(2), reply.Fence)
		require.Equal(t, []string{"new"}, last.Models)
	}
}
