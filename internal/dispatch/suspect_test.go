package dispatch_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/dispatch"
	"bulrushhinge.example/bulrushhinge/internal/endpoint"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/poison"
	"bulrushhinge.example/bulrushhinge/internal/route"
)

var errTimeout = errors.New("no answer in time")

// leaseNode is a node that grants leases. The first releases sent to it are lost.
type leaseNode struct {
	leases *poison.Leases
	lost   atomic.Int64
}

func (h *leaseNode) Acquire(_ context.Context, _ netip.AddrPort, l poison.Lease) (bool, error) {
	return h.leases.Acquire(time.Now(), l), nil
}

func (h *leaseNode) ReleaseLease(_ context.Context, _ netip.AddrPort, l poison.Lease, died bool) error {
	if h.lost.Add(-1) >= 0 {
		return errTimeout
	}
	h.leases.Release(time.Now(), l, died)
	return nil
}

// fingerprintFor returns the fingerprint of a request whose leases the node grants.
func fingerprintFor(node string, nodes []kernel.Node) uint64 {
	for content := uint64(1); ; content++ {
		if holder, _ := poison.LeaseNode(content, nodes); holder.Name == node {
			return content
		}
	}
}

// Guards against a suspected request that waits until its deadline for a lease that is
// no longer in use, since the message that released it was lost.
func TestLostLeaseReleaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := []kernel.Node{{Name: "n1"}, {Name: "n2"}}
		content := fingerprintFor("n2", nodes)
		v := &kernel.View{
			Self: nodes[0], Nodes: nodes, Pools: map[string]*kernel.Pool{},
			Suspects: map[uint64]kernel.Suspicion{content: {Endpoints: []string{"w1"}}},
		}
		h := &leaseNode{leases: poison.NewLeases(0)}
		h.lost.Store(2)
		d := dispatch.New(dispatch.Config{View: func() *kernel.View { return v }, PeerLeases: h})
		defer d.Close()
		for range 2 {
			_, err := d.Do(t.Context(), route.Request{Service: "s", Fingerprint: content, Deadline: time.Now().Add(3 * time.Minute)}, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			// The pool is empty, which a request finds out only once it has the lease.
			require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
		}
	})
}

// leaseNodes are nodes that grant leases, by address. The answer to the very first request is
// lost.
type leaseNodes struct {
	leases   map[netip.AddrPort]*poison.Leases
	requests atomic.Int64
	// onLost is called when the first answer is lost.
	onLost func()
}

func (h *leaseNodes) Acquire(_ context.Context, to netip.AddrPort, l poison.Lease) (bool, error) {
	granted := h.leases[to].Acquire(time.Now(), l)
	if h.requests.Add(1) == 1 {
		h.onLost()
		return false, errTimeout
	}
	return granted, nil
}

func (h *leaseNodes) ReleaseLease(_ context.Context, to netip.AddrPort, l poison.Lease, died bool) error {
	h.leases[to].Release(time.Now(), l, died)
	return nil
}

// Guards against a suspected request that waits until its deadline for a lease that it
// holds without knowing: the reply was lost, and then another node became responsible
// for the lease for a while.
func TestLeaseOfPreviousNodeIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := []kernel.Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}
		for i := range nodes {
			nodes[i].Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		}
		content := fingerprintFor("n2", nodes)
		var v atomic.Pointer[kernel.View]
		setState := func(state kernel.State) {
			list := slices.Clone(nodes)
			list[1].State = state
			v.Store(&kernel.View{
				Self: nodes[0], Nodes: list, Pools: map[string]*kernel.Pool{},
				Suspects: map[uint64]kernel.Suspicion{content: {Endpoints: []string{"w1"}}},
			})
		}
		setState(kernel.Live)
		h := &leaseNodes{leases: map[netip.AddrPort]*poison.Leases{}, onLost: func() { setState(kernel.Suspect) }}
		for _, n := range nodes {
			h.leases[n.Peer] = poison.NewLeases(0)
		}
		d := dispatch.New(dispatch.Config{View: v.Load, PeerLeases: h, Leases: h.leases[nodes[0].Peer]})
		defer d.Close()
		for range 2 {
			_, err := d.Do(t.Context(), route.Request{Service: "s", Fingerprint: content, Deadline: time.Now().Add(3 * time.Minute)}, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
			setState(kernel.Live)
		}
	})
}
