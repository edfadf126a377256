package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/poison"
)

// start is when the tests' virtual time starts.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newKernel(name string, c poison.Config) *kernel.Kernel {
	return kernel.New(kernel.Config{Self: kernel.Node{Name: name}, Extensions: []kernel.Extension{poison.New(c)}})
}

// sendHeartbeat delivers one heartbeat from one kernel to another.
func sendHeartbeat(now time.Time, from, to *kernel.Kernel) {
	to.Step(now, kernel.HeartbeatReceived{Heartbeat: from.Beat(now, to.Self().Name)})
}

// Guards against a request that crashes one engine after another, each at a
// different node, because no node counts the deaths that others saw.
func TestDeathsOnDifferentNodesAddUp(t *testing.T) {
	var nodes []*kernel.Kernel
	for i := range 8 {
		nodes = append(nodes, newKernel(fmt.Sprint(i), poison.Config{}))
	}
	for i := range kernel.IsolateAfter {
		nodes[i].Step(start, poison.EndpointDied{Fingerprint: 7, Endpoint: fmt.Sprintf("w%d", i)})
	}
	require.False(t, nodes[0].View().Suspects[7].Isolated())
	for _, from := range nodes {
		for _, to := range nodes {
			sendHeartbeat(start, from, to)
			sendHeartbeat(start, from, to)
		}
	}
	for _, k := range nodes {
		require.Len(t, k.View().Suspects[7].Endpoints, kernel.IsolateAfter, "a repeated report counts once")
		require.True(t, k.View().Suspects[7].Isolated())
	}
}

// Guards against a request that stays isolated forever.
func TestSuspicionExpiresOnAllNodes(t *testing.T) {
	a, b := newKernel("a", poison.Config{TTL: time.Minute, GossipTime: time.Hour}), newKernel("b", poison.Config{TTL: time.Minute, GossipTime: time.Hour})
	a.Step(start, poison.EndpointDied{Fingerprint: 7, Endpoint: "w1"})
	now := start
	for now.Before(start.Add(2 * time.Minute)) {
		now = now.Add(700 * time.Millisecond)
		sendHeartbeat(now, a, b)
		sendHeartbeat(now, b, a)
		a.Step(now, kernel.Tick{})
		b.Step(now.Add(300*time.Millisecond), kernel.Tick{})
	}
	require.Empty(t, a.View().Suspects)
	require.Empty(t, b.View().Suspects)
}

func TestTableAndHeartbeatsAreBounded(t *testing.T) {
	k := newKernel("a", poison.Config{MaxEntries: 100, MaxPerHeartbeat: 5})
	for i := range kernel.IsolateAfter {
		k.Step(start, poison.EndpointDied{Fingerprint: 1, Endpoint: fmt.Sprint(i)})
	}
	for i := range 1000 {
		k.Step(start.Add(time.Duration(i)), poison.EndpointDied{Fingerprint: uint64(i + 2), Endpoint: "w1"})
	}
	require.Len(t, k.View().Suspects, 100)
	require.True(t, k.View().Suspects[1].Isolated(), "the least suspected are evicted first")
	beat := k.Beat(start, "b")
	require.Len(t, beat.Suspects, 5)
	require.EqualValues(t, 1, beat.Suspects[0].Fingerprint)
	require.Empty(t, k.Beat(start.Add(poison.DefaultGossipTime+time.Second), "b").Suspects)
}

func TestFingerprintsDiffer(t *testing.T) {
	seen := map[uint64]bool{}
	for _, p := range []uint64{
		poison.Fingerprint("a1", []byte("x")), poison.Fingerprint("a2", []byte("x")), poison.Fingerprint("a1", []byte("y")),
		poison.Fingerprint("a1", []byte("x"), nil), poison.Fingerprint("a1x"), poison.Fingerprint("a1", []byte("xy")), poison.Fingerprint("a1", []byte("x"), []byte("y")),
	} {
		require.False(t, seen[p])
		seen[p] = true
	}
	require.Equal(t, poison.Fingerprint("a1", []byte("x")), poison.Fingerprint("a1", []byte("x")))
}

// Guards against a suspected request that runs at two endpoints at a time, or never
// again.
func TestOneLeaseAtATime(t *testing.T) {
	l := poison.NewLeases(0)
	first := poison.Lease{Fingerprint: 7, ID: 1, Duration: time.Minute}
	second := poison.Lease{Fingerprint: 7, ID: 2, Duration: time.Minute}
	require.True(t, l.Acquire(start, first))
	require.True(t, l.Acquire(start, first), "requested again after a lost answer")
	require.False(t, l.Acquire(start, second))
	require.True(t, l.Acquire(start, poison.Lease{Fingerprint: 8, ID: 3, Duration: time.Minute}))
	l.Release(start, second, false)
	require.False(t, l.Acquire(start, second), "only the holder releases it")
	l.Release(start, first, true)
	require.False(t, l.Acquire(start, second), "cooldown after a death")
	now := start.Add(poison.DefaultCooldown + time.Millisecond)
	require.False(t, l.Acquire(now, second), "released before it was requested")
	third := poison.Lease{Fingerprint: 7, ID: 4, Duration: time.Minute}
	require.True(t, l.Acquire(now, third))
	require.False(t, l.Acquire(now, first))
	now = now.Add(time.Minute + time.Millisecond)
	require.True(t, l.Acquire(now, poison.Lease{Fingerprint: 7, ID: 5, Duration: time.Minute}), "the lease of a dead holder expires")
}

func TestHolderIsLive(t *testing.T) {
	nodes := []kernel.Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}
	holder, ok := poison.LeaseNode(7, nodes)
	require.True(t, ok)
	for i, n := range nodes {
		if n.Name == holder.Name {
			nodes[i].State = kernel.Suspect
		}
	}
	other, ok := poison.LeaseNode(7, nodes)
	require.True(t, ok)
	require.NotEqual(t, holder.Name, other.Name)
	_, ok = poison.LeaseNode(7, nil)
	require.False(t, ok)
}
