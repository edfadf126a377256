package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// unread are the tokens that engines are to read for other nodes.
type unread map[string]int

func (unread) Others(uint32) int { return 0 }

// OthersFailures implements balance.Loads: nothing has failed.
func (unread) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: all is new.
func (unread) Age(time.Time) time.Duration { return 0 }

func (u unread) OthersReading(key uint32) int {
	for id, n := range u {
		if named(id).Key() == key {
			return n
		}
	}
	return 0
}

// slow returns a balancer that has seen engines read 40 tokens a millisecond,
// and where a part is kept.
func slow(t *testing.T, others unread, list []*deployment.Endpoint, keeper string) *balance.Balancer {
	b := balance.New(balance.Config{Loads: others})
	now := time.Now()
	c := send(b, now, list, balance.Request{Key: "rate", Prompt: balance.Prompt{Own: 4000}})
	b.Read(now, c, 100*time.Millisecond)
	b.Release(now, c.Endpoint.Start(), balance.Served)
	b.Placed(now, []balance.Placement{placement(t, list, keeper)})
	return b
}

// placement says that an engine keeps the part "doc".
func placement(t *testing.T, list []*deployment.Endpoint, keeper string) balance.Placement {
	for _, e := range list {
		if e.ID == keeper {
			teller := balance.New(balance.Config{Loads: unread{}})
			send(teller, time.Now(), []*deployment.Endpoint{e}, balance.Request{Key: "doc"})
			return teller.Placements(time.Now(), time.Now())[0]
		}
	}
	require.Fail(t, "no such engine")
	return balance.Placement{}
}

// Guards against this failure: short requests wait behind long prompts, while the engines
// beside have nothing to read.
func TestShortRequestsPassBusyReaders(t *testing.T) {
	const objective = 400 * time.Millisecond
	list := endpoints(4)
	cases := []struct {
		name   string
		unread unread
		prompt balance.Prompt
		// moves says that another engine than the keeper gets the request.
		moves bool
	}{
		{name: "a keeper with nothing to read gets it", prompt: balance.Prompt{Own: 100, Shared: 600}},
		{name: "so does one that is done soon", unread: unread{"e1": 3000}, prompt: balance.Prompt{Own: 100, Shared: 600}},
		{name: "one that is busy gives way", unread: unread{"e1": 20_000}, prompt: balance.Prompt{Own: 100, Shared: 600}, moves: true},
		{name: "but not to others that are as busy", unread: unread{"e0": 15_000, "e1": 20_000, "e2": 15_000, "e3": 15_000}, prompt: balance.Prompt{Own: 100, Shared: 600}},
		{name: "nor for a part that takes longer to read anew", unread: unread{"e1": 20_000}, prompt: balance.Prompt{Own: 100, Shared: 10_000}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := slow(t, c.unread, list, "e1")
			got := b.Choose(time.Now(), list, balance.Request{Key: "doc", Prompt: c.prompt, Objective: objective})
			require.Equal(t, c.moves, got.Endpoint.ID != "e1", got.Endpoint.ID)
		})
	}
}

// What nobody keeps is read first by one of few engines, also where another has
// less to do: nodes that choose at the same time mostly meet there.
func TestFirstReadersAreFew(t *testing.T) {
	list := endpoints(8)
	now := time.Now()
	chosen := map[string]bool{}
	for busy := range list {
		others := unread{list[busy].ID: 50_000, list[(busy+1)%8].ID: 40_000}
		b := balance.New(balance.Config{Loads: others})
		c := send(b, now, list, balance.Request{Key: "rate", Prompt: balance.Prompt{Own: 4000}})
		b.Read(now, c, 100*time.Millisecond)
		b.Release(now, c.Endpoint.Start(), balance.Served)
		got := b.Choose(now, list, balance.Request{Key: "new", Prompt: balance.Prompt{Own: 100, Shared: 8000}, Objective: 400 * time.Millisecond})
		chosen[got.Endpoint.ID] = true
	}
	require.LessOrEqual(t, len(chosen), 3)
}

// What an engine is to read ends with the first event, or with the request.
func TestReadingEnds(t *testing.T) {
	list := endpoints(1)
	now := time.Now()
	b := balance.New(balance.Config{Loads: unread{}})
	first := send(b, now, list, balance.Request{Key: "doc", Prompt: balance.Prompt{Own: 100, Shared: 900}})
	key := first.Endpoint.Start().Key()
	require.Equal(t, map[uint32]int{key: 1000}, b.Reading())
	// The part is kept from now on.
	second := send(b, now, list, balance.Request{Key: "doc", Prompt: balance.Prompt{Own: 200, Shared: 900}})
	require.Equal(t, map[uint32]int{key: 1200}, b.Reading())
	b.Read(now, first, 50*time.Millisecond)
	b.Read(now, first, 0)
	require.Equal(t, map[uint32]int{key: 200}, b.Reading())
	b.Read(now, second, 0)
	require.Empty(t, b.Reading())
}
