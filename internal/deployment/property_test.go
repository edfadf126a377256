package deployment_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// The route found is of the requested host, and no other of its routes has a longer
// prefix of the path.
func TestRouteIsTheLongestPrefix(t *testing.T) {
	path := rapid.StringMatching(`/([ab]/){0,4}`)
	host := rapid.SampledFrom([]string{"h", "H", "other"})
	rapid.Check(t, func(t *rapid.T) {
		c := &deployment.Config{}
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			c.Routes = append(c.Routes, deployment.Route{Name: fmt.Sprint(i), Host: host.Draw(t, "host"), Prefix: path.Draw(t, "prefix")})
		}
		c.Index()
		at, asked := host.Draw(t, "asked host"), path.Draw(t, "asked")+"x"
		longest := -1
		for _, r := range c.Routes {
			if strings.EqualFold(r.Host, at) && strings.HasPrefix(asked, r.Prefix) {
				longest = max(longest, len(r.Prefix))
			}
		}
		found := c.Route(at, asked)
		if found == nil {
			require.Equal(t, -1, longest)
			return
		}
		require.True(t, strings.EqualFold(found.Host, at))
		require.True(t, strings.HasPrefix(asked, found.Prefix))
		require.Len(t, found.Prefix, longest)
	})
}

// A host's residency regions are those that all its restricted routes allow.
func TestHostResidencyRegions(t *testing.T) {
	c := &deployment.Config{Routes: []deployment.Route{
		{Host: "h", Prefix: "/a/"},
		{Host: "h", Prefix: "/b/", Regions: []string{"x", "y"}},
		{Host: "h", Prefix: "/c/", Regions: []string{"y", "z"}},
		{Host: "free", Prefix: "/"},
	}}
	c.Index()
	require.Equal(t, []string{"y"}, c.Regions("H"))
	require.Empty(t, c.Regions("free"))
	require.Empty(t, c.Regions("unknown"))
}

// Every draw picks a service of the split, and never one without weight if another
// has some.
func TestSplitPicksByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := deployment.Route{}
		total := 0
		for i := range rapid.IntRange(1, 5).Draw(t, "services") {
			w := rapid.IntRange(0, 10).Draw(t, "weight")
			total += w
			r.Split = append(r.Split, deployment.Share{Service: fmt.Sprint(i), Weight: w})
		}
		picked := r.Service(rapid.Float64Range(0, 0.999999).Draw(t, "draw"))
		i := slices.IndexFunc(r.Split, func(s deployment.Share) bool { return s.Service == picked })
		require.GreaterOrEqual(t, i, 0)
		if total > 0 {
			require.Positive(t, r.Split[i].Weight)
		}
	})
}

// Guards against two nodes that got the same updates in different orders and end in
// different states.
func TestUpdateOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var items []deployment.Item
		newest := map[string]deployment.Item{}
		for n := range rapid.IntRange(1, 20).Draw(r, "items") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "endpoint")
			item := entry(id, uint64(n+1), rapid.SampledFrom([]string{"", "draining"}).Draw(r, "state"))
			if rapid.Bool().Draw(r, "removed") {
				item = removal(id, uint64(n+1))
			}
			items = append(items, item)
			newest[id] = item
		}
		shuffled := slices.Concat(items, items)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "order"), 0))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		var want []string
		for id, item := range newest {
			if !item.Removed {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		require.Equal(r, want, known(t, shuffled))
	})
}

// known returns the endpoints that a state holds after one update per item.
func known(t *testing.T, items []deployment.Item) (list []string) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
		defer s.Close()
		for _, i := range items {
			s.Apply(t.Context(), deployment.Update{Items: []deployment.Item{i}, Position: at(i.Revision), Source: "peer"})
		}
		synctest.Wait()
		list = ids(s)
	})
	return list
}
