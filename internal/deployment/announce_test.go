package deployment_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// start returns a start of an endpoint whose entry does not say when it started.
func start(id string) deployment.Start { return deployment.Start{ID: id} }

// Guards against requests to an endpoint that has announced its leave, whatever the
// store and the peers report afterwards.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	first := fullRead(in(1, 4), entry("a", 1, ""), entry("b", 2, ""))
	cases := []struct {
		name  string
		after []deployment.Update
		want  []string
		// gossiped says that peers are sent a's leave.
		gossiped bool
	}{
		{name: "the store says nothing", want: []string{"b"}, gossiped: true},
		{name: "the store says that it is ready", after: []deployment.Update{delta(in(1, 5), entry("a", 5, ""))}, want: []string{"b"}, gossiped: true},
		{name: "the store says so too", after: []deployment.Update{delta(in(1, 5), entry("a", 5, "draining"))}, want: []string{"b"}},
		{
			name:  "the store says that it is ready again",
			after: []deployment.Update{delta(in(1, 5), entry("a", 5, "draining")), delta(in(1, 6), entry("a", 6, ""))}, want: []string{"b"}, gossiped: true,
		},
		{name: "its entry is removed", after: []deployment.Update{delta(in(1, 5), removal("a", 5))}, want: []string{"b"}},
		{
			name:  "its entry is removed and written again",
			after: []deployment.Update{delta(in(1, 5), removal("a", 5)), delta(in(1, 6), entry("a", 6, ""))}, want: []string{"b"}, gossiped: true,
		},
		{
			name:  "its entry lapses with all others while the store is away",
			after: []deployment.Update{{Items: []deployment.Item{removal("a", 5), removal("b", 6)}, Position: in(1, 6), AfterOutage: true, Source: deployment.SourceStore}},
			want:  []string{"b"},
		},
		{name: "the store is restored from a copy", after: []deployment.Update{fullRead(in(2, 4), entry("a", 1, ""), entry("b", 2, ""))}, want: []string{"b"}, gossiped: true},
		{name: "another start has its ID", after: []deployment.Update{delta(in(1, 5), entry("a", 5, "born"))}, want: []string{"a", "b"}},
		{name: "another endpoint has been added", after: []deployment.Update{delta(in(1, 5), entry("c", 5, ""))}, want: []string{"b", "c"}, gossiped: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				s.Apply(t.Context(), first)
				synctest.Wait()
				s.RecordLeave(start("a"), "answer")
				synctest.Wait()
				require.Equal(t, []string{"b"}, usable(s))
				for _, u := range c.after {
					s.Apply(t.Context(), u)
				}
				synctest.Wait()
				require.Equal(t, c.want, usable(s))
				require.Equal(t, c.gossiped, len(s.Leaving(time.Time{})) > 0)
			})
		})
	}
}

// Guards against withholding requests from an endpoint because a peer named another
// one that is leaving, or one that is not known.
func TestLeavingEndpointsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}})
		defer s.Close()
		s.Apply(t.Context(), fullRead(in(1, 4), entry("a", 1, ""), entry("b", 2, ""), entry("c", 3, "draining")))
		synctest.Wait()
		s.AddLeaving([]uint32{start("a").Key(), start("c").Key(), start("unknown").Key()}, "peer")
		synctest.Wait()
		require.Equal(t, []string{"b"}, usable(s))
		require.Equal(t, []uint32{start("a").Key()}, s.Leaving(time.Time{}))
		time.Sleep(time.Second)
		require.Empty(t, s.Leaving(time.Now().Add(-time.Millisecond)), "it is older than the given time")
		s.Apply(t.Context(), delta(in(1, 5), entry("unknown", 5, "")))
		synctest.Wait()
		require.Equal(t, []string{"b", "unknown"}, usable(s), "a notice for an endpoint that is not known is ignored")
	})
}

// Guards against unbounded memory: a leave notice kept for every endpoint that ever
// left.
func TestLeaveNoticesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}})
		defer s.Close()
		back := func(revision uint64) []string {
			s.Apply(t.Context(), delta(in(1, revision), entry("a", revision, "")))
			synctest.Wait()
			return usable(s)
		}
		s.Apply(t.Context(), fullRead(in(1, 4), entry("a", 1, "")))
		synctest.Wait()
		s.RecordLeave(start("a"), "answer")
		time.Sleep(time.Hour)
		require.Empty(t, back(5), "it is known all the time")
		s.Apply(t.Context(), delta(in(1, 6), removal("a", 6)))
		time.Sleep(9 * time.Minute)
		require.Empty(t, back(7))
		s.Apply(t.Context(), delta(in(1, 8), removal("a", 8)))
		time.Sleep(11 * time.Minute)
		require.Equal(t, []string{"a"}, back(9))
	})
}
