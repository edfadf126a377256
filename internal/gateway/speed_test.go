package gateway_test

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against requests that are abandoned at an endpoint that says that it is slow,
// and wait again elsewhere.
func TestSlowEndpointIsNotAbandonedAsSilent(t *testing.T) {
	const objective = 200 * time.Millisecond
	for _, c := range []struct {
		name, load, body string
		sends            int
		late             time.Duration
	}{
		{name: "as usual", load: "Load: 0,0,4,100\r\n", body: "hi", sends: 2, late: time.Minute},
		{name: "slow", load: "Load: 0,0,4,500\r\n", body: "late", sends: 1, late: objective * 3 / 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			late := func(conn net.Conn, r *http.Request) bool {
				return pause(conn, c.late) && whole(200, "late", c.load)(conn, r)
			}
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: objective},
				newEndpoint(t, whole(200, "first", c.load), late), newEndpoint(t, whole(200, "hi", c.load)))
			for f.endpoints[0].count() == 0 {
				f.post(t, "/p/x", nil)
			}
			for f.endpoints[0].count() == 1 {
				before := f.arrivals()
				got := f.post(t, "/p/x", nil)
				if f.endpoints[0].count() > 1 {
					require.Equal(t, c.body, got.body)
					require.Equal(t, before+c.sends, f.arrivals())
				}
			}
		})
	}
}

// Guards against malformed load headers that change decisions, go unnoticed, or fill the
// log.
func TestMalformedLoadIsCountedAndLogged(t *testing.T) {
	f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 2}, newEndpoint(t,
		whole(200, "hi", "Load: "+strings.Repeat("x", 2000)+"\r\n"), whole(200, "hi", "Load: 1,0,4,250\r\n"), whole(200, "hi")))
	for range 3 {
		require.Equal(t, 200, f.post(t, "/p/x", nil).status)
	}
	var metrics bytes.Buffer
	f.metrics.Write(&metrics)
	require.Contains(t, metrics.String(), "bulrushhinge_gateway_malformed_loads_total 1\n")
	require.Contains(t, metrics.String(), "bulrushhinge_gateway_endpoint_slowdown_count 1\n")
	f.log.Close()
	lines := strings.Split(strings.TrimSpace(f.logged.String()), "\n")
	bad, slow := 0, 0
	for _, line := range lines {
		if strings.Contains(line, `"load.bad"`) {
			bad++
			require.Less(t, len(line), 600)
		}
		if strings.Contains(line, `"slowdown":`) {
			slow++
			require.Contains(t, line, `"slowdown_ms":`)
		}
	}
	require.Equal(t, 1, bad)
	require.Equal(t, 1, slow)
}
