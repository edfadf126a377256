package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// Guards against begun streams that are cut because no slot is free at the moment at
// which their endpoint breaks off, although their callers still wait.
func TestBegunStreamWaitsForASlot(t *testing.T) {
	for _, order := range []gateway.CostOrder{gateway.CostOrderNever, gateway.CostOrderAlways} {
		t.Run(string(order), func(t *testing.T) { testBegunStream(t, order) })
	}
}

func testBegunStream(t *testing.T, order gateway.CostOrder) {
	const slots = 16
	broken, release := make(chan struct{}), make(chan struct{})
	var begun atomic.Bool
	play := func(c net.Conn, r *http.Request) bool {
		switch {
		case strings.HasPrefix(r.URL.Path, "/o/"):
			<-release
			return whole(200, "hi")(c, r)
		case begun.CompareAndSwap(false, true):
			stream(2, "", false)(c, r)
			<-broken
			return false
		}
		return stream(4, "", true)(c, r)
	}
	f := &fixture{
		endpoints: []*endpoint{newEndpoint(t, play), newEndpoint(t, play)},
		change:    func(c *gateway.Config) { c.CostOrder = order },
	}
	route := deployment.Route{
		Name: "r", Host: "h", Prefix: "/p/", Public: true, Kind: deployment.Resumable, Attempts: 2,
		Split: []deployment.Share{{Service: "s", Weight: 1}}, Timeout: 20 * time.Second, Objective: 100 * time.Millisecond,
	}
	others := route
	others.Name, others.Prefix, others.Kind, others.Objective = "o", "/o/", deployment.AtMostOnce, 10*time.Second
	f.serve(t, &deployment.Config{
		Version: 1, Limits: deployment.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20}, Routes: []deployment.Route{route, others},
		Services: map[string]deployment.Service{"s": {Name: "s", Model: true, Slots: slots}},
	}, noLoads{}, nil)
	got := make(chan response, 2*slots)
	post := func(path string) { got <- f.post(t, path, nil) }
	go post("/p/x")
	require.Eventually(t, begun.Load, 10*time.Second, time.Millisecond)
	for range 2*slots - 1 {
		go post("/o/x")
	}
	require.Eventually(t, func() bool { return f.arrivals() == 2*slots }, 10*time.Second, time.Millisecond)
	close(broken)
	// Several times the objective, and a part of the time for which callers wait.
	time.Sleep(5 * route.Objective)
	close(release)
	for range 2 * slots {
		r := <-got
		require.True(t, r.complete, r.body)
		if r.body != "hi" {
			require.Equal(t, events(1, 4), r.body)
		}
	}
}

// Guards against refusals of new requests for free slots while a begun stream waits that
// may use none of them.
func TestBegunStreamThatCannotGoOnKeepsNobodyOut(t *testing.T) {
	var begun atomic.Int64
	play := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("New") != "" {
			return stream(4, "", true)(c, r)
		}
		begun.Add(1)
		stream(int(begun.Load()), "", false)(c, r)
		return false
	}
	f := newRetrying(t, deployment.Resumable, 5, 50, play)
	done := make(chan response, 1)
	began := time.Now()
	go func() { done <- f.post(t, "/p/x", nil) }()
	require.Eventually(t, func() bool { return begun.Load() == 2 }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	refused := 0
	for range 20 {
		if r := f.post(t, "/p/x", map[string]string{"New": "1"}); r.status != 200 {
			refused++
		}
	}
	<-done
	t.Logf("the begun stream ended after %v", time.Since(began))
	require.Zero(t, refused, "all slots are free")
}
