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

// in is a reading of everything that the store has at a position.
func in(epoch, revision uint64, items ...deployment.Item) deployment.Update {
	u := whole(revision, items...)
	u.Epoch = epoch
	return u
}

// Guards against nodes that do not ask for a restored store's changes, as these
// have lower revisions than those that they know.
func TestNewsOfARestoredStoreIsTakenFromAPeer(t *testing.T) {
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
			behind := newState(t, in(1, 9, entry("a", 1), entry("b", 2)))
			f.serve(1, behind)
			f.serve(2, newState(t, in(2, c.revision, entry("a", 1), entry("c", 2))))
			f.eventually(func() bool { return behind.Snapshot().Position == deployment.Position{Epoch: 2, Revision: c.revision} }, "the news is taken")
			f.eventually(func() bool { return known(behind) == "a c" }, "what the copy lacks lapses")
		})
	}
}

// Guards against a node that starts after a restore and goes by the copy alone,
// as no peer knows a newer revision.
func TestNodeThatStartsAfterARestoreAsksWhatStillHolds(t *testing.T) {
	f := newFleet(t)
	knows := newState(t, in(1, 5, entry("a", 1), entry("gone", 2)))
	knows.Apply(t.Context(), deployment.Update{
		Items: []deployment.Item{{Key: "gone", Revision: 6, Removed: true}}, Position: deployment.Position{Epoch: 1, Revision: 6}, Source: deployment.SourceStore,
	})
	knows.Apply(t.Context(), in(2, 5, entry("a", 1), entry("gone", 2)))
	require.Eventually(t, func() bool { return knows.Snapshot().Epoch == 2 }, patience, time.Millisecond)
	started := newState(t, in(2, 5, entry("a", 1), entry("gone", 2)))
	f.serve(1, knows)
	f.serve(2, started)
	f.eventually(func() bool {
		e := started.Snapshot().Endpoints["s"]
		return len(e) == 2 && e[0].Takes() && !e[1].Takes()
	}, "it knows that an endpoint was gone")
}

// Guards against a difference to a value that has the same revision on both nodes
// and is another one, as the store was restored between.
func TestBaseOfADifferenceIsNamedByItsValue(t *testing.T) {
	random := func() []byte {
		data := make([]byte, 20_000)
		for i := range data {
			data[i] = byte(rand.Uint32())
		}
		return data
	}
	f := newFleet(t)
	value := random()
	f.start(1, &book{revision: 7, items: []deployment.Item{{Key: "a", Value: value, Revision: 7}}, past: []deployment.Item{{Key: "a", Value: random(), Revision: 3}}})
	other := f.start(2, &book{revision: 3, items: []deployment.Item{{Key: "a", Value: random(), Revision: 3}}})
	f.eventually(func() bool { return other.book.Snapshot().Revision == 7 }, "the news is taken")
	require.Equal(t, value, other.book.Items()[1].Value)
}

// Guards against nodes of two epochs being taken for nodes that differ at one
// revision.
func TestDigestsOfTwoEpochsAreNotCompared(t *testing.T) {
	f := newFleet(t)
	apart := func(epoch uint64) *apartBook {
		return &apartBook{book: book{revision: 4, access: deployment.Reading, news: make(chan struct{}, 1)}, epoch: epoch}
	}
	lines := &eventCounter{event: "record.differs"}
	var list []*node
	for n := 1; n <= 4; n++ {
		list = append(list, f.serve(n, apart(uint64(min(n, 2))), decision.New(decision.LogConfig{To: lines})))
	}
	f.eventually(func() bool { return len(list[0].gossip.View().Alive) == 3 }, "all are heard of")
	time.Sleep(2 * time.Second)
	require.Zero(t, lines.count())
}

// eventCounter is a log of which only the lines of one event count.
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

// apartBook is a book whose digest is that of its epoch, and which takes no news.
type apartBook struct {
	book
	epoch uint64
}

// Snapshot implements gossip.Book.
func (b *apartBook) Snapshot() *deployment.Snapshot {
	return &deployment.Snapshot{Position: deployment.Position{Epoch: b.epoch, Revision: 4}}
}

// Record implements gossip.Book.
func (b *apartBook) Record() *deployment.Record {
	return &deployment.Record{Position: deployment.Position{Epoch: b.epoch, Revision: 4}, Digest: uint32(b.epoch)}
}

var _ gossip.Book = (*apartBook)(nil)
