package reach_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
	"bulrushhinge.example/bulrushhinge/internal/reach"
)

const service = "s"

type (
	// network decides what becomes of connections.
	network struct {
		mu     sync.Mutex
		silent map[netip.AddrPort]bool
		refuse map[netip.AddrPort]bool
		asked  int
	}

	endpoints []*deployment.Endpoint
)

// Probe implements reach.Prober.
func (n *network) Probe(ctx context.Context, addr netip.AddrPort) http1.ProbeResult {
	n.mu.Lock()
	n.asked++
	silent, refuse := n.silent[addr], n.refuse[addr]
	n.mu.Unlock()
	switch {
	case refuse:
		return http1.Refused
	case silent:
		select {
		case <-time.After(http1.ConnectTimeout):
		case <-ctx.Done():
		}
		return http1.Unanswered
	}
	return http1.Accepted
}

// Snapshot implements reach.Deployment.
func (l endpoints) Snapshot() *deployment.Snapshot {
	return &deployment.Snapshot{Endpoints: map[string][]*deployment.Endpoint{service: l}}
}

func newEndpoints(n int) endpoints {
	var list endpoints
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		list = append(list, &deployment.Endpoint{ID: fmt.Sprint("e", i), Service: service, Addr: addr})
	}
	return list
}

// setLost loses the paths to endpoints, in silence or by refusals.
func (n *network) setLost(list endpoints, silent, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range list {
		n.silent[e.Addr], n.refuse[e.Addr] = silent, refuse
	}
}

func newNetwork() *network {
	return &network{silent: map[netip.AddrPort]bool{}, refuse: map[netip.AddrPort]bool{}}
}

func TestLostPathsAreFoundAndFoundAgain(t *testing.T) {
	for _, c := range []struct {
		name           string
		size, lost     int
		silent, refuse bool
		// found says that the service counts as lost, within the time.
		found  bool
		within time.Duration
	}{
		{name: "all fall silent", size: 18, lost: 18, silent: true, found: true, within: time.Second},
		{name: "all refuse", size: 18, lost: 18, refuse: true, found: true, within: 10 * time.Millisecond},
		{name: "a single endpoint falls silent", size: 1, lost: 1, silent: true, found: true, within: time.Second},
		{name: "one of many falls silent", size: 18, lost: 1, silent: true},
		{name: "half of them refuse, for the rest there is room", size: 2, lost: 1, refuse: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, list := newNetwork(), newEndpoints(c.size)
				tracker := reach.NewTracker(reach.Config{Prober: n, Deployment: list})
				defer tracker.Close()
				n.setLost(list[:c.lost], c.silent, c.refuse)
				tracker.Failed(list[0], time.Now())
				time.Sleep(max(c.within, 2*time.Second))
				synctest.Wait()
				require.Equal(t, !c.found, tracker.Reaches(service))
				if !c.found {
					return
				}
				require.LessOrEqual(t, time.Since(tracker.Lost()[service]), 2*time.Second)
				require.GreaterOrEqual(t, time.Since(tracker.Lost()[service]), 2*time.Second-c.within)
				n.setLost(list, false, false)
				time.Sleep(time.Second)
				synctest.Wait()
				require.True(t, tracker.Reaches(service), "the path is back")
			})
		})
	}
}

// Guards against a connection to other endpoints for each failure of one.
func TestFailuresOfOneEndpointCostFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, list := newNetwork(), newEndpoints(18)
		tracker := reach.NewTracker(reach.Config{Prober: n, Deployment: list})
		defer tracker.Close()
		n.setLost(list[:1], false, true)
		for range 100 {
			tracker.Failed(list[0], time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		require.LessOrEqual(t, n.asked, 4, "one each half second")
		tracker.Opened(service)
		time.Sleep(time.Second)
		before := n.asked
		tracker.Failed(list[0], time.Now().Add(-2*time.Second))
		synctest.Wait()
		require.Equal(t, before, n.asked, "a connection was opened since")
	})
}

// Guards against a release that is taken for a lost path: no endpoint is listed for a
// moment.
func TestServiceWithoutEndpointsIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		tracker := reach.NewTracker(reach.Config{Prober: n, Deployment: endpoints{}})
		defer tracker.Close()
		tracker.Failed(newEndpoints(1)[0], time.Now())
		synctest.Wait()
		require.True(t, tracker.Reaches(service))
	})
}

// Changes are reported once each.
func TestChangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, list := newNetwork(), newEndpoints(4)
		var changes []bool
		tracker := reach.NewTracker(reach.Config{Prober: n, Deployment: list, Changed: func(_ string, reached bool) { changes = append(changes, reached) }})
		defer tracker.Close()
		n.setLost(list, true, false)
		tracker.Failed(list[0], time.Now())
		time.Sleep(10 * time.Second)
		n.setLost(list, false, false)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, []bool{false, true}, changes)
	})
}
