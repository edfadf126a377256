package deployment_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// settled is a little longer than a restored store may be incomplete.
const settled = 10*time.Second + 200*time.Millisecond

// in returns a position in an epoch.
func in(epoch, revision uint64) deployment.Position {
	return deployment.Position{Epoch: epoch, Revision: revision}
}

// fullRead returns an update with everything that the store has.
func fullRead(p deployment.Position, items ...deployment.Item) deployment.Update {
	return deployment.Update{Items: items, Position: p, Whole: true, Source: deployment.SourceStore}
}

// delta returns an update with changes read from the store.
func delta(p deployment.Position, items ...deployment.Item) deployment.Update {
	return deployment.Update{Items: items, Position: p, Source: deployment.SourceStore}
}

func config(value string, revision uint64) deployment.Item {
	return deployment.Item{Key: "config", Value: []byte(value), Revision: revision}
}

// usable returns the endpoints that may be sent requests.
func usable(s *deployment.State) (list []string) {
	for _, e := range s.Snapshot().Endpoints["s"] {
		if e.AcceptsRequests() {
			list = append(list, e.ID)
		}
	}
	return list
}

// Guards against requests to endpoints that left, and against changes that are
// never seen, after the store was restored from a copy some seconds old.
func TestEndpointsAfterStoreRestore(t *testing.T) {
	// The copy was made at revision 4.
	copied := []deployment.Item{entry("a", 1, ""), entry("b", 2, ""), entry("c", 3, "")}
	start := fullRead(in(1, 4), copied...)
	cases := []struct {
		name string
		// before are changes that the copy lacks.
		before []deployment.Item
		after  []deployment.Update
		want   []string
		// later is what may be sent requests once the store has settled.
		later []string
	}{
		{
			name:   "nothing was lost",
			after:  []deployment.Update{fullRead(in(2, 4), copied...)},
			want:   []string{"a", "b", "c"},
			later:  []string{"a", "b", "c"},
			before: nil,
		},
		{
			name:   "a change has the revision of a lost one",
			before: []deployment.Item{entry("a", 5, "")},
			after:  []deployment.Update{fullRead(in(2, 4), copied...), delta(in(2, 5), entry("b", 5, "draining"))},
			want:   []string{"a", "c"},
			later:  []string{"a", "c"},
		},
		{
			name:   "a draining one still drains before it writes so again",
			before: []deployment.Item{entry("a", 5, "draining")},
			after:  []deployment.Update{fullRead(in(2, 4), copied...)},
			want:   []string{"b", "c"},
			later:  []string{"b", "c"},
		},
		{
			name:   "also if it first writes that it is ready",
			before: []deployment.Item{entry("a", 5, "draining")},
			after:  []deployment.Update{fullRead(in(2, 4), copied...), delta(in(2, 5), entry("a", 5, ""))},
			want:   []string{"b", "c"},
			later:  []string{"b", "c"},
		},
		{
			name:   "a removed one stays removed while the store settles",
			before: []deployment.Item{removal("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 4), copied...)},
			want:   []string{"b", "c"},
			later:  []string{"a", "b", "c"},
		},
		{
			name:   "until it writes its entry again",
			before: []deployment.Item{removal("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 4), copied...), delta(in(2, 5), entry("a", 5, ""))},
			want:   []string{"a", "b", "c"},
			later:  []string{"a", "b", "c"},
		},
		{
			name:   "or until its entry lapses again",
			before: []deployment.Item{removal("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 4), copied...), delta(in(2, 5), removal("a", 5))},
			want:   []string{"b", "c"},
			later:  []string{"b", "c"},
		},
		{
			name:   "one added after the copy is kept for a while",
			before: []deployment.Item{entry("d", 5, "")},
			after:  []deployment.Update{fullRead(in(2, 4), copied...)},
			want:   []string{"a", "b", "c", "d"},
			later:  []string{"a", "b", "c"},
		},
		{
			name:   "and for good if it writes its entry again",
			before: []deployment.Item{entry("d", 5, "")},
			after:  []deployment.Update{fullRead(in(2, 4), copied...), delta(in(2, 5), entry("d", 5, ""))},
			want:   []string{"a", "b", "c", "d"},
			later:  []string{"a", "b", "c", "d"},
		},
		{
			name:   "restored twice, the second time from the older copy",
			before: []deployment.Item{removal("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 5), copied[1:]...), fullRead(in(3, 4), copied...)},
			want:   []string{"b", "c"},
			later:  []string{"a", "b", "c"},
		},
		{
			name:   "late answers from the previous epoch are ignored",
			before: []deployment.Item{removal("a", 5)},
			after: []deployment.Update{
				fullRead(in(2, 4), copied[1:]...), delta(in(1, 9), entry("a", 9, "")), fullRead(in(1, 9), copied...),
			},
			want:  []string{"b", "c"},
			later: []string{"b", "c"},
		},
		{
			name:   "a peer's delta from another epoch is ignored",
			before: []deployment.Item{entry("a", 5, "draining")},
			after:  []deployment.Update{{Items: []deployment.Item{removal("b", 6)}, Position: in(2, 6), Source: "peer"}},
			want:   []string{"b", "c"},
			later:  []string{"b", "c"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				s.Apply(t.Context(), start)
				s.Apply(t.Context(), delta(in(1, 5), c.before...))
				for _, u := range c.after {
					s.Apply(t.Context(), u)
				}
				synctest.Wait()
				require.Equal(t, c.want, usable(s))
				time.Sleep(settled)
				synctest.Wait()
				require.Equal(t, c.later, usable(s))
			})
		})
	}
}

// Guards against a return to a configuration older than one that was in force.
func TestConfigurationAfterStoreRestore(t *testing.T) {
	cases := []struct {
		name  string
		after []deployment.Update
		want  uint64
	}{
		{name: "the copy has an older one", after: []deployment.Update{fullRead(in(2, 4), config("x", 1))}, want: 3},
		{name: "or none", after: []deployment.Update{fullRead(in(2, 4))}, want: 3},
		{
			name:  "a newer one has a revision that was given out before",
			after: []deployment.Update{fullRead(in(2, 4), config("x", 1)), delta(in(2, 5), config("xxxx", 5))},
			want:  4,
		},
		{name: "also in the first full read", after: []deployment.Update{fullRead(in(2, 5), config("xxxx", 5))}, want: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}})
				defer s.Close()
				s.Apply(t.Context(), fullRead(in(1, 4), config("x", 1)))
				s.Apply(t.Context(), delta(in(1, 5), config("xxx", 5)))
				for _, u := range c.after {
					s.Apply(t.Context(), u)
				}
				synctest.Wait()
				require.Equal(t, c.want, s.Snapshot().Config.Version)
			})
		})
	}
}

// Guards against requests to a zone whose evacuation was lost with the store's last
// changes, and against a zone that stays evacuated for good.
func TestEvacuationsAfterStoreRestore(t *testing.T) {
	cases := []struct {
		name   string
		before []deployment.Item
		after  []deployment.Update
		want   []string
		later  []string
	}{
		{
			name:   "one that the copy lacks holds until it is written again",
			before: []deployment.Item{evacuation("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 4), entry("a", 1, ""), entry("b", 2, ""))},
			want:   []string{"a"},
		},
		{
			name:   "and on, if it is",
			before: []deployment.Item{evacuation("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 4), entry("a", 1, ""), entry("b", 2, "")), delta(in(2, 5), evacuation("a", 5))},
			want:   []string{"a"}, later: []string{"a"},
		},
		{
			name:   "until it is ended",
			before: []deployment.Item{evacuation("a", 5)},
			after: []deployment.Update{
				fullRead(in(2, 4), entry("a", 1, ""), entry("b", 2, "")), delta(in(2, 6), evacuation("a", 5), evacuationEnd("a", 6)),
			},
		},
		{
			name:   "one whose end the copy lacks holds again",
			before: []deployment.Item{evacuation("a", 4), evacuationEnd("a", 5)},
			after:  []deployment.Update{fullRead(in(2, 4), entry("a", 1, ""), entry("b", 2, ""), evacuation("a", 4))},
			want:   []string{"a"}, later: []string{"a"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				s.Apply(t.Context(), fullRead(in(1, 3), entry("a", 1, ""), entry("b", 2, "")))
				s.Apply(t.Context(), delta(in(1, 5), c.before...))
				for _, u := range c.after {
					s.Apply(t.Context(), u)
				}
				synctest.Wait()
				require.Equal(t, c.want, withheld(s))
				time.Sleep(settled)
				synctest.Wait()
				require.Equal(t, c.later, withheld(s))
			})
		})
	}
}

// Guards against a node that relies on the restored copy, though its peers know
// later changes: it starts after the restore, or learns of the restore from a peer.
func TestPeerSuppliesItemsMissingFromRestoredStore(t *testing.T) {
	copied := []deployment.Item{entry("a", 1, ""), entry("b", 2, ""), entry("c", 3, ""), config("x", 4)}
	ways := map[string]func(t *testing.T, s *deployment.State){
		"it has read the store":       func(t *testing.T, s *deployment.State) { s.Apply(t.Context(), fullRead(in(2, 4), copied...)) },
		"it knows nothing":            func(*testing.T, *deployment.State) {},
		"it knows the previous epoch": func(t *testing.T, s *deployment.State) { s.Apply(t.Context(), fullRead(in(1, 4), copied...)) },
	}
	for name, way := range ways {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				knows := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer knows.Close()
				knows.Apply(t.Context(), fullRead(in(1, 4), copied...))
				knows.Apply(t.Context(), delta(in(1, 8), entry("a", 5, "draining"), removal("b", 6), config("xxx", 7), evacuation("c", 8)))
				knows.Apply(t.Context(), fullRead(in(2, 4), copied...))
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				way(t, s)
				time.Sleep(time.Second)
				synctest.Wait()
				record := knows.Record()
				items, whole := record.After(s.Snapshot().Position)
				s.Apply(t.Context(), deployment.Update{
					Items: items, Position: record.Position, Whole: whole, Previous: record.Previous, Settling: knows.Settling(), Lapsing: knows.Lapsing(), Source: "peer",
				})
				synctest.Wait()
				require.Empty(t, usable(s))
				require.Equal(t, uint64(3), s.Snapshot().Config.Version)
				require.Equal(t, in(2, 4), s.Snapshot().Position)
				require.LessOrEqual(t, s.Settling(), 9*time.Second, "the remaining time is sent")
				require.ElementsMatch(t, knows.Record().Previous, s.Record().Previous, "the next node learns it too")
				time.Sleep(settled)
				synctest.Wait()
				require.Equal(t, []string{"b", "c"}, usable(s))
			})
		})
	}
}
