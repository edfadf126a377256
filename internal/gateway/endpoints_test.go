package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// leaver reserves places at endpoints that may be sent nothing by the time they
// have kept one.
type leaver struct{ leave func(e *deployment.Endpoint) }

// Reserve implements gateway.Reserver.
func (l leaver) Reserve(_ context.Context, e *deployment.Endpoint, _ gateway.Reservation) (gateway.Place, error) {
	l.leave(e)
	return gateway.Place{Name: "place"}, nil
}

// Guards against this failure: a caller waits for an answer that nobody may give.
func TestRequestsThatNoEndpointMayTakeAreRefusedAtOnce(t *testing.T) {
	cases := []struct {
		name      string
		evacuated []bool
		draining  []bool
		homes     []string
		status    int
		reason    string
	}{
		{name: "two endpoints", evacuated: []bool{false, false}, status: 200},
		{name: "one is left", evacuated: []bool{true, false}, status: 200},
		{name: "all zones are evacuated", evacuated: []bool{true, true}, status: 503, reason: "zones-evacuated\n"},
		{name: "the rest drains", evacuated: []bool{true, false}, draining: []bool{false, true}, status: 503, reason: "zones-evacuated\n"},
		{name: "all drain", draining: []bool{true, true}, status: 503, reason: "endpoints-leaving\n"},
		{name: "one is at home", homes: []string{"r1"}, status: 200},
		{name: "none is at home", homes: []string{"r2"}, status: 503, reason: "no-endpoint-in-homes\n"},
		{name: "the home is evacuated", homes: []string{"r1"}, evacuated: []bool{false, true}, status: 503, reason: "zones-evacuated\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: 20 * time.Second, Homes: c.homes}
			f := newFixture(t, route, newEndpoint(t, whole(200, "0")), newEndpoint(t, whole(200, "1")))
			for i, e := range f.snapshot.Endpoints["s"] {
				e.Zone = []string{"z0", "z1"}[i]
				e.Evacuated = c.evacuated != nil && c.evacuated[i]
				e.Draining = c.draining != nil && c.draining[i]
			}
			began := time.Now()
			a := f.ask(t, "/p/x", nil)
			require.Equal(t, c.status, a.status)
			if c.reason != "" {
				require.Equal(t, c.reason, a.body)
				require.NotEmpty(t, a.header.Get("Retry-After"))
				require.Zero(t, f.arrivals())
				// An eighth of the objective is how long it would wait for a place.
				require.Less(t, time.Since(began), route.Objective/8)
			}
		})
	}
}

// Where a route and a client account both name regions, both bind.
func TestHomesOfRouteAndAccount(t *testing.T) {
	cases := []struct {
		name           string
		route, account []string
		want           []int
	}{
		{name: "none is named", want: []int{200, 200}},
		{name: "the route's", route: []string{"r1"}, want: []int{0, 200}},
		{name: "the account's", account: []string{"r0"}, want: []int{200, 0}},
		{name: "both", route: []string{"r0", "r1"}, account: []string{"r1", "r2"}, want: []int{0, 200}},
		{name: "both, which have none in common", route: []string{"r0"}, account: []string{"r1"}, want: []int{0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 1, Homes: c.route},
				newEndpoint(t, whole(200, "0")), newEndpoint(t, whole(200, "1")))
			f.snapshot.Config.Accounts[0].Homes = c.account
			for i, e := range f.snapshot.Endpoints["s"] {
				e.Zone = []string{"z0", "z1"}[i]
			}
			for range 40 {
				f.ask(t, "/k/x", map[string]string{"Api-Key": "key"})
			}
			for i, e := range f.endpoints {
				require.Equal(t, c.want[i] > 0, e.count() > 0, "endpoint %d", i)
			}
		})
	}
}

// Guards against this failure: a request reaches an endpoint past the bound on the evacuation
// of its zone.
func TestNothingIsSentToAnEndpointThatLeftAfterTheChoice(t *testing.T) {
	f := &fixture{endpoints: []*endpoint{newEndpoint(t, whole(200, "0")), newEndpoint(t, whole(200, "1"))}}
	route := deployment.Route{
		Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.AtMostOnce, Attempts: 1, Cached: true,
		Timeout: 5 * time.Second, Objective: time.Second, Split: []deployment.Share{{Service: "s", Weight: 1}},
	}
	config := &deployment.Config{
		Version: 1, Routes: []deployment.Route{route}, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Services: map[string]deployment.Service{"s": {Name: "s", Model: true, Slots: 4}},
	}
	// The first that is asked for a place leaves at that moment.
	left := ""
	f.serve(t, config, busy{}, leaver{leave: func(e *deployment.Endpoint) {
		if left == "" {
			left, e.Evacuated = e.ID, true
		}
	}})
	a := f.ask(t, "/p/x", map[string]string{"Prompt": "doc:10,own:1", "Model": "m"})
	require.Equal(t, 200, a.status)
	require.NotEmpty(t, left)
	require.Equal(t, 1, f.arrivals())
	for i, e := range f.snapshot.Endpoints["s"] {
		require.Equal(t, e.ID == left, f.endpoints[i].count() == 0)
	}
}

// busy are loads at which places may be short.
type busy struct{ noLoads }

// Others implements balance.Loads.
func (busy) Others(uint32) int { return 3 }
