package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// Guards against a request that ends endpoints and whose reports wait, or are dropped,
// behind those of innocent requests that shared these endpoints.
func TestCrashesOfSuspectedRequestReachAllNodesBesideOthers(t *testing.T) {
	for name, each := range map[string]int{"whole requests": 1, "requests with five shared parts": 11} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reachBeside(t, each)
		})
	}
}

// reachBeside plays crashes of a suspected feature beside others, each of innocent
// requests with some features.
func reachBeside(t *testing.T, each int) {
	const (
		suspect   = 1
		endpoints = 3
		// unproven is the feature of ends that are not proven; nodes are refused
		// connections by the same endpoints.
		unproven = 2
		reports  = 3 * endpoints
		// Three full endpoints break the requests of many nodes.
		slots     = 128
		reporters = 128
		// bound is the time after the third end in which no node may send the request
		// any more.
		bound = 3 * time.Second
	)
	m := newModel(whole(585, 3))
	m.run(3 * time.Second)
	known := make([]map[relay.Crash]bool, len(m.nodes))
	for i, a := range m.nodes {
		known[i] = map[relay.Crash]bool{}
		a.onFleet = func(s *relay.Summary) {
			for _, k := range s.Updates.Crashes {
				if k.Feature == suspect {
					known[i][k] = true
				}
			}
			for _, k := range s.Updates.Unproven {
				if k.Feature == unproven || k.Feature == 0 {
					known[i][k] = true
				}
			}
		}
	}
	for i, a := range m.nodes[:reporters] {
		a.updates = relay.Updates{}
		for n := range endpoints * slots / reporters * each {
			a.updates.Crashes = append(a.updates.Crashes, relay.Crash{Feature: uint64(1000*(i+1) + n), Endpoint: uint32(n % endpoints)})
		}
	}
	for endpoint := range uint32(endpoints) {
		a := m.nodes[7*endpoint+3]
		a.updates.Crashes = append(a.updates.Crashes, relay.Crash{Feature: suspect, Endpoint: endpoint})
		a.updates.Unproven = append(a.updates.Unproven, relay.Crash{Feature: unproven, Endpoint: endpoint}, relay.Crash{Endpoint: endpoint})
	}
	took := time.Duration(0)
	missing := func() (n int) {
		for _, k := range known {
			n += reports - len(k)
		}
		return n
	}
	for ; missing() > 0 && took < bound; took += m.timing.Step {
		m.run(m.timing.Step)
	}
	t.Logf("%d of %d reports missing after %v", missing(), reports*len(m.nodes), took)
	require.Zero(t, missing())
}
