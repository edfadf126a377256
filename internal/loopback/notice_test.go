package loopback_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/pool"
	"bulrushhinge.example/bulrushhinge/internal/standin"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	balancePath = "/v1/services/counter/balance"
	// inARow is how many requests in a row must not reach an endpoint.
	inARow = 20
	rounds = 10
)

// askInARow asks one node for plain answers, and reports whether all came.
func askInARow(f *loopback.Fleet, node string, once bool) bool {
	for n := range inARow {
		x := exchange{node: node, path: balancePath, body: fmt.Sprint(n), repeatable: !once}
		if once {
			first, err := x.do(f)
			if err != nil {
				return false
			}
			x.ticket = first.header.Get(entry.HeaderTicket)
		}
		if x, err := x.do(f); err != nil || x.status != http.StatusOK {
			return false
		}
	}
	return true
}

// preferred returns the endpoint that answers a node's plain requests while nothing
// speaks against it.
func preferred(t *testing.T, f *loopback.Fleet, node string) *loopback.Endpoint {
	t.Helper()
	x := exchange{node: node, path: balancePath, body: "which", repeatable: true}.must(t, f)
	var answer struct{ Endpoint string }
	require.NoError(t, json.Unmarshal([]byte(x.text), &answer), x.text)
	return f.Endpoint(answer.Endpoint)
}

// Guards against requests to an endpoint that has said in an answer that it leaves,
// while neither the platform's list nor its own report says so.
func TestEndpointThatSaysItLeavesGetsNoMore(t *testing.T) {
	for name, once := range map[string]bool{"repeatable": false, "once": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, small())
			e := preferred(t, f, "n1")
			e.SetFaults(standin.EndpointFaults{Stale: true})
			// Its answers to the nodes' own calls say so too: it may get no request any more.
			e.SetLeaving(true)
			for _, node := range []string{"n1", "n2"} {
				require.Eventually(t, func() bool {
					before := e.Started()
					return askInARow(f, node, once) && e.Started() == before
				}, patience, time.Millisecond, "it gets nothing more")
				settled := e.Started()
				for range rounds {
					require.True(t, askInARow(f, node, once))
				}
				require.Equal(t, settled, e.Started())
			}
		})
	}
}

// Guards against requests to an endpoint that has asked the node for a rest.
func TestEndpointThatAsksForARestGetsIt(t *testing.T) {
	for name, once := range map[string]bool{"repeatable": false, "once": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, small())
			e := preferred(t, f, "n1")
			e.SetFaults(standin.EndpointFaults{Shed: true, Rest: time.Hour})
			require.Eventually(t, func() bool { return askInARow(f, "n1", once) && e.Refused() > 0 }, patience, time.Millisecond, "it has turned one away")
			// An endpoint that failed is tried again after this time.
			time.Sleep(pool.DefaultQuiet)
			for range rounds {
				require.True(t, askInARow(f, "n1", once))
			}
			require.Equal(t, 1, e.Refused())
		})
	}
}

// Guards against callers that wait for endpoints which all leave, or rest for longer
// than they have time.
func TestRequestThatNoEndpointTakesIsRefusedAtOnce(t *testing.T) {
	says := map[string]func(e *loopback.Endpoint){
		"leaving": func(e *loopback.Endpoint) { e.SetFaults(standin.EndpointFaults{Stale: true}); e.SetLeaving(true) },
		"resting": func(e *loopback.Endpoint) { e.SetFaults(standin.EndpointFaults{Shed: true, Rest: time.Hour}) },
	}
	for name, say := range says {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, small())
			for _, p := range []string{"p1", "p2", "p3"} {
				say(f.Endpoint(p))
			}
			require.Eventually(t, func() bool {
				x, err := exchange{node: "n1", path: balancePath, body: "x", repeatable: true, timeout: "10m"}.do(f)
				return err == nil && x.status == http.StatusServiceUnavailable && x.header.Get(entry.HeaderRan) == string(entry.RanNot)
			}, patience, time.Millisecond, "requests that may wait for ten minutes are refused")
		})
	}
}
