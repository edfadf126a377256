package gateway_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

const reserved = "Reserved"

type (
	// others is how many requests other nodes have sent to each endpoint.
	others int

	// engines is a Reserver that grants slots while an engine has free ones.
	engines struct {
		mu        sync.Mutex
		free      map[string]int
		requested map[string]int
		err       error
		// notices are the notices in the engines' responses.
		notices map[string]gateway.Notice
	}
)

func (o others) Others(uint32) int { return int(o) }

func (others) OthersPrefill(uint32) int { return 0 }

// OthersFailures implements balance.Loads: no attempt has failed.
func (others) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: the loads are current.
func (others) Age(time.Time) time.Duration { return 0 }

// Reserve implements gateway.Reserver.
func (e *engines) Reserve(_ context.Context, to *deployment.Endpoint, _ gateway.ReserveRequest) (gateway.ReserveResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested[to.ID]++
	place := gateway.ReserveResponse{Notice: e.notices[to.ID]}
	if e.err != nil {
		return place, e.err
	}
	if e.free[to.ID] == 0 {
		return place, gateway.ErrFull
	}
	e.free[to.ID]--
	place.Name = "place-at-" + to.ID
	return place, nil
}

// newEngines returns a gateway in front of engines with four slots, to each of which
// other nodes have sent some requests.
func newEngines(t *testing.T, sent int, places *engines, list ...*endpoint) *fixture {
	f := &fixture{endpoints: list}
	config := &deployment.Config{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20},
		Routes: []deployment.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.Streaming, Cached: true, Attempts: 1,
			Split: []deployment.Share{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, Objective: 400 * time.Millisecond,
		}, {
			Name: "resumable", Host: "h", Prefix: "/r/", Public: true, Kind: deployment.Resumable, Cached: true, Attempts: 2,
			Split: []deployment.Share{{Service: "s", Weight: 1}}, Timeout: 30 * time.Second, Objective: 100 * time.Millisecond,
		}},
		Services: map[string]deployment.Service{"s": {Name: "s", Model: true, Slots: 4}},
	}
	f.serve(t, config, others(sent), places)
	return f
}

// Guards against most requests waiting for a second at engines, and being late, while
// other engines have free slots.
func TestSlotsAreReservedIfScarce(t *testing.T) {
	cases := []struct {
		name string
		// sent is how many requests other nodes have sent to each engine.
		sent int
		free map[string]int
		err  error
		// requested says that a reservation is requested, and reserved that the request
		// names it.
		requested, reserved bool
		status              int
		arrivals            int
	}{
		{name: "an engine that reserves a slot gets the request", sent: 3, free: map[string]int{"e0": 1, "e1": 1}, requested: true, reserved: true, status: 200, arrivals: 1},
		{name: "the only engine with a free slot gets the request", sent: 3, free: map[string]int{"e1": 1}, requested: true, reserved: true, status: 200, arrivals: 1},
		{name: "nothing is sent if no engine has a free slot", sent: 3, requested: true, status: 503},
		{name: "an engine without reservations gets the request unreserved", sent: 3, err: gateway.ErrNoReservations, requested: true, status: 200, arrivals: 1},
		{name: "an engine that cannot be asked gets the request unreserved", sent: 3, err: errors.New("no connection"), requested: true, status: 200, arrivals: 1},
		{name: "nothing is reserved while slots are not scarce", sent: 1, status: 200, arrivals: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := newEndpoint(t, stream(2, "", true)), newEndpoint(t, stream(2, "", true))
			places := &engines{free: c.free, requested: map[string]int{}, err: c.err}
			f := newEngines(t, c.sent, places, a, b)
			answer := f.post(t, "/p/x", map[string]string{"Prompt": "system:10,doc:500,own:20"})
			require.Equal(t, c.status, answer.status)
			require.Equal(t, c.arrivals, f.arrivals())
			require.Equal(t, c.requested, len(places.requested) > 0)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, answer.header.Get("Retry-After"))
			}
			for _, e := range f.endpoints {
				for _, r := range e.requests {
					require.Equal(t, c.reserved, r.Header.Get(reserved) != "")
				}
			}
		})
	}
}

// Guards against an engine that gets more reservation requests than requests.
func TestFullEngineIsNotAskedAgainAtOnce(t *testing.T) {
	e := newEndpoint(t, stream(2, "", true))
	places := &engines{requested: map[string]int{}}
	f := newEngines(t, 3, places, e)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { f.post(t, "/p/x", map[string]string{"Prompt": "doc:500,own:20"}) })
	}
	group.Wait()
	require.Zero(t, f.arrivals())
	// Twenty requests wait for an eighth of 400 ms each and look every 5 ms.
	require.LessOrEqual(t, places.requested["e0"], 20)
}

// Guards against long prompts that are read twice, and so begin later, because an
// engine is abandoned while it reads.
func TestReadingEngineIsNotAbandoned(t *testing.T) {
	const reading = 600 * time.Millisecond
	slow := func(c net.Conn, r *http.Request) bool {
		time.Sleep(reading)
		return stream(2, "", true)(c, r)
	}
	a, b := newEndpoint(t, slow), newEndpoint(t, slow)
	f := newEngines(t, 0, &engines{requested: map[string]int{}}, a, b)
	// The engines' reading time is unknown at first: the first one is abandoned; the
	// second one must not be, and shows how long reading takes.
	require.Equal(t, http.StatusOK, f.post(t, "/r/x", map[string]string{"Prompt": "one:9000,own:1000"}).status)
	require.Equal(t, 2, f.arrivals())
	require.Equal(t, http.StatusOK, f.post(t, "/r/x", map[string]string{"Prompt": "two:9000,own:1000"}).status)
	require.Equal(t, 3, f.arrivals())
}
