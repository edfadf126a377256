package gossip_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const drain = 2 * time.Second

// entries takes each item for an endpoint of the service "s", named by its key.
type entries struct{}

func (entries) Decode(i deployment.Item) (deployment.Change, error) {
	if i.Removed {
		return deployment.Change{Removed: i.Key}, nil
	}
	e := &deployment.Endpoint{ID: i.Key}
	if err := json.Unmarshal(i.Value, e); err != nil {
		return deployment.Change{Removed: i.Key}, err
	}
	return deployment.Change{Endpoint: e}, nil
}

func newState(t *testing.T, u deployment.Update) *deployment.State {
	s := deployment.NewState(deployment.StateConfig{Decoder: entries{}, Drain: drain})
	t.Cleanup(s.Close)
	s.Apply(t.Context(), u)
	require.Eventually(t, func() bool { return s.Snapshot().Revision == u.Revision }, patience, time.Millisecond)
	return s
}

func known(s *deployment.State) string {
	var list []string
	for _, e := range s.Snapshot().Endpoints["s"] {
		list = append(list, e.ID)
	}
	return strings.Join(list, " ")
}

func entry(id string, revision uint64) deployment.Item {
	return deployment.Item{Key: id, Value: []byte(`{"Service":"s"}`), Revision: revision}
}

// whole is a reading of everything that the store has at a revision.
func whole(revision uint64, items ...deployment.Item) deployment.Update {
	return deployment.Update{Items: items, Position: at(revision), Whole: true, Source: deployment.SourceStore}
}

// Guards against this failure: a request reaches an endpoint 3.18 s after the store took the
// news that it leaves, sent by a node that is told all other news within 0.1 s; the endpoint
// stays in that node's list for good.
func TestRemovalIsLearntFromANodeThatStartedAfterIt(t *testing.T) {
	f := newFleet(t)
	running := newState(t, whole(2, entry("gone", 1), entry("stays", 2)))
	started := newState(t, whole(4, entry("stays", 2)))
	f.serve(1, running)
	f.serve(2, started)
	f.eventually(func() bool { return running.Snapshot().Revision == 4 }, "the news is taken")
	require.Equal(t, "stays", known(running))
}

// Guards against this failure: a node knows an endpoint that left long ago, and takes all later
// news.
func TestNodeThatKnowsSomethingElseReadsTheStore(t *testing.T) {
	f := newFleet(t)
	var list []*node
	for n := 1; n <= 4; n++ {
		state := newState(t, whole(4, entry("stays", 2)))
		if n == 4 {
			state = newState(t, whole(4, entry("gone", 1), entry("stays", 2)))
		}
		list = append(list, f.serve(n, state))
	}
	f.eventually(func() bool { return list[3].reads() > 0 }, "the one that errs reads")
	for _, n := range list[:3] {
		require.Zero(t, n.reads())
	}
}

// reads returns how often the node was to read the store for itself.
func (n *node) reads() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.untold
}
