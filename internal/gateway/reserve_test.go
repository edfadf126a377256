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
	// others are what other nodes have sent to each endpoint.
	others int

	// engines reserves places as long as an engine has some.
	engines struct {
		mu    sync.Mutex
		left  map[string]int
		asked map[string]int
		err   error
		// notices are what engines say of themselves.
		notices map[string]gateway.Notice
	}
)

func (o others) Others(uint32) int { return int(o) }

func (others) OthersReading(uint32) int { return 0 }

// OthersFailures implements balance.Loads: nothing has failed.
func (others) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: all is new.
func (others) Age(time.Time) time.Duration { return 0 }

// Reserve implements gateway.Reserver.
func (e *engines) Reserve(_ context.Context, to *deployment.Endpoint, _ gateway.Reservation) (gateway.Place, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[to.ID]++
	place := gateway.Place{Notice: e.notices[to.ID]}
	if e.err != nil {
		return place, e.err
	}
	if e.left[to.ID] == 0 {
		return place, gateway.ErrFull
	}
	e.left[to.ID]--
	place.Name = "place-at-" + to.ID
	return place, nil
}

// newEngines returns a gateway before engines of four slots, at each of which
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

// Guards against this failure: most requests wait for a second at engines and come late, while
// the engines next to them have places.
func TestPlacesAreReservedWhereTheyAreShort(t *testing.T) {
	cases := []struct {
		name string
		// sent is what other nodes have sent to each of the engines.
		sent int
		left map[string]int
		err  error
		// asked says that a place is asked for, and place whether the request
		// names it.
		asked, place bool
		status       int
		arrivals     int
	}{
		{name: "an engine that keeps a place gets the request", sent: 3, left: map[string]int{"e0": 1, "e1": 1}, asked: true, place: true, status: 200, arrivals: 1},
		{name: "so does the only one that has one", sent: 3, left: map[string]int{"e1": 1}, asked: true, place: true, status: 200, arrivals: 1},
		{name: "where none has one, nothing is sent", sent: 3, asked: true, status: 503},
		{name: "engines that know no reservations get it as it is", sent: 3, err: gateway.ErrNoReservations, asked: true, status: 200, arrivals: 1},
		{name: "so do those that could not be asked", sent: 3, err: errors.New("no connection"), asked: true, status: 200, arrivals: 1},
		{name: "where there are places, nobody asks", sent: 1, status: 200, arrivals: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a, b := newEndpoint(t, stream(2, "", true)), newEndpoint(t, stream(2, "", true))
			places := &engines{left: c.left, asked: map[string]int{}, err: c.err}
			f := newEngines(t, c.sent, places, a, b)
			answer := f.ask(t, "/p/x", map[string]string{"Prompt": "system:10,doc:500,own:20"})
			require.Equal(t, c.status, answer.status)
			require.Equal(t, c.arrivals, f.arrivals())
			require.Equal(t, c.asked, len(places.asked) > 0)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, answer.header.Get("Retry-After"))
			}
			for _, e := range f.endpoints {
				for _, r := range e.requests {
					require.Equal(t, c.place, r.Header.Get(reserved) != "")
				}
			}
		})
	}
}

// Guards against this failure: an engine answers to more questions for places than to requests.
func TestFullEngineIsLeftAloneForAWhile(t *testing.T) {
	e := newEndpoint(t, stream(2, "", true))
	places := &engines{asked: map[string]int{}}
	f := newEngines(t, 3, places, e)
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() { f.ask(t, "/p/x", map[string]string{"Prompt": "doc:500,own:20"}) })
	}
	group.Wait()
	require.Zero(t, f.arrivals())
	// Twenty requests wait for an eighth of 400 ms each and look every 5 ms.
	require.LessOrEqual(t, places.asked["e0"], 20)
}

// Guards against this failure: long prompts are read twice, and begin later than with one
// reading.
func TestEngineThatReadsIsNotGivenUp(t *testing.T) {
	const reading = 600 * time.Millisecond
	slow := func(c net.Conn, r *http.Request) bool {
		time.Sleep(reading)
		return stream(2, "", true)(c, r)
	}
	a, b := newEndpoint(t, slow), newEndpoint(t, slow)
	f := newEngines(t, 0, &engines{asked: map[string]int{}}, a, b)
	// Nothing is known of the engines yet: the first is given up, the second
	// may not be, and shows how long a reading takes.
	require.Equal(t, http.StatusOK, f.ask(t, "/r/x", map[string]string{"Prompt": "one:9000,own:1000"}).status)
	require.Equal(t, 2, f.arrivals())
	require.Equal(t, http.StatusOK, f.ask(t, "/r/x", map[string]string{"Prompt": "two:9000,own:1000"}).status)
	require.Equal(t, 3, f.arrivals())
}
