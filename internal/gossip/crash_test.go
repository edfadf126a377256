package gossip_test

import (
	"sync"
	"testing"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/crash"
)

// fakeCrashes are the crashes that a node knows.
type fakeCrashes struct {
	mu      sync.Mutex
	records *crash.Records
}

func newFakeCrashes() *fakeCrashes {
	return &fakeCrashes{records: crash.NewRecords(crash.RecordsConfig{Draw: func() float64 { return 0 }})}
}

// Recent implements gossip.Crashes.
func (c *fakeCrashes) Recent(now, since time.Time) crash.News {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Recent(now, since)
}

// Known implements gossip.Crashes.
func (c *fakeCrashes) Known(now time.Time) crash.News {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Known(now)
}

// Add implements gossip.Crashes.
func (c *fakeCrashes) Add(now time.Time, n crash.News, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range n.Cleared {
		c.records.AddCleared(now, k)
	}
	for _, k := range n.Crashes {
		c.records.Add(now, k, false)
	}
	for _, k := range n.Unproven {
		k.Unproven = true
		c.records.Add(now, k, false)
		c.records.Confirm(now, k.Endpoint)
	}
}

// saw records a crash that the node itself saw.
func (c *fakeCrashes) saw(fingerprint uint64, endpoint uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.Add(time.Now(), crash.Report{Feature: crash.Feature{ID: fingerprint}, Endpoint: endpoint}, true)
}

func (c *fakeCrashes) served(fingerprint uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.Served(time.Now(), time.Now(), fingerprint)
}

// of returns how many crashes of a request the node knows.
func (c *fakeCrashes) of(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records.Crashes(fingerprint)
}

// Guards against a request that crashes endpoints whose reports wait behind those of
// innocent requests that shared an endpoint with it.
func TestCrashesOfSuspectedRequestPropagateBeforeOthers(t *testing.T) {
	const innocent, suspect = 300, 1000
	f := newFleet(t)
	one, two := f.start(1, &fakeReplica{}), f.start(2, &fakeReplica{})
	f.eventually(func() bool { return len(one.gossip.View().Alive) == 1 }, "the nodes know each other")
	one.crashes.mu.Lock()
	now := time.Now()
	for i := range uint64(innocent) {
		one.crashes.records.Add(now, crash.Report{Feature: crash.Feature{ID: i}, Endpoint: uint32(i % 3)}, true)
		if i%(innocent/3) == 1 {
			one.crashes.records.Add(now, crash.Report{Feature: crash.Feature{ID: suspect}, Endpoint: uint32(i)}, true)
		}
	}
	one.crashes.mu.Unlock()
	f.eventually(func() bool { return two.crashes.of(suspect) == 3 }, "the crashes of the suspected request")
}

// Guards against a request that crashes endpoints at each node that has just started,
// as it has missed the reports.
func TestStartingNodeLearnsKnownCrashes(t *testing.T) {
	f := newFleet(t)
	one := f.start(1, &fakeReplica{})
	one.crashes.mu.Lock()
	for endpoint := range uint32(3) {
		one.crashes.records.Add(time.Now().Add(-time.Minute), crash.Report{Feature: crash.Feature{ID: 9}, Endpoint: endpoint}, true)
	}
	one.crashes.mu.Unlock()
	two := f.start(2, &fakeReplica{})
	f.eventually(func() bool { return two.crashes.of(9) == 3 }, "the crashes from before its start")
}

// Guards against ends that are not proven and that other nodes do not learn of, or take
// for proven ones.
func TestUnprovenEndsPropagate(t *testing.T) {
	f := newFleet(t)
	one, two := f.start(1, &fakeReplica{}), f.start(2, &fakeReplica{})
	f.eventually(func() bool { return len(one.gossip.View().Alive) == 1 }, "the nodes know each other")
	one.crashes.mu.Lock()
	for endpoint := range uint32(3) {
		one.crashes.records.Add(time.Now(), crash.Report{Feature: crash.Feature{ID: 9}, Endpoint: endpoint, Unproven: true}, true)
	}
	one.crashes.mu.Unlock()
	f.eventually(func() bool {
		two.crashes.mu.Lock()
		defer two.crashes.mu.Unlock()
		return two.crashes.records.Isolated(time.Now(), crash.Feature{ID: 9}).Held
	}, "the request is held")
	if n := two.crashes.of(9); n != 0 {
		t.Errorf("%d ends count as proven", n)
	}
}
