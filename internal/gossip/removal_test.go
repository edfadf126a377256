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

// entryDecoder decodes each item as an endpoint of the service "s", with its key
// as ID.
type entryDecoder struct{}

func (entryDecoder) Decode(i deployment.Item) (deployment.Change, error) {
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
	s := deployment.NewState(deployment.StateConfig{Decoder: entryDecoder{}, Drain: drain})
	t.Cleanup(s.Close)
	s.Apply(t.Context(), u)
	require.Eventually(t, func() bool { return s.Snapshot().Revision == u.Revision }, patience, time.Millisecond)
	return s
}

func endpointIDs(s *deployment.State) string {
	var list []string
	for _, e := range s.Snapshot().Endpoints["s"] {
		list = append(list, e.ID)
	}
	return strings.Join(list, " ")
}

func entry(id string, revision uint64) deployment.Item {
	return deployment.Item{Key: id, Value: []byte(`{"Service":"s"}`), Revision: revision}
}

// fullRead returns a read of everything that the store holds at a revision.
func fullRead(revision uint64, items ...deployment.Item) deployment.Update {
	return deployment.Update{Items: items, Position: at(revision), Whole: true, Source: deployment.SourceStore}
}

// Guards against a node that keeps a removed endpoint for good, because it pulls
// from a peer that started after the removal. A request reached such an endpoint
// 3.18 s after the store recorded that it leaves; the sending node received all
// other updates within 0.1 s.
func TestRemovalIsPulledFromNodeStartedAfterIt(t *testing.T) {
	f := newFleet(t)
	running := newState(t, fullRead(2, entry("gone", 1), entry("stays", 2)))
	started := newState(t, fullRead(4, entry("stays", 2)))
	f.serve(1, running)
	f.serve(2, started)
	f.eventually(func() bool { return running.Snapshot().Revision == 4 }, "the change is pulled")
	require.Equal(t, "stays", endpointIDs(running))
}

// Guards against a node that keeps an endpoint removed long ago, as it missed the
// removal and applies all later updates.
func TestNodeWithDifferentDigestRereadsStore(t *testing.T) {
	f := newFleet(t)
	var list []*node
	for n := 1; n <= 4; n++ {
		state := newState(t, fullRead(4, entry("stays", 2)))
		if n == 4 {
			state = newState(t, fullRead(4, entry("gone", 1), entry("stays", 2)))
		}
		list = append(list, f.serve(n, state))
	}
	f.eventually(func() bool { return list[3].rereadCount() > 0 }, "the node with the different digest rereads")
	for _, n := range list[:3] {
		require.Zero(t, n.rereadCount())
	}
}

// rereadCount returns how often the node was told to reread the store.
func (n *node) rereadCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rereads
}
