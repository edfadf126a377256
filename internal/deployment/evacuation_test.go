package deployment_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

func evacuation(zone string, revision uint64) deployment.Item {
	return deployment.Item{Key: "z/" + zone, Value: []byte("{}"), Revision: revision}
}

func evacuationEnd(zone string, revision uint64) deployment.Item {
	return deployment.Item{Key: "z/" + zone, Revision: revision, Removed: true}
}

// evacuated returns the zones that a state considers evacuated.
func evacuated(s *deployment.State) []string {
	return slices.Sorted(maps.Keys(s.Snapshot().Evacuated))
}

// withheld returns the endpoints that may be sent nothing.
func withheld(s *deployment.State) (list []string) {
	for _, e := range s.Snapshot().Endpoints["s"] {
		if !e.AcceptsRequests() {
			list = append(list, e.ID)
		}
	}
	return list
}

// cold returns the endpoints that the state considers cold.
func cold(s *deployment.State) (list []string) {
	for _, e := range s.Snapshot().Endpoints["s"] {
		if e.IsCold(time.Now()) {
			list = append(list, e.ID)
		}
	}
	return list
}

// Guards against requests to endpoints of a zone five seconds after its evacuation,
// and against a zone that gets none after the evacuation has ended.
func TestEvacuations(t *testing.T) {
	start := deployment.Update{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(2), Whole: true, Source: deployment.SourceStore}
	cases := []struct {
		name    string
		updates []deployment.Update
		want    []string
	}{
		{
			name:    "an evacuated zone's endpoints get nothing",
			updates: []deployment.Update{{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: deployment.SourceStore}},
			want:    []string{"a"},
		},
		{
			name: "until the evacuation ends",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: "n1"},
				{Items: []deployment.Item{evacuationEnd("a", 4)}, Position: at(4), Source: "n2"},
			},
		},
		{
			name: "an older start does not apply after the end",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuationEnd("a", 4)}, Position: at(4), Source: "n2"},
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: "n1"},
			},
		},
		{
			name: "a second evacuation holds though the end of the first comes late",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: "n1"},
				{Items: []deployment.Item{evacuation("a", 5)}, Position: at(5), Source: "n1"},
				{Items: []deployment.Item{evacuationEnd("a", 4)}, Position: at(4), Source: "n2"},
			},
			want: []string{"a"},
		},
		{
			name: "two zones at once",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3), evacuation("b", 4)}, Position: at(4), Source: deployment.SourceStore},
			},
			want: []string{"a", "b"},
		},
		{
			name: "a full read that lacks it ends it",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: deployment.SourceStore},
				{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(5), Whole: true, AfterOutage: true, Source: deployment.SourceStore},
			},
		},
		{
			name: "an older full read that lacks it does not",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 6)}, Position: at(6), Source: "n1"},
				{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(5), Whole: true, Source: deployment.SourceStore},
			},
			want: []string{"a"},
		},
		{
			// A paged read is no snapshot: what was written after the first page
			// counts as read at the first page's revision.
			name: "nor does one whose first page is older than what others know",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 6)}, Position: at(4), Source: "n1"},
				{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(5), Whole: true, Source: deployment.SourceStore},
			},
			want: []string{"a"},
		},
		{
			name: "an endpoint that starts while its zone is evacuated",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("c", 3), entry("c", 4, "")}, Position: at(4), Source: deployment.SourceStore},
			},
			want: []string{"c"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				s.Apply(t.Context(), start)
				for _, u := range c.updates {
					s.Apply(t.Context(), u)
				}
				synctest.Wait()
				require.Equal(t, c.want, withheld(s))
			})
		})
	}
}

// Guards against requests for an endpoint that reach another one at the same
// address, which refuses them until the retry budget is used up.
func TestNewestEndpointOfAddressReplacesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
		defer s.Close()
		replaced := func() (list []string) {
			for _, e := range s.Snapshot().Endpoints["s"] {
				if e.Replaced {
					list = append(list, e.ID)
				}
			}
			return list
		}
		apply := func(revision uint64, items ...deployment.Item) {
			s.Apply(t.Context(), deployment.Update{Items: items, Position: at(revision), Source: "n1"})
			synctest.Wait()
		}
		apply(3, entry("a", 1, "at 10.0.0.1:80"), entry("b", 2, "at 10.0.0.2:80"), entry("nowhere", 3, ""))
		require.Empty(t, replaced())
		apply(4, entry("a2", 4, "at 10.0.0.1:80"))
		require.Equal(t, []string{"a"}, replaced())
		apply(5, removal("a2", 5))
		require.Empty(t, replaced())
	})
}

// Guards against engines that crash under the requests that return to a zone all at
// once after its evacuation has ended.
func TestEndpointsAreColdAfterEvacuation(t *testing.T) {
	config := deployment.Item{Key: "config", Value: []byte("x"), Revision: 1}
	start := deployment.Update{Items: []deployment.Item{config, entry("a", 2, ""), entry("b", 3, "")}, Position: at(3), Whole: true, Source: deployment.SourceStore}
	cases := []struct {
		name  string
		items []deployment.Item
		// wait is how long after the update the endpoints are checked.
		wait time.Duration
		want []string
	}{
		{name: "warm ones stay warm", items: []deployment.Item{entry("a", 4, "")}},
		{name: "one says that it is cold", items: []deployment.Item{entry("a", 4, "cold")}, want: []string{"a"}},
		{name: "for as long as it says", items: []deployment.Item{entry("a", 4, "cold")}, wait: coldFor},
		{name: "an evacuation ends", items: []deployment.Item{evacuation("a", 4), evacuationEnd("a", 5)}, want: []string{"a"}},
		{name: "and is warm after the time", items: []deployment.Item{evacuation("a", 4), evacuationEnd("a", 5)}, wait: coldFor},
		{name: "only its end is received", items: []deployment.Item{evacuationEnd("a", 5)}, want: []string{"a"}},
		{name: "an entry written before does not change that", items: []deployment.Item{evacuationEnd("a", 5), entry("a", 4, "")}, want: []string{"a"}},
		{name: "one written after says that it is warm", items: []deployment.Item{evacuationEnd("a", 5), entry("a", 6, "")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
				defer s.Close()
				s.Apply(t.Context(), start)
				s.Apply(t.Context(), deployment.Update{Items: c.items, Position: at(6), Source: "n1"})
				synctest.Wait()
				time.Sleep(c.wait)
				require.Equal(t, c.want, cold(s))
			})
		})
	}
}
