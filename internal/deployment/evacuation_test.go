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

func takenBack(zone string, revision uint64) deployment.Item {
	return deployment.Item{Key: "z/" + zone, Revision: revision, Removed: true}
}

// evacuated returns the zones that a state takes for evacuated.
func evacuated(s *deployment.State) []string {
	return slices.Sorted(maps.Keys(s.Snapshot().Evacuated))
}

// withheld returns the endpoints that may be sent nothing.
func withheld(s *deployment.State) (list []string) {
	for _, e := range s.Snapshot().Endpoints["s"] {
		if !e.Takes() {
			list = append(list, e.ID)
		}
	}
	return list
}

// cold returns the endpoints that are believed to be cold.
func cold(s *deployment.State) (list []string) {
	for _, e := range s.Snapshot().Endpoints["s"] {
		if e.IsCold(time.Now()) {
			list = append(list, e.ID)
		}
	}
	return list
}

// Guards against this failure: requests reach endpoints of a zone five seconds after its
// evacuation, or none reach them after it was taken back.
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
			name: "until it is taken back",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: "n1"},
				{Items: []deployment.Item{takenBack("a", 4)}, Position: at(4), Source: "n2"},
			},
		},
		{
			name: "an older beginning says nothing after the end",
			updates: []deployment.Update{
				{Items: []deployment.Item{takenBack("a", 4)}, Position: at(4), Source: "n2"},
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: "n1"},
			},
		},
		{
			name: "a second evacuation holds though the end of the first comes late",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: "n1"},
				{Items: []deployment.Item{evacuation("a", 5)}, Position: at(5), Source: "n1"},
				{Items: []deployment.Item{takenBack("a", 4)}, Position: at(4), Source: "n2"},
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
			name: "a reading that lacks it ends it",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 3)}, Position: at(3), Source: deployment.SourceStore},
				{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(5), Whole: true, Regained: true, Source: deployment.SourceStore},
			},
		},
		{
			name: "an older reading that lacks it does not",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 6)}, Position: at(6), Source: "n1"},
				{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(5), Whole: true, Source: deployment.SourceStore},
			},
			want: []string{"a"},
		},
		{
			// Pages of a listing are no snapshot: what was written after the first
			// page counts as read at the first page's revision.
			name: "nor does one whose first page is older than what others know",
			updates: []deployment.Update{
				{Items: []deployment.Item{evacuation("a", 6)}, Position: at(4), Source: "n1"},
				{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(5), Whole: true, Source: deployment.SourceStore},
			},
			want: []string{"a"},
		},
		{
			name: "an endpoint that comes while its zone is evacuated",
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

// Guards against this failure: requests are refused by endpoints that are not the ones meant,
// until the budget of repeats is used up.
func TestNewestEndpointOfAnAddressReplacesTheOthers(t *testing.T) {
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

// Guards against this failure: engines of a zone that was taken back crash under the requests
// that come back to them.
func TestEndpointsOfAZoneTakenBackAreCold(t *testing.T) {
	config := deployment.Item{Key: "config", Value: []byte("x"), Revision: 1}
	start := deployment.Update{Items: []deployment.Item{config, entry("a", 2, ""), entry("b", 3, "")}, Position: at(3), Whole: true, Source: deployment.SourceStore}
	cases := []struct {
		name  string
		items []deployment.Item
		// wait is how long after the update the endpoints are looked at.
		wait time.Duration
		want []string
	}{
		{name: "warm ones stay warm", items: []deployment.Item{entry("a", 4, "")}},
		{name: "one says that it is cold", items: []deployment.Item{entry("a", 4, "cold")}, want: []string{"a"}},
		{name: "for as long as it says", items: []deployment.Item{entry("a", 4, "cold")}, wait: coldFor},
		{name: "a zone is taken back", items: []deployment.Item{evacuation("a", 4), takenBack("a", 5)}, want: []string{"a"}},
		{name: "and is warm after the time", items: []deployment.Item{evacuation("a", 4), takenBack("a", 5)}, wait: coldFor},
		{name: "only its end is heard of", items: []deployment.Item{takenBack("a", 5)}, want: []string{"a"}},
		{name: "an entry written before says nothing", items: []deployment.Item{takenBack("a", 5), entry("a", 4, "")}, want: []string{"a"}},
		{name: "one written after says that it is warm", items: []deployment.Item{takenBack("a", 5), entry("a", 6, "")}},
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
