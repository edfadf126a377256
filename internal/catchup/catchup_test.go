package catchup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/catchup"
)

// maxReads is how many full reads of the store a fleet may make when all its nodes
// start, whatever its size.
const maxReads = 24

// Guards against a fleet that reads the store once for each node when all nodes start
// together, or because a few peers cannot serve all the others.
func TestFleetStartsWithFewReads(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails func(m *model) func(n *modelNode) bool
	}{
		{"store answers all", nil},
		{"store rejects the seeds", func(*model) func(n *modelNode) bool { return func(n *modelNode) bool { return n.seed } }},
		{"store rejects a third", func(*model) func(n *modelNode) bool {
			return func(n *modelNode) bool { return n.index%3 == 0 }
		}},
	} {
		for _, nodes := range []int{330, 1000} {
			t.Run(fmt.Sprint(c.name, ", ", nodes, " nodes"), func(t *testing.T) {
				t.Parallel()
				m := newModel(nodes, 400<<10, 1)
				if c.fails != nil {
					m.storeFails = c.fails(m)
				}
				m.run(8 * time.Second)
				count, last := m.uninformed()
				t.Logf("%d reads, %d replies, last node informed after %v", m.reads, m.replies, last)
				require.Zero(t, count, "nodes without the store's content")
				require.LessOrEqual(t, m.reads, maxReads)
				require.LessOrEqual(t, last, 6*time.Second)
			})
		}
	}
}

func newPuller(draw float64) *catchup.Puller {
	return catchup.NewPuller(catchup.Config{Zone: "a", Bound: 2 * time.Second, Draw: func() float64 { return draw }})
}

// Guards against a reader of the store that all nodes of other zones ask at once.
func TestOnlyRelaysAskOtherZonesAtOnce(t *testing.T) {
	now := time.Unix(1, 0)
	near, far := catchup.Peer{Name: "near", Zone: "a"}, catchup.Peer{Name: "far", Zone: "b"}
	p := newPuller(0)
	_, _, ok := p.Next(now, catchup.Fleet{Ahead: []catchup.Peer{far}, Nodes: 500})
	require.False(t, ok)
	peer, wait, ok := p.Next(now, catchup.Fleet{Ahead: []catchup.Peer{far, near}, Nodes: 500})
	require.True(t, ok && wait == 0)
	require.Equal(t, near, peer)
	peer, _, ok = newPuller(0).Next(now, catchup.Fleet{Ahead: []catchup.Peer{far}, Nodes: 500, Relay: true})
	require.True(t, ok)
	require.Equal(t, far, peer)
	peer, _, ok = p.Next(now.Add(time.Second), catchup.Fleet{Ahead: []catchup.Peer{far}, Nodes: 500})
	require.True(t, ok, "the zone has no relay that is ahead")
	require.Equal(t, far, peer)
}

// Guards against nodes that ask a busy peer again and again.
func TestBusyPeerIsAskedLater(t *testing.T) {
	now := time.Unix(1, 0)
	f := catchup.Fleet{Ahead: []catchup.Peer{{Name: "x", Zone: "a"}, {Name: "y", Zone: "a"}}, Nodes: 500}
	p := newPuller(0)
	first, _, _ := p.Next(now, f)
	p.Busy(now, first)
	second, wait, ok := p.Next(now, f)
	require.True(t, ok && wait == 0)
	require.NotEqual(t, first, second)
	p.Busy(now, second)
	_, wait, ok = p.Next(now, f)
	require.True(t, ok)
	require.Positive(t, wait)
	again, wait, _ := p.Next(now.Add(wait), f)
	require.Zero(t, wait)
	require.Contains(t, f.Ahead, again)
}

// Guards against a whole fleet that reads the store because one peer is slow, and
// against a node that is cut off from its peers and never reads it.
func TestFailedPeerMakesFewNodesRead(t *testing.T) {
	now := time.Unix(1, 0)
	peer := catchup.Peer{Name: "x", Zone: "a"}
	for nodes, early := range map[int]bool{4: true, 15: true, 16: false, 585: false} {
		p := newPuller(0.5)
		_, _, _ = p.Next(now, catchup.Fleet{Ahead: []catchup.Peer{peer}, Nodes: nodes})
		require.Equal(t, early, p.Failed(now.Add(800*time.Millisecond), peer, nodes), "%d nodes", nodes)
		require.True(t, p.Failed(now.Add(1600*time.Millisecond), peer, nodes), "%d nodes, half of the bound", nodes)
	}
}

// Guards against a node that knows nothing for good, since those that should read
// for it do not.
func TestReaderRoles(t *testing.T) {
	for name, c := range map[string]struct {
		reader catchup.Reader
		reads  bool
	}{
		"one of the first":                {catchup.Reader{Age: time.Hour, Ahead: 2}, true},
		"one of the first, and a new one": {catchup.Reader{Age: time.Hour, Met: time.Millisecond, Ahead: 2}, true},
		"behind the first":                {catchup.Reader{Age: time.Hour, Ahead: 3}, false},
		"just started":                    {catchup.Reader{Empty: true}, false},
		"just started, not empty":         {catchup.Reader{Ahead: 1}, false},
		"just started, a seed":            {catchup.Reader{Empty: true, Seed: true}, true},
		"meets others":                    {catchup.Reader{Empty: true, Age: time.Second, Met: 10 * time.Millisecond, Ahead: 1}, false},
		"meets others for long":           {catchup.Reader{Empty: true, Age: 2 * time.Second, Met: 10 * time.Millisecond, Ahead: 1}, true},
		"first of the nodes it has met":   {catchup.Reader{Empty: true, Age: time.Second, Met: 300 * time.Millisecond, Ahead: 1}, true},
		"has met nobody yet":              {catchup.Reader{Empty: true, Age: time.Second, Met: time.Second, Alone: true}, false},
		"has met nobody yet, a seed":      {catchup.Reader{Empty: true, Age: time.Second, Met: time.Second, Alone: true, Seed: true}, true},
		"meets nobody":                    {catchup.Reader{Empty: true, Age: 2 * time.Second, Met: 2 * time.Second, Alone: true}, true},
		"still empty, peers informed":     {catchup.Reader{Empty: true, Informed: true, Age: time.Minute, Patience: 3 * time.Second, Ahead: 9}, false},
		"still empty, nobody informed":    {catchup.Reader{Empty: true, Age: time.Minute, Patience: 3 * time.Second, Ahead: 9}, true},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.reads, c.reader.Reads()) })
	}
}

// Guards against replies that share a link until all of them are late.
func TestServerLimitsRepliesInProgress(t *testing.T) {
	var s catchup.Server
	const large = 400 << 10
	require.True(t, s.Begin(2<<20), "a reply above the limit is sent alone")
	require.False(t, s.Begin(1))
	s.End(2 << 20)
	require.True(t, s.Begin(large))
	require.False(t, s.Begin(large))
	small := 0
	for s.Begin(100) {
		small++
	}
	require.Less(t, small, 32)
	s.End(large)
	require.True(t, s.Begin(300<<10))
}
