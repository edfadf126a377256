package crash_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

type (
	// paths are what a node finds at each address: endpoints accept connections unless
	// they have ended or are silent.
	paths struct {
		mu            sync.Mutex
		ended, silent map[netip.AddrPort]bool
	}

	// peers are nodes before one service, and report all that they learn to each other.
	peers struct {
		paths
		deployment *fakeDeployment
		trackers   []*crash.Tracker
	}
)

// Probe implements crash.Prober.
func (p *paths) Probe(ctx context.Context, addr netip.AddrPort) http1.ProbeResult {
	p.mu.Lock()
	silent, ended := p.silent[addr], p.ended[addr]
	p.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return http1.Unanswered
	case ended:
		return http1.Refused
	}
	return http1.Accepted
}

func newPeers(nodes, endpoints, silent int) *peers {
	p := &peers{
		paths:      paths{ended: map[netip.AddrPort]bool{}, silent: map[netip.AddrPort]bool{}},
		deployment: &fakeDeployment{snapshot: &deployment.Snapshot{Endpoints: map[string][]*deployment.Endpoint{}}},
	}
	for i := range endpoints {
		e := endpoint(i)
		p.deployment.snapshot.Endpoints["s"] = append(p.deployment.snapshot.Endpoints["s"], e)
		p.silent[e.Addr] = i >= endpoints-silent
	}
	for range nodes {
		p.trackers = append(p.trackers, crash.NewTracker(crash.Config{Prober: &p.paths, Deployment: p.deployment}))
	}
	return p
}

// end ends endpoints at the same time.
func (p *peers) end(list ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range list {
		p.ended[endpoint(n).Addr] = true
	}
}

// exchange lets all nodes learn what the others know.
func (p *peers) exchange() {
	for range 2 {
		for i, from := range p.trackers {
			news := from.Recent(time.Now(), time.Time{})
			for j, to := range p.trackers {
				if i != j {
					to.Add(time.Now(), news, "peer")
				}
			}
		}
	}
}

// isolated reports at how many nodes a request may not be sent.
func (p *peers) isolated(id uint64) (n int) {
	for _, t := range p.trackers {
		if t.Isolated(whole(id)).Left > 0 {
			n++
		}
	}
	return n
}

// Guards against a request that ends endpoints whose ends no single node can prove.
func TestEndsThatNoNodeProvesByItself(t *testing.T) {
	for _, c := range []struct {
		name                     string
		nodes, endpoints, silent int
		do                       func(p *peers)
	}{
		{
			name: "all of a service, runs at one node", nodes: 1, endpoints: 4,
			do: func(p *peers) {
				p.end(0, 1, 2, 3)
				for i := range 4 {
					p.trackers[0].Broke(whole(request), endpoint(i))
				}
			},
		},
		{
			name: "all of a service, runs at two nodes", nodes: 2, endpoints: 4,
			do: func(p *peers) {
				p.end(0, 1, 2, 3)
				for i := range 4 {
					p.trackers[i/2].Broke(whole(request), endpoint(i))
				}
			},
		},
		{
			name: "all of a service, one run at each of four nodes", nodes: 5, endpoints: 4,
			do: func(p *peers) {
				p.end(0, 1, 2, 3)
				for i := range 4 {
					p.trackers[i].Broke(whole(request), endpoint(i))
				}
			},
		},
		{
			name: "most of a service silent, one endpoint accepts", nodes: 1, endpoints: 12, silent: 8,
			do: func(p *peers) {
				for i := range 3 {
					p.end(i)
					p.trackers[0].Broke(whole(request), endpoint(i))
				}
			},
		},
		{
			name: "most of a service silent, all others end", nodes: 2, endpoints: 12, silent: 8,
			do: func(p *peers) {
				for i := range 4 {
					p.end(i)
					p.trackers[i%2].Broke(whole(request), endpoint(i))
				}
			},
		},
		{
			name: "answered five seconds before, all but one end at once", nodes: 2, endpoints: 5,
			do: func(p *peers) {
				p.trackers[0].Served(whole(request), time.Now())
				time.Sleep(5 * time.Second)
				p.end(0, 1, 2, 3)
				for i := range 4 {
					p.trackers[0].Broke(whole(request), endpoint(i))
				}
				p.exchange()
				time.Sleep(2500 * time.Millisecond)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeers(c.nodes, c.endpoints, c.silent)
				c.do(p)
				p.exchange()
				time.Sleep(time.Second)
				require.Equal(t, c.nodes, p.isolated(request))
			})
		})
	}
}

// Guards against runs that were given up and count nowhere, although their endpoint has
// ended just then.
func TestRunsThatWereGivenUpCountIfTheirEndpointRefuses(t *testing.T) {
	abandoned := func(t *crash.Tracker, e *deployment.Endpoint) { t.Abandoned(whole(request), e) }
	silent := func(t *crash.Tracker, e *deployment.Endpoint) { t.Silent(whole(request), e) }
	for _, c := range []struct {
		name string
		give func(t *crash.Tracker, e *deployment.Endpoint)
		// refused is how long after that the endpoint refuses a connection, and here
		// says that it is this node's.
		refused time.Duration
		here    bool
		counts  bool
	}{
		{name: "caller left", give: abandoned, refused: 200 * time.Millisecond, here: true, counts: true},
		{name: "caller left, another node is refused", give: abandoned, refused: 200 * time.Millisecond, counts: true},
		{name: "caller left, another node is refused, reported late", give: abandoned, refused: 1200 * time.Millisecond, counts: true},
		{name: "caller left long before", give: abandoned, refused: 700 * time.Millisecond, here: true},
		{name: "caller left long before, another node is refused", give: abandoned, refused: 2 * time.Second},
		{name: "silent", give: silent, refused: 3 * time.Second, here: true, counts: true},
		{name: "refused before", give: abandoned, refused: -100 * time.Millisecond, here: true, counts: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeers(1, 4, 0)
				tracker, e := p.trackers[0], endpoint(0)
				refuse := func() {
					if c.here {
						tracker.Refused(e)
						return
					}
					tracker.Add(time.Now(), crash.News{Unproven: []crash.Report{{Endpoint: e.Start().Key()}}}, "peer")
				}
				if c.refused < 0 {
					refuse()
					time.Sleep(-c.refused)
					c.give(tracker, e)
				} else {
					c.give(tracker, e)
					time.Sleep(c.refused)
					refuse()
				}
				news := tracker.Recent(time.Now(), time.Now()).Unproven
				require.Equal(t, c.counts, slices.ContainsFunc(news, func(k crash.Report) bool { return k.ID == request }))
			})
		})
	}
}

// unprovenNews reports ends of some endpoints that are not proven, but which two nodes
// are refused connections by.
func unprovenNews(endpoints int) crash.News {
	var news crash.News
	for i := range endpoints {
		key := endpoint(i).Start().Key()
		news.Unproven = append(
			news.Unproven,
			crash.Report{Feature: crash.Feature{ID: request}, Endpoint: key},
			crash.Report{Feature: crash.Feature{Scope: 1}, Endpoint: key},
		)
	}
	return news
}

// Guards against a request that is held at all nodes, as one that is cut off from its
// service is refused by all endpoints.
func TestNodeThatReachesAnEndpointReleasesWhatIsHeld(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent is when the request was sent that the endpoint answers, from the report on.
		sent     time.Duration
		released bool
	}{
		{name: "answer to a later request", sent: time.Second, released: true},
		{name: "answer to an earlier request", sent: -time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeers(3, 4, 0)
				reported := time.Now()
				for _, tracker := range p.trackers {
					tracker.Add(time.Now(), unprovenNews(3), "cut")
				}
				time.Sleep(time.Second)
				require.Equal(t, 3, p.isolated(request))
				time.Sleep(2 * time.Second)
				for i := range 3 {
					p.trackers[0].Reached(endpoint(i), reported.Add(c.sent))
				}
				for _, other := range p.trackers[1:] {
					other.Add(time.Now(), p.trackers[0].Recent(time.Now(), time.Now()), "reaches")
				}
				want := 3
				if c.released {
					want = 0
				}
				require.Equal(t, want, p.isolated(request))
				// Reports that come late do not hold it again.
				p.trackers[1].Add(time.Now(), unprovenNews(3), "cut")
				require.Equal(t, want, p.isolated(request))
			})
		})
	}
}

// Guards against a request that is held for good by ends that are never proven.
func TestHeldRequestIsReleasedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeers(1, 4, 0)
		p.trackers[0].Add(time.Now(), unprovenNews(3), "cut")
		time.Sleep(time.Second)
		require.True(t, p.trackers[0].Isolated(whole(request)).Held)
		time.Sleep(20 * time.Second)
		require.Zero(t, p.isolated(request))
	})
}

// Guards against the proof of an end that does not count, as the end was reported
// before.
func TestProofOfAReportedEndCounts(t *testing.T) {
	p := newPeers(1, 4, 0)
	p.trackers[0].Add(time.Now(), unprovenNews(3), "peer")
	p.trackers[0].Add(time.Now(), crash.News{Crashes: unprovenNews(3).Unproven}, "peer")
	i := p.trackers[0].Isolated(whole(request))
	require.False(t, i.Held)
	require.Equal(t, 3, i.Crashes)
	require.Greater(t, i.Left, time.Minute)
}

// Guards against ends that do not count because other nodes repeat that they were
// connected to the endpoints shortly before.
func TestRepeatedReportOfAConnectionHidesNoLaterEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeers(1, 4, 0)
		var connected crash.News
		for i := range 4 {
			connected.Cleared = append(connected.Cleared, crash.Report{Endpoint: endpoint(i).Start().Key()})
		}
		p.trackers[0].Add(time.Now(), unprovenNews(3), "cut")
		time.Sleep(time.Second)
		p.trackers[0].Add(time.Now(), connected, "reaches")
		require.Zero(t, p.isolated(request))
		time.Sleep(time.Second)
		p.end(0, 1, 2, 3)
		for i := range 3 {
			p.trackers[0].Broke(whole(request), endpoint(i))
		}
		p.trackers[0].Add(time.Now(), unprovenNews(3), "peer")
		p.trackers[0].Add(time.Now(), connected, "reaches")
		time.Sleep(time.Second)
		require.Equal(t, 1, p.isolated(request))
	})
}
