package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Guards against requests to an endpoint during its backoff, and against an endpoint
// that is never used again after it.
func TestBackoffOfAnEndpoint(t *testing.T) {
	const rest = 3 * time.Second
	now := time.Now()
	cases := []struct {
		name string
		// at is what happens after the endpoint has asked for the backoff.
		at   func(b *balance.Balancer, s deployment.Start)
		ends time.Duration
	}{
		{name: "nothing else", ends: rest},
		{name: "an answer to an earlier request", ends: rest, at: func(b *balance.Balancer, s deployment.Start) {
			b.Accepted(now.Add(time.Second), s)
			b.Release(now.Add(time.Second), s, balance.Served)
		}},
		{name: "a slot that becomes free", ends: rest, at: func(b *balance.Balancer, s deployment.Start) {
			b.Release(now.Add(time.Second), s, balance.Unknown)
		}},
		{name: "a shorter backoff", ends: rest, at: func(b *balance.Balancer, s deployment.Start) { b.Backoff(now.Add(time.Second), s, time.Second) }},
		{name: "a longer backoff", ends: 5 * time.Second, at: func(b *balance.Balancer, s deployment.Start) { b.Backoff(now.Add(time.Second), s, 4*time.Second) }},
		{name: "state of unused endpoints is dropped", ends: rest, at: func(b *balance.Balancer, s deployment.Start) {
			b.Release(now, s, balance.Refused)
			b.Forget(now.Add(2*time.Second), time.Second)
		}},
	}
	for _, key := range []string{"", "prompt"} {
		for _, c := range cases {
			t.Run(fmt.Sprint(c.name, " ", key), func(t *testing.T) {
				b := balance.New(balance.Config{Loads: peers{}})
				list := endpoints(1)
				r := balance.Request{Key: key}
				first := b.Choose(now, list, r)
				require.NotNil(t, first)
				b.Backoff(now, first.Endpoint.Start(), rest)
				if c.at != nil {
					c.at(b, first.Endpoint.Start())
				}
				last := now.Add(c.ends - time.Millisecond)
				require.Nil(t, b.Choose(last, list, r))
				require.False(t, b.HasRoom(last, list, r))
				until, all := b.BackingOff(last, list...)
				require.True(t, all)
				require.Equal(t, now.Add(c.ends), until)
				b.Release(last, first.Endpoint.Start(), balance.Unknown)
				require.NotNil(t, b.Choose(now.Add(c.ends), list, r))
			})
		}
	}
}

// Guards against a burst of all waiting requests at the moment in which an endpoint's
// backoff ends.
func TestTrialRequestsAfterABackoff(t *testing.T) {
	const waiting = 20
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{}})
	list := endpoints(2)
	for _, e := range list {
		b.Backoff(now, e.Start(), time.Second)
	}
	choose := func(at time.Time) (chosen []*balance.Choice) {
		for range waiting {
			if c := b.Choose(at, list, balance.Request{}); c != nil {
				chosen = append(chosen, c)
			}
		}
		return chosen
	}
	now = now.Add(time.Second)
	tried := choose(now)
	require.Len(t, tried, len(list))
	b.Backoff(now, tried[0].Endpoint.Start(), time.Second)
	b.Release(now, tried[0].Endpoint.Start(), balance.Refused)
	b.Accepted(now, tried[1].Endpoint.Start())
	for _, c := range choose(now) {
		require.Equal(t, tried[1].Endpoint, c.Endpoint)
	}
	again := 0
	for _, c := range choose(now.Add(time.Second)) {
		if c.Endpoint == tried[0].Endpoint {
			again++
		}
	}
	require.Equal(t, 1, again)
}

// Guards against an endpoint that stays blocked after its backoff for as long as
// requests sent before it run.
func TestEarlierRequestsDoNotProlongABackoff(t *testing.T) {
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{}})
	list := endpoints(1)
	for range 3 {
		require.NotNil(t, b.Choose(now, list, balance.Request{}))
	}
	b.Backoff(now, list[0].Start(), time.Second)
	now = now.Add(time.Second)
	require.NotNil(t, b.Choose(now, list, balance.Request{}))
	require.Nil(t, b.Choose(now, list, balance.Request{}), "one trial request")
	now = now.Add(time.Second)
	require.NotNil(t, b.Choose(now, list, balance.Request{}), "another trial request if the first is not answered")
	b.Accepted(now, list[0].Start())
	require.NotNil(t, b.Choose(now, list, balance.Request{}))
}

// Guards against a backoff that outlives the process that asked for it.
func TestBackoffEndsWithTheStart(t *testing.T) {
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{}})
	list := endpoints(1)
	b.Backoff(now, list[0].Start(), time.Hour)
	require.Nil(t, b.Choose(now, list, balance.Request{}))
	list[0].Born = now
	require.NotNil(t, b.Choose(now, list, balance.Request{}))
}

// Guards against a prompt that waits for an engine in backoff because that engine
// holds it.
func TestNoPromptWaitsForAnEngineInBackoff(t *testing.T) {
	now := time.Now()
	b := balance.New(balance.Config{Loads: peers{"e0": 3, "e1": 3}})
	list := endpoints(2)
	r := balance.Request{Key: "prompt", WaitForHolder: true, Service: deployment.Service{Slots: 4}}
	first := b.Choose(now, list, r)
	require.NotNil(t, first)
	b.Sent(now, first)
	b.Release(now, first.Endpoint.Start(), balance.Served)
	b.Backoff(now, first.Endpoint.Start(), time.Second)
	other := b.Choose(now, list, r)
	require.NotNil(t, other)
	require.NotEqual(t, first.Endpoint, other.Endpoint)
}
