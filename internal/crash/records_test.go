package crash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/crash"
)

// request is the ID of a whole request.
const request = 7

var began = time.Unix(1000, 0)

func newRecords() *crash.Records {
	return crash.NewRecords(crash.RecordsConfig{Draw: func() float64 { return 0 }})
}

// isolation returns for how long the request is isolated.
func isolation(r *crash.Records, now time.Time) time.Duration {
	return r.Isolated(now, crash.Feature{ID: request}).Left
}

func report(endpoint uint32) crash.Report {
	return crash.Report{Feature: crash.Feature{ID: request}, Endpoint: endpoint}
}

// A request is isolated after three crashes, and no longer once it was served.
func ExampleRecords() {
	r := newRecords()
	for endpoint := range uint32(3) {
		r.Add(began, report(endpoint), true)
	}
	fmt.Println(isolation(r, began))
	r.Served(began, began, request)
	fmt.Println(isolation(r, began))
	// Output:
	// 2m0s
	// 0s
}

func TestIsolation(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []crash.Report
		want    time.Duration
	}{
		{name: "two crashes do not isolate", reports: []crash.Report{report(1), report(2)}},
		{name: "one endpoint counts once", reports: []crash.Report{report(1), report(2), report(2), report(1)}},
		{name: "three isolate", reports: []crash.Report{report(1), report(2), report(3)}, want: 2 * time.Minute},
		{name: "each further crash doubles the time", reports: []crash.Report{report(1), report(2), report(3), report(4), report(5)}, want: 8 * time.Minute},
		{
			name:    "the isolation begins when the last endpoint ended, not when that became known",
			reports: []crash.Report{{Feature: crash.Feature{ID: request}, Endpoint: 1, Age: time.Minute}, {Feature: crash.Feature{ID: request}, Endpoint: 2, Age: 30 * time.Second}, {Feature: crash.Feature{ID: request}, Endpoint: 3, Age: 40 * time.Second}},
			want:    90 * time.Second,
		},
		{
			name:    "an old report does not count",
			reports: []crash.Report{report(1), report(2), {Feature: crash.Feature{ID: request}, Endpoint: 3, Age: time.Hour}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRecords()
			for _, k := range c.reports {
				r.Add(began, k, false)
			}
			require.Equal(t, c.want, isolation(r, began))
		})
	}
}

// Guards against nodes that judge a request differently because reports arrived in
// another order, or twice.
func TestReportsMayArriveInAnyOrder(t *testing.T) {
	type message struct {
		crash.Report
		cleared bool
	}
	var all []message
	for endpoint := range uint32(6) {
		all = append(all, message{Report: report(endpoint)})
		if endpoint%2 == 0 {
			all = append(all, message{Report: report(endpoint), cleared: true})
		}
	}
	random := rand.New(rand.NewPCG(1, 0))
	for range 100 {
		r := newRecords()
		list := append(all, all...)
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, m := range list {
			if m.cleared {
				r.AddCleared(began, m.Report)
				continue
			}
			r.Add(began, m.Report, false)
		}
		require.Equal(t, 3, r.Crashes(request))
		require.Equal(t, 2*time.Minute, isolation(r, began))
	}
}

// Guards against a request that crashes endpoints and is forgotten because thousands
// of others shared an endpoint that ended.
func TestFullTableKeepsSuspectedRequests(t *testing.T) {
	r := newRecords()
	for endpoint := range uint32(3) {
		r.Add(began, report(endpoint), true)
	}
	for i := range uint64(20_000) {
		r.Add(began.Add(time.Second), crash.Report{Feature: crash.Feature{ID: 100 + i}, Endpoint: uint32(i % 3)}, false)
	}
	require.Equal(t, 3, r.Crashes(request))
	require.Positive(t, isolation(r, began))
}

// Guards against a request that callers keep sending and that is forgotten while it is
// isolated, or never.
func TestRecordsExpire(t *testing.T) {
	r := newRecords()
	for endpoint := range uint32(3) {
		r.Add(began, report(endpoint), true)
	}
	lapsed := began.Add(2*time.Minute + time.Second)
	r.Expire(lapsed)
	require.Zero(t, isolation(r, lapsed))
	r.Add(lapsed, report(4), true)
	require.Equal(t, 4*time.Minute, isolation(r, lapsed), "the next crash isolates it again")
	r.Expire(lapsed.Add(time.Hour))
	require.Zero(t, r.Crashes(request))
}

// Guards against nodes that revive a record in each other for ever.
func TestPassedOnReportsKeepTheirAge(t *testing.T) {
	one, two := newRecords(), newRecords()
	for endpoint := range uint32(3) {
		one.Add(began, report(endpoint), true)
	}
	now := began
	for range 60 {
		now = now.Add(30 * time.Second)
		for _, k := range one.Known(now).Crashes {
			two.Add(now, k, false)
		}
		one.Expire(now)
		two.Expire(now)
		one, two = two, one
	}
	require.Empty(t, one.Known(now).Crashes)
	require.Empty(t, two.Known(now).Crashes)
}

// Guards against heartbeats that are filled with requests that merely shared an
// endpoint that ended.
func TestRecentReportsOfSuspectedRequestsComeFirst(t *testing.T) {
	r := newRecords()
	for endpoint := range uint32(2) {
		r.Add(began, report(endpoint), true)
	}
	for i := range uint64(200) {
		r.Add(began.Add(time.Millisecond), crash.Report{Feature: crash.Feature{ID: 100 + i}, Endpoint: 1}, true)
		r.Add(began.Add(time.Millisecond), crash.Report{Feature: crash.Feature{ID: 1000 + i}, Endpoint: 1}, false)
	}
	recent := r.Recent(began.Add(time.Second), began.Add(time.Second)).Crashes
	require.Len(t, recent, 32)
	require.EqualValues(t, request, recent[0].ID)
	require.EqualValues(t, request, recent[1].ID)
	for _, k := range recent {
		require.Less(t, k.ID, uint64(1000), "one crash is reported by the nodes that saw it")
	}
	require.Empty(t, r.Recent(began.Add(time.Minute), began.Add(time.Minute)).Crashes)
	require.NotEmpty(t, r.Recent(began.Add(time.Minute), began).Crashes, "as far as no broadcast has carried them")
}

// Guards against refusals of a request that a node counted crashes for while
// endpoints refused only its own connections.
func TestCrashesOfListedEndpointsAreCleared(t *testing.T) {
	r := newRecords()
	for endpoint := range uint32(4) {
		r.Add(began, report(endpoint), true)
	}
	listed := func(endpoint uint32) bool { return endpoint < 2 }
	r.Verify(began.Add(time.Second), listed)
	require.Equal(t, 4, r.Crashes(request), "the list still has endpoints that ended just now")
	later := began.Add(10 * time.Second)
	require.True(t, r.Unverified(later))
	r.Verify(later, listed)
	require.Equal(t, 2, r.Crashes(request))
	require.False(t, r.Unverified(later))
	r.Add(later, report(1), false)
	require.Equal(t, 2, r.Crashes(request), "a repeated report does not count again")
}

// Guards against a request that is isolated by repeated reports of crashes that were
// cleared, once these have made room for others.
func TestRepeatedReportOfForgottenCrashDoesNotCount(t *testing.T) {
	const endpoints = 40
	r := newRecords()
	for endpoint := range uint32(endpoints) {
		r.Add(began, report(endpoint), false)
		r.Served(began, began, request)
	}
	later := began.Add(2 * time.Second)
	for endpoint := range uint32(endpoints) {
		r.Add(later, report(endpoint), false)
	}
	require.Zero(t, r.Crashes(request))
	require.Zero(t, isolation(r, later))
}
