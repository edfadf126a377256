package gossip_test

import (
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/gossip"
)

// fullReadAt returns a read of everything that the store holds at a position.
func fullReadAt(epoch, revision uint64, items ...deployment.Item) deployment.Update {
	u := fullRead(revision, items...)
	u.Epoch = epoch
	return u
}

// Guards against nodes that do not pull the changes of a restored store, because
// its revisions are not higher than the ones they have.
func TestPullFromPeerWithRestoredStore(t *testing.T) {
	cases := []struct {
		name     string
		revision uint64
	}{
		{name: "below the revision known", revision: 3},
		{name: "at the revision known", revision: 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			behind := newState(t, fullReadAt(1, 9, entry("a", 1), entry("b", 2)))
			f.serve(1, behind)
			f.serve(2, newState(t, fullReadAt(2, c.revision, entry("a", 1), entry("c", 2))))
			f.eventually(func() bool { return behind.Snapshot().Position == deployment.Position{Epoch: 2, Revision: c.revision} }, "the change is pulled")
			f.eventually(func() bool { return endpointIDs(behind) == "a c" }, "the endpoint missing from the restored store lapses")
		})
	}
}

// Guards against a node that starts after a restore and uses the restored data
// alone, because no peer has a newer revision.
func TestNodeStartedAfterRestorePullsPreviousEpoch(t *testing.T) {
	f := newFleet(t)
	ahead := newState(t, fullReadAt(1, 5, entry("a", 1), entry("gone", 2)))
	ahead.Apply(t.Context(), deployment.Update{
		Items: []deployment.Item{{Key: "gone", Revision: 6, Removed: true}}, Position: deployment.Position{Epoch: 1, Revision: 6}, Source: deployment.SourceStore,
	})
	ahead.Apply(t.Context(), fullReadAt(2, 5, entry("a", 1), entry("gone", 2)))
	require.Eventually(t, func() bool { return ahead.Snapshot().Epoch == 2 }, patience, time.Millisecond)
	started := newState(t, fullReadAt(2, 5, entry("a", 1), entry("gone", 2)))
	f.serve(1, ahead)
	f.serve(2, started)
	f.eventually(func() bool {
		e := started.Snapshot().Endpoints["s"]
		return len(e) == 2 && e[0].AcceptsRequests() && !e[1].AcceptsRequests()
	}, "the removal is known")
}

// Guards against a delta to a base that has the same revision on both nodes but
// another value, because the store was restored in between.
func TestDeltaBaseIsIdentifiedByContent(t *testing.T) {
	random := func() []byte {
		data := make([]byte, 20_000)
		for i := range data {
			data[i] = byte(rand.Uint32())
		}
		return data
	}
	f := newFleet(t)
	value := random()
	f.start(1, &fakeReplica{revision: 7, items: []deployment.Item{{Key: "a", Value: value, Revision: 7}}, past: []deployment.Item{{Key: "a", Value: random(), Revision: 3}}})
	other := f.start(2, &fakeReplica{revision: 3, items: []deployment.Item{{Key: "a", Value: random(), Revision: 3}}})
	f.eventually(func() bool { return other.replica.Snapshot().Revision == 7 }, "the change is pulled")
	require.Equal(t, value, other.replica.Items()[1].Value)
}

// Guards against nodes in two epochs that count as nodes with different digests
// at the same revision.
func TestDigestsOfTwoEpochsAreNotCompared(t *testing.T) {
	f := newFleet(t)
	inEpoch := func(epoch uint64) *epochReplica {
		return &epochReplica{fakeReplica: fakeReplica{revision: 4, access: deployment.Reading, news: make(chan struct{}, 1)}, epoch: epoch}
	}
	lines := &eventCounter{event: "record.differs"}
	var list []*node
	for n := 1; n <= 4; n++ {
		list = append(list, f.serve(n, inEpoch(uint64(min(n, 2))), decision.New(decision.LogConfig{To: lines})))
	}
	f.eventually(func() bool { return len(list[0].gossip.View().Alive) == 3 }, "all other nodes are alive")
	time.Sleep(2 * time.Second)
	require.Zero(t, lines.count())
}

// eventCounter is a log writer that counts the lines of one event.
type eventCounter struct {
	event string
	mu    sync.Mutex
	lines int
}

// Write implements io.Writer.
func (c *eventCounter) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.Contains(string(line), c.event) {
		c.lines++
	}
	return len(line), nil
}

func (c *eventCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lines
}

// epochReplica is a replica that ignores updates and has its epoch as digest.
type epochReplica struct {
	fakeReplica
	epoch uint64
}

// Snapshot implements gossip.Replica.
func (b *epochReplica) Snapshot() *deployment.Snapshot {
	return &deployment.Snapshot{Position: deployment.Position{Epoch: b.epoch, Revision: 4}}
}

// Record implements gossip.Replica.
func (b *epochReplica) Record() *deployment.Record {
	return &deployment.Record{Position: deployment.Position{Epoch: b.epoch, Revision: 4}, Digest: uint32(b.epoch)}
}

var _ gossip.Replica = (*epochReplica)(nil)
