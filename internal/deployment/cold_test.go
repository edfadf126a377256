package deployment_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// noPeers are the loads that a node without peers sees.
type noPeers struct{}

func (noPeers) Others(uint32) int { return 0 }

func (noPeers) OthersPrefill(uint32) int { return 0 }

func (noPeers) OthersFailures(uint32) int { return 0 }

func (noPeers) Age(time.Time) time.Duration { return 0 }

// Guards against a node that treats all engines as cold just after it has learned
// of them, and refuses requests that they have room for.
func TestNewlyListedEnginesAreWarm(t *testing.T) {
	const engines, slots = 20, 4
	service := deployment.Service{Name: "s", Model: true, Slots: slots, Cold: coldFor, ColdRate: 18}
	cases := []struct {
		name   string
		update func(items []deployment.Item) deployment.Update
	}{
		{name: "from the store", update: func(items []deployment.Item) deployment.Update { return fullRead(at(engines), items...) }},
		{name: "from a peer", update: func(items []deployment.Item) deployment.Update {
			return deployment.Update{Items: items, Position: at(engines), Whole: true, Source: "peer"}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				b := balance.New(balance.Config{Loads: noPeers{}})
				var items []deployment.Item
				for n := range uint64(engines) {
					items = append(items, entry(string(rune('a'+n)), n+1, ""))
				}
				s.Apply(t.Context(), c.update(items))
				synctest.Wait()
				for range engines * slots {
					choice := b.Choose(time.Now(), s.Snapshot().Endpoints["s"], balance.Request{Service: service, Key: "doc"})
					require.NotNil(t, choice)
					require.False(t, choice.Cold)
				}
			})
		})
	}
}

// Guards against all nodes returning to an engine at the moment at which its entry
// says that it is warm: each node adds a margin of its own to ColdUntil.
func TestColdTimeEndsWithWarmEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
		defer s.Close()
		until := func() time.Time {
			synctest.Wait()
			return s.Snapshot().Endpoints["s"][0].ColdUntil
		}
		s.Apply(t.Context(), delta(at(1), entry("a", 1, "cold")))
		end := time.Now().Add(coldFor)
		require.Equal(t, end, until())
		time.Sleep(coldFor / 2)
		s.Apply(t.Context(), delta(at(2), entry("a", 2, "")))
		require.Equal(t, time.Now(), until())
		time.Sleep(coldFor)
		s.Apply(t.Context(), delta(at(3), entry("a", 3, "draining")))
		require.Equal(t, end.Add(-coldFor/2), until())
	})
}
