package deployment_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// fleetNodes is how many nodes the model has, modelDays how many days it
	// simulates, and modelSteps how many events a day has.
	fleetNodes = 3
	modelDays  = 300
	modelSteps = 200
)

var (
	// modelEvents are the model's events; frequent ones occur more than once.
	modelEvents = strings.Fields("start read watch watch pull pull ask ask ask answer answer answer change change change change evacuate evacuate")
	// restoredEvents are those of a store that is sometimes restored.
	restoredEvents = append(strings.Fields("restore"), modelEvents...)
)

type (
	// history is all changes that a store has accepted, in order.
	history []deployment.Item

	// epochs are the store's histories, the current one last. Each begins with a
	// prefix of the one before.
	epochs []history

	// modelNode is a node of the model, with the answers in flight to it.
	modelNode struct {
		state   *deployment.State
		pending []deployment.Update
	}

	// step is one event of the model.
	step struct {
		event      string
		node, peer int
		endpoint   string
		// present says that the changed endpoint, or the evacuation of its zone,
		// exists afterwards.
		present bool
		// lost is how many changes the restored copy lacks.
		lost int
	}
)

func TestRecordAfter(t *testing.T) {
	r := &deployment.Record{Items: []deployment.Item{entry("a", 3, ""), removal("b", 7), entry("c", 8, "")}, Position: at(8), Since: 5}
	cases := []struct {
		name  string
		after uint64
		want  []deployment.Item
		whole bool
	}{
		{name: "a delta from where removals are known", after: 5, want: []deployment.Item{removal("b", 7), entry("c", 8, "")}},
		{name: "nothing from the newest", after: 8},
		{name: "everything from before", after: 4, want: []deployment.Item{entry("a", 3, ""), entry("c", 8, "")}, whole: true},
		{name: "everything for a node that knows nothing", after: 0, want: []deployment.Item{entry("a", 3, ""), entry("c", 8, "")}, whole: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			items, whole := r.After(at(c.after))
			require.Equal(t, c.want, items)
			require.Equal(t, c.whole, whole)
		})
	}
}

// after returns the changes after a revision.
func (h history) after(revision uint64) []deployment.Item { return h[revision:] }

// at returns the items that exist at a revision.
func (h history) at(revision uint64) (items []deployment.Item) {
	newest := map[string]deployment.Item{}
	for _, i := range h[:revision] {
		newest[i.Key] = i
	}
	for _, i := range newest {
		if !i.Removed {
			items = append(items, i)
		}
	}
	return items
}

func (h history) endpoints(revision uint64) (list []string) {
	return h.named("e/", revision)
}

// named returns the names under a key prefix that exist at a revision, sorted.
func (h history) named(prefix string, revision uint64) (list []string) {
	for _, i := range h.at(revision) {
		if name, ok := strings.CutPrefix(i.Key, prefix); ok {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

func (n *modelNode) apply(t *testing.T, u deployment.Update) {
	n.state.Apply(t.Context(), u)
	synctest.Wait()
}

func (n *modelNode) position() deployment.Position { return n.state.Snapshot().Position }

// ask returns a peer's answer to a request made now.
func (n *modelNode) ask(peer *modelNode) deployment.Update {
	record := peer.state.Record()
	items, whole := record.After(n.position())
	return deployment.Update{
		Items: items, Position: record.Position, Whole: whole, Source: "peer",
		Previous: record.Previous, Settling: peer.state.Settling(), Lapsing: peer.state.Lapsing(),
	}
}

func newModelNode() *modelNode {
	return &modelNode{state: deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})}
}

// Guards against a node that misses a removal, and sends requests to an endpoint
// that has left, though it gets all later updates.
func TestNodesMatchStoreAtTheirRevision(t *testing.T) { runModels(t, modelEvents, 0) }

// Guards against the same failure after the store was restored from copies, so that
// one revision names several changes.
func TestNodesMatchStoreAtTheirPosition(t *testing.T) { runModels(t, restoredEvents, 1) }

// runModels simulates days of random events, from the given first epoch on.
func runModels(t *testing.T, events []string, epoch uint64) {
	for seed := range uint64(modelDays) {
		random := rand.New(rand.NewPCG(seed, 0))
		steps := make([]step, modelSteps)
		for i := range steps {
			steps[i] = step{
				event: events[random.IntN(len(events))], node: random.IntN(fleetNodes), peer: random.IntN(fleetNodes),
				endpoint: string(rune('a' + random.IntN(3))), present: random.IntN(2) == 0, lost: random.IntN(6),
			}
		}
		synctest.Test(t, func(t *testing.T) { require.Empty(t, runModel(t, steps, epoch), "seed %d", seed) })
	}
}

// runModel executes the steps and describes the first one after which a node's
// state differs from the store's at the node's position.
func runModel(t *testing.T, steps []step, first uint64) string {
	store := epochs{{config("x", 1)}}
	nodes := []*modelNode{newModelNode(), newModelNode(), newModelNode()}
	defer func() {
		for _, n := range nodes {
			n.state.Close()
		}
	}()
	for at, s := range steps {
		if s.event == "start" {
			nodes[s.node].state.Close()
			nodes[s.node] = newModelNode()
		}
		before := nodes[s.node].position()
		store = nodes[s.node].run(t, s, nodes[s.peer], store, first)
		if entered := nodes[s.node].position(); before.Epoch != entered.Epoch {
			// Items carried over from the previous epoch expire.
			time.Sleep(settled)
			synctest.Wait()
		}
		for i, n := range nodes {
			p := n.position()
			h := store.of(p.Epoch, first)
			if want, got := h.endpoints(p.Revision), ids(n.state); !slices.Equal(want, got) {
				return fmt.Sprintf("node %d knows %v instead of %v at %v after %v", i, got, want, p, steps[:at+1])
			}
			if want, got := h.named("z/", p.Revision), evacuated(n.state); !slices.Equal(want, got) {
				return fmt.Sprintf("node %d considers %v evacuated instead of %v at %v after %v", i, got, want, p, steps[:at+1])
			}
		}
	}
	return ""
}

// of returns the history of an epoch; a node that has read nothing is in none.
func (e epochs) of(epoch, first uint64) history {
	if epoch < first {
		return nil
	}
	return e[epoch-first]
}

// run executes a step at the node and returns the store after it.
func (n *modelNode) run(t *testing.T, s step, peer *modelNode, store epochs, first uint64) epochs {
	epoch, h := first+uint64(len(store))-1, store[len(store)-1]
	newest := uint64(len(h))
	at := func(revision uint64) deployment.Position {
		return deployment.Position{Epoch: epoch, Revision: revision}
	}
	write := func(i deployment.Item) epochs {
		store[len(store)-1] = append(h[:len(h):len(h)], i)
		return store
	}
	switch s.event {
	case "change":
		i := removal(s.endpoint, newest+1)
		if s.present {
			i = entry(s.endpoint, newest+1, "")
		}
		return write(i)
	case "evacuate":
		return write(deployment.Item{Key: "z/" + s.endpoint, Revision: newest + 1, Removed: !s.present})
	case "restore":
		return append(store, h[:max(len(h)-s.lost, 1)])
	case "read":
		n.apply(t, deployment.Update{Items: h.at(newest), Position: at(newest), Whole: true, Source: deployment.SourceStore})
	case "watch":
		if p := n.position(); p.Epoch == epoch && !p.IsZero() {
			n.apply(t, deployment.Update{Items: h.after(p.Revision), Position: at(newest), Source: deployment.SourceStore})
		}
	case "pull":
		n.apply(t, n.ask(peer))
	case "ask":
		n.pending = append(n.pending, n.ask(peer))
	case "answer":
		if len(n.pending) > 0 {
			n.apply(t, n.pending[0])
			n.pending = n.pending[1:]
		}
	}
	return store
}

// Guards against a node that refuses every request for two seconds just after a
// store outage.
func TestRemovalsFromPeerReadAreHeldWhileReadersFail(t *testing.T) {
	cases := []struct {
		name string
		// readerFailed is how long before the update a reader had failed, 0 for
		// never.
		readerFailed time.Duration
		want         []string
	}{
		{name: "what a peer's full read lacks is removed", want: []string{"b"}},
		{name: "but not while readers of the store fail", readerFailed: time.Second, want: []string{"a", "b"}},
		{name: "nor later than entries may lapse", readerFailed: 3 * time.Second, want: []string{"b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newModelNode()
				defer n.state.Close()
				n.apply(t, deployment.Update{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(2), Whole: true, Source: deployment.SourceStore})
				if c.readerFailed > 0 {
					n.state.ReaderFailed()
					time.Sleep(c.readerFailed)
				}
				n.apply(t, deployment.Update{Items: []deployment.Item{entry("b", 2, "")}, Position: at(4), Whole: true, Source: "peer"})
				require.Equal(t, c.want, ids(n.state))
			})
		})
	}
}

// Guards against removals that pile up in a node's memory and in its answers to
// peers for as long as it runs.
func TestOldRemovalsArePruned(t *testing.T) {
	const starts = 3000
	synctest.Test(t, func(t *testing.T) {
		n := newModelNode()
		defer n.state.Close()
		n.apply(t, deployment.Update{Items: []deployment.Item{entry("stays", 1, "")}, Position: at(1), Whole: true, Source: deployment.SourceStore})
		for i := range uint64(starts) {
			id := fmt.Sprint("e", i)
			n.apply(t, deployment.Update{Items: []deployment.Item{entry(id, 2*i+2, ""), removal(id, 2*i+3)}, Position: at(2*i + 3), Source: deployment.SourceStore})
		}
		record := n.state.Record()
		require.Less(t, len(record.Items), starts/2)
		items, whole := record.After(at(2))
		require.True(t, whole)
		require.Equal(t, []deployment.Item{entry("stays", 1, "")}, items)
		_, whole = record.After(at(record.Revision - 2))
		require.False(t, whole)
		require.Equal(t, []string{"stays"}, ids(n.state))
	})
}
