package gossip_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
)

// previousHeartbeat has the fields of the version before slowdowns that matter here.
type previousHeartbeat struct {
	ID            uint64         `cbor:"1,keyasint"`
	Sequence      uint64         `cbor:"2,keyasint"`
	EndpointLoads map[uint32]int `cbor:"12,keyasint,omitempty"`
}

// Guards against nodes of the previous version that drop heartbeats with slowdowns, and
// against heartbeats that change where there are none.
func TestPreviousVersionIgnoresSlowdowns(t *testing.T) {
	f := newFleet(t)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.ip(1), f.port)))
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	two := f.start(2, &fakeReplica{})
	receive := func() (previousHeartbeat, map[int]cbor.RawMessage) {
		data := make([]byte, 1<<16)
		require.NoError(t, socket.SetReadDeadline(time.Now().Add(10*time.Second)))
		n, err := socket.Read(data)
		require.NoError(t, err)
		var old previousHeartbeat
		require.NoError(t, cbor.Unmarshal(data[:n], &old))
		var raw map[int]cbor.RawMessage
		require.NoError(t, cbor.Unmarshal(data[:n], &raw))
		return old, raw
	}
	_, raw := receive()
	require.NotContains(t, raw, 23)

	two.work.mu.Lock()
	two.work.reports, two.work.slowdowns = map[uint32]int{5: 2}, balance.Slowdowns{5: 250}
	two.work.mu.Unlock()
	for range 100 {
		old, raw := receive()
		if raw[23] == nil {
			continue
		}
		var sent map[uint32]int
		require.NoError(t, cbor.Unmarshal(raw[23], &sent))
		require.Equal(t, map[uint32]int{5: 250}, sent)
		require.Equal(t, map[uint32]int{5: 2}, old.EndpointLoads)
		require.NotZero(t, old.ID)
		return
	}
	require.Fail(t, "no heartbeat with slowdowns")
}
