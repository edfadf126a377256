package permit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

var start = time.Unix(1000, 0)

// twoNodes returns a view of one service at nodes n1 and n2, whose endpoint w1 has
// the given owner and load.
func twoNodes(self, owner string, load int) *kernel.View {
	e1 := kernel.Endpoint{Name: "w1", Service: "s", Owner: owner, Load: kernel.Load{Requests: load}}
	e2 := kernel.Endpoint{Name: "w2", Service: "s", Owner: "n2", Load: kernel.Load{Requests: load}}
	return &kernel.View{
		At:    start,
		Self:  kernel.Node{Name: self},
		Nodes: []kernel.Node{{Name: "n1", Incarnation: 1}, {Name: "n2", Incarnation: 2}},
		Pools: map[string]*kernel.Pool{"s": {
			Service: manifest.Service{Name: "s"}, Bound: 1.5, Live: 2,
			Endpoints: []kernel.Endpoint{e1, e2}, Total: e1.Load.Add(e2.Load),
		}},
	}
}

func ask(id uint64) permit.Request {
	return permit.Request{ID: id, Endpoint: "w1", Node: "n1", Tokens: 10, Lease: time.Minute}
}

func loadOf(g *permit.Gate, endpoint string) kernel.Load {
	for _, l := range g.Loads() {
		if l.Endpoint == endpoint {
			return l.Load
		}
	}
	return kernel.Load{}
}

// Guards against engines at twice the bound after a node joined or died, because a
// new owner does not know the permits that the previous one granted.
func TestPermitsAreDeclaredToNewOwner(t *testing.T) {
	h := permit.NewHolder()
	before := twoNodes("n1", "n1", 0)
	h.Add(start, before, "n1", ask(1))
	require.Empty(t, h.Due(start, before))

	after := twoNodes("n1", "n2", 0)
	sends := h.Due(start, after)
	require.Len(t, sends, 1)
	require.Equal(t, "n2", sends[0].Owner)
	require.Equal(t, uint64(1), sends[0].Batch.Declared[0].ID)

	v := twoNodes("n2", "n2", 0)
	owner := permit.New(permit.Config{View: func() *kernel.View { return v }})
	owner.Apply(start, sends[0].Batch)
	owner.Apply(start, sends[0].Batch)
	require.Equal(t, 1, loadOf(owner, "w1").Requests)

	require.Equal(t, "n2", h.Release(start, 1))
	owner.Apply(start, permit.Batch{Releases: h.TakeReleases("n2")})
	require.Zero(t, loadOf(owner, "w1").Requests)
}

// Guards against an endpoint that is flooded in the second in which its owner
// changes, because the new owner considers it idle.
func TestNewOwnerKeepsLastReportedLoad(t *testing.T) {
	v := twoNodes("n1", "n2", 7)
	g := permit.New(permit.Config{View: func() *kernel.View { return v }})
	require.Empty(t, g.Loads())
	v = twoNodes("n1", "n1", 7)
	require.Equal(t, 7, loadOf(g, "w1").Requests)
	v = twoNodes("n1", "n1", 7)
	v.At = start.Add(time.Minute)
	require.Zero(t, loadOf(g, "w1").Requests)
}

// Guards against engines filled beyond the bound for seconds after a node died,
// because its permits keep the mean load too high.
func TestUnreachableNodeIsNotInReportedLoad(t *testing.T) {
	v := twoNodes("n2", "n2", 0)
	g := permit.New(permit.Config{View: func() *kernel.View { return v }})
	require.Equal(t, permit.Granted, g.Admit(start, ask(1)))
	g.Expire(start)
	require.Equal(t, 1, loadOf(g, "w1").Requests)
	v = twoNodes("n2", "n2", 0)
	v.Nodes[0].State = kernel.Suspect
	g.Expire(start)
	require.Zero(t, loadOf(g, "w1").Requests)
}

// Guards against endpoints that carry far more tokens than the bound allows,
// because requests turn out larger than their permits say.
func TestEndpointReportCorrectsLoad(t *testing.T) {
	v := twoNodes("n1", "n1", 0)
	g := permit.New(permit.Config{View: func() *kernel.View { return v }})
	for i := range 3 {
		require.Equal(t, permit.Granted, g.Admit(start, ask(uint64(i)+1)))
	}
	require.Equal(t, 30, loadOf(g, "w1").Tokens)
	later := start.Add(1100 * time.Millisecond)
	g.RecordReport(later, "w1", kernel.Load{Requests: 3, Tokens: 1030})
	v = twoNodes("n1", "n1", 0)
	v.At = later
	require.Equal(t, kernel.Load{Requests: 3, Tokens: 530}, loadOf(g, "w1"))
}

func TestBoundRule(t *testing.T) {
	pool := func(requests, tokens int) *kernel.Pool {
		return &kernel.Pool{Bound: 1.25, Live: 10, Total: kernel.Load{Requests: requests, Tokens: tokens}}
	}
	cases := map[string]struct {
		pool    *kernel.Pool
		load    kernel.Load
		tokens  int
		largest int
		want    bool
	}{
		"idle pool":                   {pool(0, 0), kernel.Load{}, 100, 0, true},
		"small mean, room":            {pool(10, 1000), kernel.Load{Requests: 4, Tokens: 400}, 100, 100, true},
		"small mean, full":            {pool(10, 1000), kernel.Load{Requests: 5, Tokens: 400}, 100, 100, false},
		"above the margin":            {pool(200, 0), kernel.Load{Requests: 23}, 0, 0, false},
		"below the mean":              {pool(200, 0), kernel.Load{Requests: 20}, 0, 0, true},
		"tokens above the bound":      {pool(200, 20000), kernel.Load{Requests: 10, Tokens: 4000}, 100, 100, false},
		"tokens in small pieces only": {pool(200, 20000), kernel.Load{Requests: 10, Tokens: 4000}, 100, 1000, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, permit.NewBoundRule().Fits(c.pool, c.load, c.tokens, c.largest))
		})
	}
}

// Guards against requests that wait until their deadlines although engines have
// room, because the margin denies every request in an evenly loaded pool.
func TestEvenlyLoadedPoolCanGrow(t *testing.T) {
	v := twoNodes("n1", "n1", 7)
	v.Pools["s"].Endpoints[1].Load = kernel.Load{Requests: 6, Tokens: 60}
	v.Pools["s"].Total = kernel.Load{Requests: 13, Tokens: 60}
	v.Pools["s"].Bound = 1.25
	g := permit.New(permit.Config{View: func() *kernel.View { return v }})
	for i := range 7 {
		g.Declare(start, ask(uint64(i)+1))
	}
	next := ask(100)
	require.Equal(t, permit.Full, g.Admit(start, next))
	next.Retry = true
	require.Equal(t, permit.Granted, g.Admit(start, next))
}
