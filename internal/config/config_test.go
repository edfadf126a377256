package config_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/config"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const hold = time.Second

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	peers = kernel.Instances{List: []kernel.Instance{
		{Name: "n1", Kind: kernel.KindNode}, {Name: "n2", Kind: kernel.KindNode},
	}}
	alone = kernel.Instances{List: []kernel.Instance{
		{Name: "n1", Kind: kernel.KindNode}, {Name: "w1", Kind: kernel.KindEndpoint},
	}}
)

func newKernel(hold time.Duration) *kernel.Kernel {
	return kernel.New(kernel.Config{
		Self:       kernel.Node{Name: "n1"},
		Extensions: []kernel.Extension{config.New(config.Config{Hold: hold})},
	})
}

func accepted(revision uint64) kernel.Accepted {
	return kernel.Accepted{Manifest: &manifest.Manifest{Revision: revision}}
}

func heartbeat(from string, revision uint64) kernel.HeartbeatReceived {
	return kernel.HeartbeatReceived{Heartbeat: &kernel.Heartbeat{Node: from, Revision: revision}}
}

func revision(k *kernel.Kernel) uint64 {
	if m := k.View().Manifest; m != nil {
		return m.Revision
	}
	return 0
}

func TestRevisionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newKernel(0)
		highest := uint64(0)
		for _, r := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "revisions") {
			k.Step(start, accepted(r))
			highest = max(highest, r)
			require.Equal(t, highest, revision(k))
			require.Equal(t, highest, k.Beat(start, "n2").Revision)
		}
	})
}

func TestStartAgainstStalePlatform(t *testing.T) {
	// Guards against settings that revert for a moment on a node that restarted
	// against a platform with an old revision.
	for _, c := range []struct {
		name   string
		events []kernel.Event
		after  time.Duration
		want   uint64
	}{
		{"waits for a peer", []kernel.Event{peers, accepted(6)}, hold / 2, 0},
		{"no peer answers", []kernel.Event{peers, accepted(6)}, hold, 6},
		{"no other node", []kernel.Event{alone, accepted(6)}, 0, 6},
		{"no other node, list later", []kernel.Event{accepted(6), alone}, 0, 6},
		{"peer has the same", []kernel.Event{peers, accepted(6), heartbeat("n2", 6)}, 0, 6},
		{"peer has less", []kernel.Event{peers, heartbeat("n2", 0), accepted(6)}, 0, 6},
		{"peer has more", []kernel.Event{peers, accepted(6), heartbeat("n2", 7)}, hold, 0},
		{"peer delivers more", []kernel.Event{peers, accepted(6), heartbeat("n2", 7), accepted(7)}, 0, 7},
		{"peer delivers first", []kernel.Event{peers, heartbeat("n2", 7), accepted(7), accepted(6)}, 0, 7},
		{"peer never delivers", []kernel.Event{peers, accepted(6), heartbeat("n2", 7)}, 4 * hold, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newKernel(hold)
			for _, ev := range c.events {
				k.Step(start, ev)
			}
			k.Step(start.Add(c.after), kernel.Tick{})
			require.Equal(t, c.want, revision(k))
		})
	}
}

func TestHigherRevisionIsFetchedFromPeer(t *testing.T) {
	k := newKernel(0)
	k.Step(start, accepted(6))
	require.Empty(t, k.Step(start, heartbeat("n2", 6)))
	want := []kernel.Action{kernel.FetchConfig{Node: "n2", Revision: 7}}
	require.Equal(t, want, k.Step(start, heartbeat("n2", 7)))
	require.Empty(t, k.Step(start, heartbeat("n3", 7)), "one change is fetched once")
	now := start.Add(time.Second)
	k.Step(now, kernel.ConfigFailed{Node: "n2"})
	want = []kernel.Action{kernel.FetchConfig{Node: "n3", Revision: 7}}
	require.Equal(t, want, k.Step(now, heartbeat("n2", 7)), "the other peer that reported it is asked")
	now = now.Add(time.Second)
	k.Step(now, kernel.ConfigFailed{Node: "n3"})
	require.Empty(t, k.Step(now, heartbeat("n2", 7)), "a peer that failed to deliver is not asked again")
	require.Empty(t, k.Step(now, heartbeat("n3", 7)), "a peer that failed to deliver is not asked again")
	want = []kernel.Action{kernel.FetchConfig{Node: "n2", Revision: 7}}
	require.Equal(t, want, k.Step(now.Add(2*time.Second), heartbeat("n2", 7)))
	k.Step(now, accepted(7))
	require.Empty(t, k.Step(now.Add(time.Minute), heartbeat("n3", 7)))
}

func TestQuickSecondChangeIsFetchedAtTick(t *testing.T) {
	// Guards against the second of two quick changes being a second late: it falls
	// into the pause between fetches.
	k := newKernel(0)
	k.Step(start, accepted(6))
	k.Step(start, heartbeat("n2", 7))
	k.Step(start, accepted(7))
	require.Empty(t, k.Step(start.Add(kernel.DefaultTick), heartbeat("n2", 8)))
	want := []kernel.Action{kernel.FetchConfig{Node: "n2", Revision: 8}}
	require.Equal(t, want, k.Step(start.Add(3*kernel.DefaultTick), kernel.Tick{}))
}

func TestManifestConflictIsDetected(t *testing.T) {
	// Guards against nodes that treat the same account differently for good, as
	// they hold different manifests of one revision.
	k := newKernel(0)
	own := joined(t, &manifest.Manifest{Revision: 7})
	other := joined(t, &manifest.Manifest{Revision: 7, Zones: []manifest.Zone{{Name: "a", Region: "r"}}})
	k.Step(start, kernel.Accepted{Manifest: own})
	for _, b := range []kernel.Heartbeat{
		{Node: "n2", Revision: 7, Fingerprint: own.Fingerprint()},
		{Node: "n3", Revision: 6, Fingerprint: other.Fingerprint()},
		{Node: "n4", Revision: 7},
	} {
		k.Step(start, kernel.HeartbeatReceived{Heartbeat: &b})
		require.Empty(t, k.View().Conflict)
	}
	k.Step(start, kernel.HeartbeatReceived{Heartbeat: &kernel.Heartbeat{Node: "n5", Revision: 7, Fingerprint: other.Fingerprint()}})
	require.Equal(t, "n5", k.View().Conflict)
	require.Equal(t, own, k.View().Manifest)
	k.Step(start, accepted(8))
	require.Empty(t, k.View().Conflict)
}

func joined(t *testing.T, m *manifest.Manifest) *manifest.Manifest {
	t.Helper()
	parts, err := manifest.Split(m)
	require.NoError(t, err)
	root, err := manifest.ParseRoot(parts.Values[parts.Digest])
	require.NoError(t, err)
	j, err := manifest.Join(root, parts.Values)
	require.NoError(t, err)
	return j
}
