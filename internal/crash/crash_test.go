package crash_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

type (
	// fakeProber refuses connections to some addresses.
	fakeProber struct {
		mu      sync.Mutex
		refuses map[netip.AddrPort]bool
		asked   atomic.Int64
		// wait, if it isn't nil, is closed when questions may be answered.
		wait chan struct{}
	}

	fakeDeployment struct {
		snapshot *deployment.Snapshot
		age      time.Duration
		lapsing  time.Duration
	}
)

// Probe implements crash.Prober.
func (p *fakeProber) Probe(_ context.Context, addr netip.AddrPort) http1.ProbeResult {
	p.asked.Add(1)
	if p.wait != nil {
		<-p.wait
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuses[addr] {
		return http1.Refused
	}
	return http1.Accepted
}

// Snapshot implements crash.Deployment.
func (d *fakeDeployment) Snapshot() *deployment.Snapshot { return d.snapshot }

// Age implements crash.Deployment.
func (d *fakeDeployment) Age() (time.Duration, bool) { return d.age, true }

// Lapsing implements crash.Deployment.
func (d *fakeDeployment) Lapsing() time.Duration { return d.lapsing }

// whole returns the features of a request without a prompt.
func whole(id uint64) []crash.Feature { return []crash.Feature{{ID: id}} }

func endpoint(n int) *deployment.Endpoint {
	return &deployment.Endpoint{
		ID: string(rune('a' + n)), Service: "s", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
	}
}

// newTracker returns a tracker before eight endpoints, of which the first ones refuse
// connections.
func newTracker(refusing int) (*crash.Tracker, *fakeProber, *fakeDeployment) {
	p := &fakeProber{refuses: map[netip.AddrPort]bool{}}
	d := &fakeDeployment{snapshot: &deployment.Snapshot{Endpoints: map[string][]*deployment.Endpoint{}}}
	for i := range 8 {
		e := endpoint(i)
		d.snapshot.Endpoints["s"] = append(d.snapshot.Endpoints["s"], e)
		p.refuses[e.Addr] = i < refusing
	}
	return crash.NewTracker(crash.Config{Prober: p, Deployment: d}), p, d
}

// replace lets another start of an endpoint appear at its address.
func (d *fakeDeployment) replace(n int) {
	next := *d.snapshot.Endpoints["s"][n]
	next.Born = time.UnixMilli(1)
	d.snapshot.Endpoints["s"][n] = &next
}

func TestBrokenRunsCountIfTheEndpointHasEnded(t *testing.T) {
	tracker, _, _ := newTracker(3)
	for i := range 8 {
		require.Equal(t, i < 3, tracker.Broke(whole(request), endpoint(i)))
		require.Equal(t, i >= 2, tracker.Isolated(whole(request)).Left > 0)
	}
	list := tracker.List(time.Now())
	require.Len(t, list, 1)
	require.Equal(t, "7", list[0].Print())
	require.Equal(t, 3, list[0].Crashes)
	tracker.Served(whole(request), time.Now())
	require.Zero(t, tracker.Isolated(whole(request)).Left)
}

// Guards against a request that is isolated although its endpoints run: a node that is
// cut off from a service is refused connections by all of them.
func TestRefusedNodeCountsNoCrash(t *testing.T) {
	tracker, _, _ := newTracker(8)
	for i := range 4 {
		require.False(t, tracker.Broke(whole(request), endpoint(i)))
	}
	require.Zero(t, tracker.Isolated(whole(request)).Left)
	require.Empty(t, tracker.Recent(time.Now(), time.Now()).Crashes)
}

// Guards against a request that ends all endpoints of a service and is not isolated, as
// none of them is left that accepts connections.
func TestRequestThatEndsAWholeServiceIsIsolated(t *testing.T) {
	tracker, _, d := newTracker(4)
	d.snapshot.Endpoints["s"] = d.snapshot.Endpoints["s"][:4]
	for i := range 4 {
		tracker.Broke(whole(request), endpoint(i))
	}
	require.Positive(t, tracker.Isolated(whole(request)).Left)
	require.Len(t, tracker.Recent(time.Now(), time.Now()).Crashes, 4)
}

// Guards against a connection for each run that an endpoint's end breaks.
func TestEndpointIsAskedOnceForAllItsRuns(t *testing.T) {
	const runs = 50
	tracker, p, _ := newTracker(1)
	p.wait = make(chan struct{})
	var running sync.WaitGroup
	for i := range uint64(runs) {
		running.Go(func() { tracker.Broke(whole(i), endpoint(0)) })
	}
	require.Eventually(t, func() bool { return p.asked.Load() == 1 }, 5*time.Second, time.Millisecond)
	close(p.wait)
	running.Wait()
	require.Less(t, p.asked.Load(), int64(runs))
	require.Len(t, tracker.Recent(time.Now(), time.Now()).Crashes, 32, "all of the runs count")
}

// Guards against connections for runs that break after their endpoint was found to have
// ended.
func TestEndpointThatHasEndedIsNotAskedAgain(t *testing.T) {
	tracker, p, _ := newTracker(1)
	require.True(t, tracker.Broke(whole(1), endpoint(0)))
	asked := p.asked.Load()
	require.True(t, tracker.Broke(whole(2), endpoint(0)))
	tracker.Abandoned(whole(3), endpoint(0))
	require.Equal(t, asked, p.asked.Load())
	require.Len(t, tracker.Recent(time.Now(), time.Now()).Crashes, 3)
	tracker.Reached(endpoint(0), time.Now())
	tracker.Broke(whole(4), endpoint(0))
	require.Greater(t, p.asked.Load(), asked, "another request was answered since")
}

// Guards against a request that ends endpoints which are not asked in time, as they
// have started again, fell silent or were left by the caller.
func TestRunsCountOnceTheirEndpointTurnsOutToHaveEnded(t *testing.T) {
	broke := func(t *crash.Tracker, e *deployment.Endpoint) { t.Broke(whole(request), e) }
	silent := func(t *crash.Tracker, e *deployment.Endpoint) { t.Silent(whole(request), e) }
	abandoned := func(t *crash.Tracker, e *deployment.Endpoint) { t.Abandoned(whole(request), e) }
	replaced := func(_ *crash.Tracker, d *fakeDeployment, n int) { d.replace(n) }
	misdirected := func(t *crash.Tracker, _ *fakeDeployment, n int) { t.Ended(endpoint(n).Start()) }
	for _, c := range []struct {
		name  string
		ends  func(t *crash.Tracker, e *deployment.Endpoint)
		proof func(t *crash.Tracker, d *fakeDeployment, n int)
	}{
		{name: "broken, started again", ends: broke, proof: replaced},
		{name: "broken, another process responds", ends: broke, proof: misdirected},
		{name: "silent, started again", ends: silent, proof: replaced},
		{name: "silent, another process responds", ends: silent, proof: misdirected},
		{name: "abandoned, another process responds", ends: abandoned, proof: misdirected},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker, _, d := newTracker(0)
			for i := range 3 {
				c.ends(tracker, endpoint(i))
			}
			require.Zero(t, tracker.Isolated(whole(request)).Left)
			for i := range 3 {
				c.proof(tracker, d, i)
			}
			tracker.Recent(time.Now(), time.Now())
			require.Positive(t, tracker.Isolated(whole(request)).Left)
		})
	}
}

// Guards against a request that is sent to the next start of an endpoint before that
// start has proven the end of the one before.
func TestNextStartCountsBeforeItsFirstRequest(t *testing.T) {
	tracker, _, d := newTracker(0)
	for i := range 3 {
		tracker.Broke(whole(request), endpoint(i))
	}
	tracker.Recent(time.Now(), time.Now())
	next := &deployment.Snapshot{Endpoints: map[string][]*deployment.Endpoint{"s": slices.Clone(d.snapshot.Endpoints["s"])}}
	d.snapshot = next
	for i := range 3 {
		d.replace(i)
	}
	require.Positive(t, tracker.Isolated(whole(request)).Left)
}

// Guards against crashes that are cleared because the platform's list is old.
func TestOldListClearsNothing(t *testing.T) {
	for _, c := range []struct {
		name         string
		age, lapsing time.Duration
		cleared      bool
	}{
		{name: "fresh", cleared: true},
		{name: "old", age: time.Minute},
		{name: "after an outage", lapsing: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker, _, d := newTracker(3)
			d.age, d.lapsing = c.age, c.lapsing
			for i := range 3 {
				tracker.Broke(whole(request), endpoint(i))
			}
			tracker.Recent(time.Now().Add(11*time.Second), time.Now())
			require.Equal(t, c.cleared, tracker.Isolated(whole(request)).Left == 0)
		})
	}
}

// Nodes that report to each other isolate a request together, and clear it together.
func TestNewsPasses(t *testing.T) {
	one, _, _ := newTracker(3)
	two, _, _ := newTracker(0)
	now := time.Now()
	for i := range 3 {
		one.Broke(whole(request), endpoint(i))
	}
	two.Add(now, one.Recent(now, now), "one")
	require.Positive(t, two.Isolated(whole(request)).Left)
	one.Served(whole(request), time.Now())
	two.Add(now, one.Recent(time.Now(), now), "one")
	require.Zero(t, two.Isolated(whole(request)).Left)
}
