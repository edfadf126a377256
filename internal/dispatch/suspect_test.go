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

var errLate = errors.New("no answer in time")

// holder is a node that grants leases, and does not hear of some that are given back.
type holder struct {
	leases  *poison.Leases
	unheard atomic.Int64
}

func (h *holder) Acquire(_ context.Context, _ netip.AddrPort, l poison.Lease) (bool, error) {
	return h.leases.Acquire(time.Now(), l), nil
}

func (h *holder) GiveBack(_ context.Context, _ netip.AddrPort, l poison.Lease, died bool) error {
	if h.unheard.Add(-1) >= 0 {
		return errLate
	}
	h.leases.Release(time.Now(), l, died)
	return nil
}

// contentOf returns the content of a request whose leases a node grants.
func contentOf(node string, nodes []kernel.Node) uint64 {
	for content := uint64(1); ; content++ {
		if holder, _ := poison.Holder(content, nodes); holder.Name == node {
			return content
		}
	}
}

// Guards against a suspected request that waits until its deadline for a lease which
// was given back, but not heard of.
func TestLeaseIsGivenBackUntilItsHolderHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := []kernel.Node{{Name: "n1"}, {Name: "n2"}}
		content := contentOf("n2", nodes)
		v := &kernel.View{
			Self: nodes[0], Nodes: nodes, Pools: map[string]*kernel.Pool{},
			Suspects: map[uint64]kernel.Suspicion{content: {Endpoints: []string{"w1"}}},
		}
		h := &holder{leases: poison.NewLeases(0)}
		h.unheard.Store(2)
		d := dispatch.New(dispatch.Config{View: func() *kernel.View { return v }, PeerLeases: h})
		defer d.Close()
		for range 2 {
			_, err := d.Do(t.Context(), route.Request{Service: "s", Print: content, Deadline: time.Now().Add(3 * time.Minute)}, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			// The pool is empty: that is found out only with the lease.
			require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
		}
	})
}

// holders are nodes that grant leases, by their addresses. The answer to the first ask of
// all is lost.
type holders struct {
	leases map[netip.AddrPort]*poison.Leases
	asked  atomic.Int64
	// lost is called when the first answer is lost.
	lost func()
}

func (h *holders) Acquire(_ context.Context, to netip.AddrPort, l poison.Lease) (bool, error) {
	granted := h.leases[to].Acquire(time.Now(), l)
	if h.asked.Add(1) == 1 {
		h.lost()
		return false, errLate
	}
	return granted, nil
}

func (h *holders) GiveBack(_ context.Context, to netip.AddrPort, l poison.Lease, died bool) error {
	h.leases[to].Release(time.Now(), l, died)
	return nil
}

// Guards against a suspected request that waits until its deadline for a lease which its
// holder granted unheard, before another node became the holder for a while.
func TestLeaseOfAnEarlierHolderIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := []kernel.Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}
		for i := range nodes {
			nodes[i].Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		}
		content := contentOf("n2", nodes)
		var v atomic.Pointer[kernel.View]
		show := func(state kernel.State) {
			now := slices.Clone(nodes)
			now[1].State = state
			v.Store(&kernel.View{
				Self: nodes[0], Nodes: now, Pools: map[string]*kernel.Pool{},
				Suspects: map[uint64]kernel.Suspicion{content: {Endpoints: []string{"w1"}}},
			})
		}
		show(kernel.Live)
		h := &holders{leases: map[netip.AddrPort]*poison.Leases{}, lost: func() { show(kernel.Suspect) }}
		for _, n := range nodes {
			h.leases[n.Peer] = poison.NewLeases(0)
		}
		d := dispatch.New(dispatch.Config{View: v.Load, PeerLeases: h, Leases: h.leases[nodes[0].Peer]})
		defer d.Close()
		for range 2 {
			_, err := d.Do(t.Context(), route.Request{Service: "s", Print: content, Deadline: time.Now().Add(3 * time.Minute)}, endpoint.Call{})
			var refusal *dispatch.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, route.ReasonNoEndpoint, refusal.Reason)
			show(kernel.Live)
		}
	})
}
