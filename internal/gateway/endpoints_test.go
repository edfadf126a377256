package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// leavingReserver is a Reserver whose endpoints become unavailable while they
// reserve a slot.
type leavingReserver struct{ leave func(e *deployment.Endpoint) }

// Reserve implements gateway.Reserver.
func (l leavingReserver) Reserve(_ context.Context, e *deployment.Endpoint, _ gateway.ReserveRequest) (gateway.ReserveResponse, error) {
	l.leave(e)
	return gateway.ReserveResponse{Name: "place"}, nil
}

// Guards against a caller that waits for a response although no endpoint may be sent
// its request.
func TestRefusedAtOnceIfNoEndpointIsAvailable(t *testing.T) {
	cases := []struct {
		name      string
		evacuated []bool
		draining  []bool
		residency []string
		status    int
		reason    string
	}{
		{name: "two endpoints", evacuated: []bool{false, false}, status: 200},
		{name: "one zone is evacuated", evacuated: []bool{true, false}, status: 200},
		{name: "all zones are evacuated", evacuated: []bool{true, true}, status: 503, reason: "zones-evacuated\n"},
		{name: "one zone is evacuated and the other endpoint drains", evacuated: []bool{true, false}, draining: []bool{false, true}, status: 503, reason: "zones-evacuated\n"},
		{name: "all endpoints drain", draining: []bool{true, true}, status: 503, reason: "endpoints-leaving\n"},
		{name: "one endpoint in a residency region", residency: []string{"r1"}, status: 200},
		{name: "no endpoint in a residency region", residency: []string{"r2"}, status: 503, reason: "no-endpoint-in-homes\n"},
		{name: "the residency region is evacuated", residency: []string{"r1"}, evacuated: []bool{false, true}, status: 503, reason: "zones-evacuated\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := deployment.Route{Kind: deployment.Idempotent, Attempts: 2, Objective: 20 * time.Second, Regions: c.residency}
			f := newFixture(t, route, newEndpoint(t, whole(200, "0")), newEndpoint(t, whole(200, "1")))
			for i, e := range f.snapshot.Endpoints["s"] {
				e.Zone = []string{"z0", "z1"}[i]
				e.Evacuated = c.evacuated != nil && c.evacuated[i]
				e.Draining = c.draining != nil && c.draining[i]
			}
			began := time.Now()
			a := f.post(t, "/p/x", nil)
			require.Equal(t, c.status, a.status)
			if c.reason != "" {
				require.Equal(t, c.reason, a.body)
				require.NotEmpty(t, a.header.Get("Retry-After"))
				require.Zero(t, f.arrivals())
				// An eighth of the objective is how long it would wait for a slot.
				require.Less(t, time.Since(began), route.Objective/8)
			}
		})
	}
}

// If a route and a client account both name residency regions, both restrict requests.
func TestResidencyOfRouteAndAccount(t *testing.T) {
	cases := []struct {
		name           string
		route, account []string
		want           []int
	}{
		{name: "no regions", want: []int{200, 200}},
		{name: "the route's regions", route: []string{"r1"}, want: []int{0, 200}},
		{name: "the account's regions", account: []string{"r0"}, want: []int{200, 0}},
		{name: "regions of both", route: []string{"r0", "r1"}, account: []string{"r1", "r2"}, want: []int{0, 200}},
		{name: "regions of both, none in common", route: []string{"r0"}, account: []string{"r1"}, want: []int{0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, deployment.Route{Kind: deployment.Idempotent, Attempts: 1, Regions: c.route},
				newEndpoint(t, whole(200, "0")), newEndpoint(t, whole(200, "1")))
			f.snapshot.Config.Accounts[0].Regions = c.account
			for i, e := range f.snapshot.Endpoints["s"] {
				e.Zone = []string{"z0", "z1"}[i]
			}
			for range 40 {
				f.post(t, "/k/x", map[string]string{"Api-Key": "key"})
			}
			for i, e := range f.endpoints {
				require.Equal(t, c.want[i] > 0, e.count() > 0, "endpoint %d", i)
			}
		})
	}
}

// Guards against a request that reaches an endpoint after the time limit for evacuating
// its zone: the endpoint becomes unavailable between the choice and the send.
func TestEndpointLeavingAfterChoiceGetsNoRequest(t *testing.T) {
	f := &fixture{endpoints: []*endpoint{newEndpoint(t, whole(200, "0")), newEndpoint(t, whole(200, "1"))}}
	route := deployment.Route{
		Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.AtMostOnce, Attempts: 1, Cached: true,
		Timeout: 5 * time.Second, Objective: time.Second, Split: []deployment.Share{{Service: "s", Weight: 1}},
	}
	config := &deployment.Config{
		Version: 1, Routes: []deployment.Route{route}, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Services: map[string]deployment.Service{"s": {Name: "s", Model: true, Slots: 4}},
	}
	// The first endpoint that gets a reservation request leaves at that moment.
	left := ""
	f.serve(t, config, busyLoads{}, leavingReserver{leave: func(e *deployment.Endpoint) {
		if left == "" {
			left, e.Evacuated = e.ID, true
		}
	}})
	a := f.post(t, "/p/x", map[string]string{"Prompt": "doc:10,own:1", "Model": "m"})
	require.Equal(t, 200, a.status)
	require.NotEmpty(t, left)
	require.Equal(t, 1, f.arrivals())
	for i, e := range f.snapshot.Endpoints["s"] {
		require.Equal(t, e.ID == left, f.endpoints[i].count() == 0)
	}
}

// busyLoads reports loads at which slots may be scarce.
type busyLoads struct{ noLoads }

// Others implements balance.Loads.
func (busyLoads) Others(uint32) int { return 3 }
