package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// peers are the requests that the other nodes have in progress, by endpoint ID.
type peers map[string]int

func (p peers) Others(key uint32) int {
	for id, n := range p {
		if startOf(id).Key() == key {
			return n
		}
	}
	return 0
}

// startOf returns the only start of an endpoint.
func startOf(id string) deployment.Start { return deployment.Start{ID: id} }

// OthersPrefill implements balance.Loads: there is nothing to process.
func (peers) OthersPrefill(uint32) int { return 0 }

// OthersFailures implements balance.Loads: nothing has failed.
func (peers) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: all counts are new.
func (peers) Age(time.Time) time.Duration { return 0 }

func endpoints(n int) []*deployment.Endpoint {
	var list []*deployment.Endpoint
	for i := range n {
		list = append(list, &deployment.Endpoint{ID: fmt.Sprint("e", i), Zone: "z", Slots: 8})
	}
	return list
}

// send chooses an endpoint and sends the request there.
func send(b *balance.Balancer, now time.Time, list []*deployment.Endpoint, r balance.Request) *balance.Choice {
	c := b.Choose(now, list, r)
	if c != nil {
		b.Sent(now, c)
	}
	return c
}

func TestRequestsThatShareAPromptShareAnEndpoint(t *testing.T) {
	list := endpoints(6)
	now := time.Now()
	first := ""
	for range 4 {
		// Each node decides alone and decides the same.
		b := balance.New(balance.Config{Loads: peers{}})
		c := b.Choose(now, list, balance.Request{Key: "doc"})
		if first == "" {
			first = c.Endpoint.ID
		}
		require.Equal(t, first, c.Endpoint.ID)
	}
}

// Guards against a single engine with far more requests than the others, when many
// share one prompt.
func TestHotPromptStaysUnderTheBound(t *testing.T) {
	list := endpoints(4)
	b := balance.New(balance.Config{Loads: peers{}})
	counts := map[string]int{}
	for range 24 {
		c := b.Choose(time.Now(), list, balance.Request{Key: "hot"})
		require.NotNil(t, c)
		counts[c.Endpoint.ID]++
	}
	for id, n := range counts {
		require.LessOrEqual(t, float64(n), 2*6+3.0, id)
	}
	require.GreaterOrEqual(t, len(counts), 3)
}

// Guards against engines that process shared prompt parts again instead of fetching
// them.
func TestSourceOfAPromptThatMoves(t *testing.T) {
	list := endpoints(3)
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{}})
	first := send(b, now, list, balance.Request{Key: "doc"})
	again := send(b, now, list, balance.Request{Key: "doc"})
	require.Equal(t, first.Endpoint, again.Endpoint)
	require.Nil(t, again.Source)

	first.Endpoint.Draining = true
	moved := send(b, now, list, balance.Request{Key: "doc"})
	require.NotEqual(t, first.Endpoint, moved.Endpoint)
	require.Equal(t, first.Endpoint, moved.Source)

	receiver := balance.New(balance.Config{Loads: peers{}})
	receiver.AddPlacements(now, b.Placements(now, now))
	elsewhere := receiver.Choose(now, list, balance.Request{Key: "doc", Tried: []deployment.Start{moved.Endpoint.Start()}})
	require.Equal(t, moved.Endpoint, elsewhere.Source)
}

// Guards against endpoints that refuse requests in turn while others are idle.
func TestPlainRequestsAvoidTheMostLoadedAndSpread(t *testing.T) {
	list := endpoints(3)
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{"e0": 3, "e1": 5}, Zone: "z"})
	counts := map[string]int{}
	for range 300 {
		c := b.Choose(now, list, balance.Request{})
		counts[c.Endpoint.ID]++
		b.Release(now, c.Endpoint.Start(), balance.Served)
	}
	require.Zero(t, counts["e1"])
	require.Greater(t, counts["e0"], 50)
	require.Greater(t, counts["e2"], 150)
}

func TestOutcomesThatBlockAnEndpoint(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name    string
		outcome balance.Outcome
		times   int
		after   time.Duration
		chosen  bool
	}{
		{name: "unreachable, within the backoff", outcome: balance.Unreachable, times: 1},
		{name: "unreachable, after the backoff", outcome: balance.Unreachable, times: 1, after: time.Second, chosen: true},
		{name: "address taken over by another endpoint", outcome: balance.Gone, times: 1, after: time.Hour},
		{name: "refused a request just now", outcome: balance.Refused, times: 1},
		{name: "refused a request a second ago", outcome: balance.Refused, times: 1, after: time.Second, chosen: true},
		{name: "a single failure", outcome: balance.Failed, times: 1, chosen: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := endpoints(1)
			b := balance.New(balance.Config{Loads: peers{}})
			for range c.times {
				require.NotNil(t, b.Choose(now, list, balance.Request{}))
				b.Release(now, startOf("e0"), c.outcome)
			}
			require.Equal(t, c.chosen, b.Choose(now.Add(c.after), list, balance.Request{}) != nil)
		})
	}
}

// Guards against an endpoint that fails a third of all requests though two healthy
// ones exist.
func TestEndpointThatFailsMoreThanOthersIsAvoided(t *testing.T) {
	list := endpoints(3)
	b := balance.New(balance.Config{Loads: peers{}})
	now := time.Now()
	counts := map[string]int{}
	for i := range 600 {
		now = now.Add(10 * time.Millisecond)
		c := b.Choose(now, list, balance.Request{})
		outcome := balance.Served
		if c.Endpoint.ID == "e1" {
			outcome = balance.Failed
		}
		if i > 100 {
			counts[c.Endpoint.ID]++
		}
		b.Release(now, c.Endpoint.Start(), outcome)
	}
	require.Less(t, counts["e1"], 30)
	require.Greater(t, counts["e0"], 100)
}

// If every endpoint fails part of its requests, none is avoided for it.
func TestFailuresCommonToAllEndpointsBlockNone(t *testing.T) {
	list := endpoints(2)
	b := balance.New(balance.Config{Loads: peers{}})
	now := time.Now()
	counts := map[string]int{}
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		c := b.Choose(now, list, balance.Request{})
		counts[c.Endpoint.ID]++
		outcome := balance.Served
		if i%3 == 0 {
			outcome = balance.Failed
		}
		b.Release(now, c.Endpoint.Start(), outcome)
	}
	require.Greater(t, counts["e0"], 100)
	require.Greater(t, counts["e1"], 100)
}

// Guards against an endpoint that is never used again after it recovers, so that the
// others carry more load.
func TestEndpointThatFailedIsTriedAgain(t *testing.T) {
	list := endpoints(3)
	b := balance.New(balance.Config{Loads: peers{}})
	now := time.Now()
	counts := map[string]int{}
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		c := b.Choose(now, list, balance.Request{})
		outcome := balance.Served
		if c.Endpoint.ID == "e1" && i < 600 {
			outcome = balance.Failed
		}
		if i > 2000 {
			counts[c.Endpoint.ID]++
		}
		b.Release(now, c.Endpoint.Start(), outcome)
	}
	require.Greater(t, counts["e1"], 300)
}

// Guards against requests to endpoints that refuse them as full though this node
// knows of few requests there.
func TestReportedLoadCountsUntilItExpires(t *testing.T) {
	list := endpoints(2)
	now := time.Now()
	one, two := balance.New(balance.Config{Loads: peers{}}), balance.New(balance.Config{Loads: peers{}})
	one.SetReportedLoad(now, startOf("e0"), 30)
	two.AddReports(now, one.Reports(now, now.Add(-time.Second)))
	for _, b := range []*balance.Balancer{one, two} {
		for range 20 {
			c := b.Choose(now, list, balance.Request{})
			require.Equal(t, "e1", c.Endpoint.ID)
			b.Release(now, startOf("e1"), balance.Served)
		}
		require.InDelta(t, 30.0/8, b.Utilization(now, list[0], deployment.Service{}), 0.01)
		// The report may be older than it seems: it ranks endpoints, and blocks none.
		b.SetReportedLoad(now, startOf("e1"), 40)
		c := b.Choose(now, list, balance.Request{})
		require.Equal(t, "e0", c.Endpoint.ID)
		b.Release(now, startOf("e0"), balance.Served)
		later := now.Add(time.Second)
		require.Zero(t, b.Utilization(later, list[0], deployment.Service{}))
		counts := map[string]int{}
		for range 100 {
			c := b.Choose(later, list, balance.Request{})
			counts[c.Endpoint.ID]++
			b.Release(later, c.Endpoint.Start(), balance.Served)
		}
		require.Greater(t, counts["e0"], 20)
	}
	require.Empty(t, one.Reports(now, now))
}

// BenchmarkChoose measures a choice, which visits all endpoints of the service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 90, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := endpoints(n)
			chooser := balance.New(balance.Config{Loads: noPeers{}})
			now := time.Now()
			for i := range b.N {
				c := chooser.Choose(now, list, balance.Request{Key: fmt.Sprint("part", i%1000)})
				chooser.Release(now, c.Endpoint.Start(), balance.Served)
			}
		})
	}
}

// noPeers are other nodes that have sent nothing.
type noPeers struct{}

func (noPeers) Others(uint32) int { return 0 }

func (noPeers) OthersPrefill(uint32) int { return 0 }

// OthersFailures implements balance.Loads: nothing has failed.
func (noPeers) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: all counts are new.
func (noPeers) Age(time.Time) time.Duration { return 0 }

// Guards against prompts that move with nearly every request, so that links fill with
// copies.
func TestPromptWaitsRatherThanTakeALastSlotElsewhere(t *testing.T) {
	now := time.Now()
	list := endpoints(2)
	cases := []struct {
		name string
		// other is the load of the engine that does not hold the prompt.
		other int
		stay  bool
		want  string
	}{
		{name: "waits while the other engine has only its last slots", other: 7, stay: true},
		{name: "moves once it has waited", other: 7, want: "e1"},
		{name: "moves at once if there is room", other: 3, stay: true, want: "e1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loads := peers{"e0": 0, "e1": 8}
			b := balance.New(balance.Config{Loads: loads})
			require.Equal(t, "e0", send(b, now, list, balance.Request{Key: "doc"}).Endpoint.ID)
			loads["e0"], loads["e1"] = 8, c.other
			got := b.Choose(now, list, balance.Request{Key: "doc", WaitForHolder: c.stay})
			if c.want == "" {
				require.Nil(t, got)
				return
			}
			require.Equal(t, c.want, got.Endpoint.ID)
		})
	}
}

// Guards against an engine that stays idle while requests wait.
func TestSlotOfAnEndedRequestIsFreeAtOnce(t *testing.T) {
	now := time.Now()
	list := endpoints(1)
	b := balance.New(balance.Config{Loads: peers{"e0": 6}})
	require.NotNil(t, send(b, now, list, balance.Request{Key: "doc"}))
	c := b.Choose(now, list, balance.Request{Key: "doc"})
	require.True(t, c.NearlyFull)
	b.Release(now, c.Endpoint.Start(), balance.ReservationRefused)
	require.Nil(t, b.Choose(now, list, balance.Request{Key: "doc"}))
	b.Release(now, c.Endpoint.Start(), balance.Served)
	require.NotNil(t, b.Choose(now, list, balance.Request{Key: "doc"}))
}
