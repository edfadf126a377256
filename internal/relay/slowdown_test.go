package relay_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// previousUpdates has the fields of the version before slowdowns that matter here.
type previousUpdates struct {
	EndpointLoads map[uint32]int `cbor:"2,keyasint,omitempty"`
	Leaving       []uint32       `cbor:"4,keyasint,omitempty"`
}

// Guards against relays of the previous version that drop reports with slowdowns.
func TestPreviousVersionIgnoresSlowdowns(t *testing.T) {
	data, err := cbor.Marshal(relay.Updates{EndpointLoads: map[uint32]int{5: 2}, Slowdowns: balance.Slowdowns{5: 250}})
	require.NoError(t, err)
	var old previousUpdates
	require.NoError(t, cbor.Unmarshal(data, &old))
	require.Equal(t, previousUpdates{EndpointLoads: map[uint32]int{5: 2}}, old)
	data, err = cbor.Marshal(old)
	require.NoError(t, err)
	var current relay.Updates
	require.NoError(t, cbor.Unmarshal(data, &current))
	require.Nil(t, current.Slowdowns)
}

// Guards against invalid slowdowns that become valid because a relay decays them.
func TestRelayDropsInvalidSlowdowns(t *testing.T) {
	for _, percent := range []int{0, -250, 10_001, 1_000_000_000} {
		p := newPair(2, 1)
		p.relay.ReceiveReport(p.now, relay.Report{ID: 2, Addr: addrOf(2), Sequence: 1, Follows: true, Updates: relay.Updates{Slowdowns: balance.Slowdowns{5: percent}}})
		for _, m := range p.relay.Step(p.now.Add(time.Second), p.timing, nil, relay.Report{ID: 1, Sequence: 1}) {
			if m.Summary != nil {
				require.Empty(t, m.Summary.Updates.Slowdowns)
			}
		}
	}
}

// Guards against followers that count a slowdown as new that the relay has held, and
// against summaries that grow with the number of slow endpoints.
func TestRelayDecaysAndBoundsSlowdowns(t *testing.T) {
	p := newPair(2, 1)
	slow := balance.Slowdowns{}
	for key := range uint32(1200) {
		slow[key] = 150 + int(key)
	}
	slow[2000], slow[2001], slow[2002] = 0, -250, 1_000_000_000
	p.relay.ReceiveReport(p.now, relay.Report{ID: 2, Addr: addrOf(2), Sequence: 1, Follows: true, Updates: relay.Updates{Slowdowns: slow}})
	p.now = p.now.Add(300 * time.Millisecond)
	p.sequence = 2
	got := balance.Slowdowns{}
	for _, m := range p.relay.Step(p.now, p.timing, nil, relay.Report{ID: 1, Sequence: 1}) {
		if m.Summary == nil || !m.Summary.Fleet {
			continue
		}
		for key, percent := range m.Summary.Updates.Slowdowns {
			got[key] = percent
		}
	}
	require.Len(t, got, balance.MaxSlowdowns)
	require.NotContains(t, got, uint32(2002))
	// 1/e of what exceeds the usual time remains.
	require.InDelta(t, 100+(50+1199)*0.368, got[1199], 2)
}
