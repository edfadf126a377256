package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// pendingPrefill is the number of tokens that engines have to process for other
// nodes.
type pendingPrefill map[string]int

func (pendingPrefill) Others(uint32) int { return 0 }

// OthersFailures implements balance.Loads: nothing has failed.
func (pendingPrefill) OthersFailures(uint32) int { return 0 }

// Age implements balance.Loads: all counts are new.
func (pendingPrefill) Age(time.Time) time.Duration { return 0 }

func (u pendingPrefill) OthersPrefill(key uint32) int {
	for id, n := range u {
		if startOf(id).Key() == key {
			return n
		}
	}
	return 0
}

// newMeasured returns a Balancer that has measured a prefill rate of 40 tokens a
// millisecond, and knows which engine holds the part "doc".
func newMeasured(t *testing.T, others pendingPrefill, list []*deployment.Endpoint, holder string) *balance.Balancer {
	b := balance.New(balance.Config{Loads: others})
	now := time.Now()
	c := send(b, now, list, balance.Request{Key: "rate", Prompt: balance.Prompt{Own: 4000}})
	b.PrefillDone(now, c, 100*time.Millisecond)
	b.Release(now, c.Endpoint.Start(), balance.Served)
	b.AddPlacements(now, []balance.Placement{placement(t, list, holder)})
	return b
}

// placement returns the placement of the part "doc" on an engine.
func placement(t *testing.T, list []*deployment.Endpoint, holder string) balance.Placement {
	for _, e := range list {
		if e.ID == holder {
			peer := balance.New(balance.Config{Loads: pendingPrefill{}})
			send(peer, time.Now(), []*deployment.Endpoint{e}, balance.Request{Key: "doc"})
			return peer.Placements(time.Now(), time.Now())[0]
		}
	}
	require.Fail(t, "no such engine")
	return balance.Placement{}
}

// Guards against short requests that wait behind long prompts while neighboring
// engines have nothing to process.
func TestShortRequestsAvoidLongPrefillQueues(t *testing.T) {
	const objective = 400 * time.Millisecond
	list := endpoints(4)
	cases := []struct {
		name   string
		unread pendingPrefill
		prompt balance.Prompt
		// moves reports whether an engine other than the holder is chosen.
		moves bool
	}{
		{name: "the holder has an empty prefill queue", prompt: balance.Prompt{Own: 100, Shared: 600}},
		{name: "the holder has a short prefill queue", unread: pendingPrefill{"e1": 3000}, prompt: balance.Prompt{Own: 100, Shared: 600}},
		{name: "the holder has a long prefill queue", unread: pendingPrefill{"e1": 20_000}, prompt: balance.Prompt{Own: 100, Shared: 600}, moves: true},
		{name: "all have long prefill queues", unread: pendingPrefill{"e0": 15_000, "e1": 20_000, "e2": 15_000, "e3": 15_000}, prompt: balance.Prompt{Own: 100, Shared: 600}},
		{name: "processing the part again takes longer", unread: pendingPrefill{"e1": 20_000}, prompt: balance.Prompt{Own: 100, Shared: 10_000}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newMeasured(t, c.unread, list, "e1")
			got := b.Choose(time.Now(), list, balance.Request{Key: "doc", Prompt: c.prompt, Objective: objective})
			require.Equal(t, c.moves, got.Endpoint.ID != "e1", got.Endpoint.ID)
		})
	}
}

// A part that no engine holds is first processed by one of a few, even if another has
// less to do: nodes that choose at the same time mostly choose the same one.
func TestFewEnginesProcessANewPart(t *testing.T) {
	list := endpoints(8)
	now := time.Now()
	chosen := map[string]bool{}
	for busy := range list {
		others := pendingPrefill{list[busy].ID: 50_000, list[(busy+1)%8].ID: 40_000}
		b := balance.New(balance.Config{Loads: others})
		c := send(b, now, list, balance.Request{Key: "rate", Prompt: balance.Prompt{Own: 4000}})
		b.PrefillDone(now, c, 100*time.Millisecond)
		b.Release(now, c.Endpoint.Start(), balance.Served)
		got := b.Choose(now, list, balance.Request{Key: "new", Prompt: balance.Prompt{Own: 100, Shared: 8000}, Objective: 400 * time.Millisecond})
		chosen[got.Endpoint.ID] = true
	}
	require.LessOrEqual(t, len(chosen), 3)
}

// The pending prefill of a request ends with its first event, or with the request.
func TestPendingPrefillEnds(t *testing.T) {
	list := endpoints(1)
	now := time.Now()
	b := balance.New(balance.Config{Loads: pendingPrefill{}})
	first := send(b, now, list, balance.Request{Key: "doc", Prompt: balance.Prompt{Own: 100, Shared: 900}})
	key := first.Endpoint.Start().Key()
	require.Equal(t, map[uint32]int{key: 1000}, b.PendingPrefill())
	// The engine holds the part from now on.
	second := send(b, now, list, balance.Request{Key: "doc", Prompt: balance.Prompt{Own: 200, Shared: 900}})
	require.Equal(t, map[uint32]int{key: 1200}, b.PendingPrefill())
	b.PrefillDone(now, first, 50*time.Millisecond)
	b.PrefillDone(now, first, 0)
	require.Equal(t, map[uint32]int{key: 200}, b.PendingPrefill())
	b.PrefillDone(now, second, 0)
	require.Empty(t, b.PendingPrefill())
}
