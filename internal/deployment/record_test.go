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
	// plays, and modelSteps how many events a day has.
	fleetNodes = 3
	modelDays  = 300
	modelSteps = 200
)

var (
	// modelEvents are the model's, the frequent ones more than once.
	modelEvents = strings.Fields("start read watch watch pull pull ask ask ask answer answer answer change change change change evacuate evacuate")
	// restoredEvents are those of a store that is restored now and then.
	restoredEvents = append(strings.Fields("restore"), modelEvents...)
)

type (
	// history is all changes that a store has taken, in their order.
	history []deployment.Item

	// epochs are the store's histories, the present one last. Each begins with a
	// part of the one before.
	epochs []history

	// modelNode is a node of the model, and answers on their way to it.
	modelNode struct {
		state  *deployment.State
		coming []deployment.Update
	}

	// step is one event of the model.
	step struct {
		what       string
		node, peer int
		endpoint   string
		// present says that the changed endpoint, or the evacuation of its zone,
		// is there afterwards.
		present bool
		// lost is how many changes a copy lacks.
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
		{name: "the difference from where removals are known", after: 5, want: []deployment.Item{removal("b", 7), entry("c", 8, "")}},
		{name: "nothing from the newest", after: 8},
		{name: "everything from before", after: 4, want: []deployment.Item{entry("a", 3, ""), entry("c", 8, "")}, whole: true},
		{name: "everything for who knows nothing", after: 0, want: []deployment.Item{entry("a", 3, ""), entry("c", 8, "")}, whole: true},
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

// at returns what there is at a revision.
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

// named returns what there is at a revision under a prefix, without it.
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

// ask returns what a peer answers now.
func (n *modelNode) ask(peer *modelNode) deployment.Update {
	record := peer.state.Record()
	items, whole := record.After(n.position())
	return deployment.Update{
		Items: items, Position: record.Position, Whole: whole, Source: "peer",
		Former: record.Former, Settling: peer.state.Settling(), Lapsing: peer.state.Lapsing(),
	}
}

func newModelNode() *modelNode {
	return &modelNode{state: deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})}
}

// Guards against this failure: a node sends requests to an endpoint that has left, and is told
// all other news.
func TestNodesKnowAllUpToTheirRevision(t *testing.T) { playModels(t, modelEvents, 0) }

// Guards against the same where the store is restored from copies, so that one
// revision names several changes.
func TestNodesKnowAllUpToTheirPosition(t *testing.T) { playModels(t, restoredEvents, 1) }

// playModels plays days of events that are drawn from some, from a first epoch on.
func playModels(t *testing.T, events []string, epoch uint64) {
	for seed := range uint64(modelDays) {
		random := rand.New(rand.NewPCG(seed, 0))
		steps := make([]step, modelSteps)
		for i := range steps {
			steps[i] = step{
				what: events[random.IntN(len(events))], node: random.IntN(fleetNodes), peer: random.IntN(fleetNodes),
				endpoint: string(rune('a' + random.IntN(3))), present: random.IntN(2) == 0, lost: random.IntN(6),
			}
		}
		synctest.Test(t, func(t *testing.T) { require.Empty(t, playModel(t, steps, epoch), "seed %d", seed) })
	}
}

// playModel plays the steps and tells the first one after which a node knows
// anything else than the store had at the node's position.
func playModel(t *testing.T, steps []step, first uint64) string {
	store := epochs{{config("x", 1)}}
	nodes := []*modelNode{newModelNode(), newModelNode(), newModelNode()}
	defer func() {
		for _, n := range nodes {
			n.state.Close()
		}
	}()
	for at, s := range steps {
		if s.what == "start" {
			nodes[s.node].state.Close()
			nodes[s.node] = newModelNode()
		}
		before := nodes[s.node].position()
		store = nodes[s.node].play(t, s, nodes[s.peer], store, first)
		if entered := nodes[s.node].position(); before.Epoch != entered.Epoch {
			// What holds of the epoch before ends with time.
			time.Sleep(settled)
			synctest.Wait()
		}
		for i, n := range nodes {
			p := n.position()
			h := store.of(p.Epoch, first)
			if want, got := h.endpoints(p.Revision), ids(n.state); !slices.Equal(want, got) {
				return fmt.Sprintf("node %d knows %v in place of %v at %v after %v", i, got, want, p, steps[:at+1])
			}
			if want, got := h.named("z/", p.Revision), evacuated(n.state); !slices.Equal(want, got) {
				return fmt.Sprintf("node %d takes %v for evacuated in place of %v at %v after %v", i, got, want, p, steps[:at+1])
			}
		}
	}
	return ""
}

// of returns the history of an epoch; a node that knows nothing is in none.
func (e epochs) of(epoch, first uint64) history {
	if epoch < first {
		return nil
	}
	return e[epoch-first]
}

// play plays a step at the node and returns the store after it.
func (n *modelNode) play(t *testing.T, s step, peer *modelNode, store epochs, first uint64) epochs {
	epoch, h := first+uint64(len(store))-1, store[len(store)-1]
	newest := uint64(len(h))
	at := func(revision uint64) deployment.Position {
		return deployment.Position{Epoch: epoch, Revision: revision}
	}
	write := func(i deployment.Item) epochs {
		store[len(store)-1] = append(h[:len(h):len(h)], i)
		return store
	}
	switch s.what {
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
		n.coming = append(n.coming, n.ask(peer))
	case "answer":
		if len(n.coming) > 0 {
			n.apply(t, n.coming[0])
			n.coming = n.coming[1:]
		}
	}
	return store
}

// Guards against this failure: every request is refused on a node for two seconds just after an
// outage of the store.
func TestReadingOfAPeerIsHeldBackWhileReadersFail(t *testing.T) {
	cases := []struct {
		name string
		// doubt is how long before the news a reader had failed, 0 for never.
		doubt time.Duration
		want  []string
	}{
		{name: "what a peer's reading lacks is gone", want: []string{"b"}},
		{name: "but not while readers of the store fail", doubt: time.Second, want: []string{"a", "b"}},
		{name: "nor later than entries may lapse", doubt: 3 * time.Second, want: []string{"b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newModelNode()
				defer n.state.Close()
				n.apply(t, deployment.Update{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(2), Whole: true, Source: deployment.SourceStore})
				if c.doubt > 0 {
					n.state.Doubt()
					time.Sleep(c.doubt)
				}
				n.apply(t, deployment.Update{Items: []deployment.Item{entry("b", 2, "")}, Position: at(4), Whole: true, Source: "peer"})
				require.Equal(t, c.want, ids(n.state))
			})
		})
	}
}

// Guards against this failure: a node's memory and its answers to peers grow for as long as it
// runs.
func TestOldRemovalsAreForgotten(t *testing.T) {
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
