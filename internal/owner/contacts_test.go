package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/owner"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

// at returns the time some milliseconds after the start.
func at(n int) time.Time { return start.Add(time.Duration(n) * ms) }

// Guards against requests that each wait for an owner that does not answer, or that
// declines all of them.
func TestOwnerIsLeftAloneForAWhile(t *testing.T) {
	for _, c := range []struct {
		outcome owner.Outcome
		avoided int
	}{
		{outcome: owner.Taken},
		{outcome: owner.Ended},
		{outcome: owner.Declined, avoided: 200},
		{outcome: owner.Silent, avoided: 1000},
	} {
		t.Run(c.outcome.String(), func(t *testing.T) {
			k := owner.NewContacts()
			require.True(t, k.Begin(at(0), "n1"))
			k.Offered(at(0), "n1", c.outcome)
			if c.avoided > 0 {
				require.False(t, k.Begin(at(c.avoided-1), "n1"))
			}
			require.True(t, k.Begin(at(c.avoided), "n1"))
			require.True(t, k.Begin(at(0), "n2"), "another owner")
		})
	}
}

// Guards against many requests that wait for a silent owner again once its time is
// over: one is enough to find out.
func TestOneRequestTriesASilentOwner(t *testing.T) {
	k := owner.NewContacts()
	require.True(t, k.Begin(at(0), "n1"))
	require.True(t, k.Begin(at(0), "n1"), "it has not been silent yet")
	k.Offered(at(250), "n1", owner.Silent)
	k.Offered(at(250), "n1", owner.Silent)
	require.True(t, k.Begin(at(1250), "n1"))
	require.False(t, k.Begin(at(1251), "n1"))
	k.Offered(at(1260), "n1", owner.Ended)
	require.True(t, k.Begin(at(1260), "n1"), "the caller left before the answer")
	k.Offered(at(1500), "n1", owner.Silent)
	require.False(t, k.Begin(at(2499), "n1"))
	require.True(t, k.Lost("n1"))
	require.False(t, k.Lost("n2"))
	require.True(t, k.Begin(at(2500), "n1"))
	k.Offered(at(2501), "n1", owner.Taken)
	require.False(t, k.Lost("n1"))
	require.True(t, k.Begin(at(2501), "n1"))
	require.True(t, k.Begin(at(2501), "n1"))
}

func TestActiveRequestsOfOwners(t *testing.T) {
	k := owner.NewContacts()
	for _, out := range []owner.Outcome{owner.Taken, owner.Taken, owner.Ended} {
		require.True(t, k.Begin(at(0), "n1"))
		k.Offered(at(1), "n1", out)
	}
	require.Equal(t, map[string]int{"n1": 2}, k.Active())
	k.Done("n1")
	k.Done("n1")
	require.Empty(t, k.Active())
}

// Guards against memory that grows with each node that was ever an owner.
func TestContactsAreForgotten(t *testing.T) {
	k := owner.NewContacts()
	for i := range 5000 {
		name := fmt.Sprint("n", i)
		require.True(t, k.Begin(at(i), name))
		k.Offered(at(i), name, owner.Ended)
	}
	require.LessOrEqual(t, k.Known(), 1024)
}

// Guards against an explanation that asks an owner, or that takes the one request by
// which it is tried whether an owner answers again.
func TestAskingWhetherAnOwnerMayBeAskedChangesNothing(t *testing.T) {
	k := owner.NewContacts()
	require.True(t, k.MayAsk(at(0), "n1"))
	require.Zero(t, k.Known())
	require.True(t, k.Begin(at(0), "n1"))
	k.Offered(at(0), "n1", owner.Silent)
	require.False(t, k.MayAsk(at(999), "n1"))
	require.True(t, k.MayAsk(at(1000), "n1"))
	require.True(t, k.MayAsk(at(1000), "n1"))
	require.True(t, k.Begin(at(1000), "n1"), "one request tries it")
	require.False(t, k.MayAsk(at(1000), "n1"))
	require.Equal(t, map[string]int{"n1": 1}, k.Active())
}

// Guards against an explanation after which a change of the owner is not logged, or is
// logged twice.
func TestPeekRecordsNothing(t *testing.T) {
	changes := 0
	tr := owner.NewTracker(owner.Config{Ratio: 2, Changed: func(string, owner.Decision, owner.Decision) { changes++ }})
	in := func() owner.Input {
		return owner.Input{Service: "s", Slots: 1, Nodes: 1, Members: []owner.Member{{Name: "n1", Power: 1000, Ready: true, Reaches: true}}}
	}
	require.Equal(t, "n1", tr.Peek("s", owner.Key{Ready: true}, in).Owner)
	require.Zero(t, changes)
	require.Empty(t, tr.Decisions())
	decided := tr.Decide("s", owner.Key{Ready: true}, in)
	require.Equal(t, 1, changes)
	require.Equal(t, decided, tr.Peek("s", owner.Key{Ready: true}, in))
	require.Equal(t, 1, changes)
}
