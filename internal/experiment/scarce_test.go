package experiment_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/experiment"
)

// scarceText is added to planText, whose last table is a fault.
const scarceText = `
[[request]]
name = "quote"
service = "plain"
kind = "idempotent"
share = 1.0
objective = "300ms"
timeout = "5s"
priority = 1
large = 0.5
large_times = 4.0
[[service]]
name = "small"
endpoints = 4
slots = 2
work = "5ms"
[service.uneven]
share = 0.25
times = 2.5
period = "600ms"
[[surge]]
account = 1
times = 10.0
at = "1s"
for = "1s"
`

func TestParseInvalidScarcePlans(t *testing.T) {
	cases := []struct {
		name    string
		old     string
		new     string
		wantErr string
	}{
		{name: "a priority beyond the ranks", old: "priority = 1", new: "priority = 3", wantErr: "must be from 0 to 2"},
		{name: "a negative priority", old: "priority = 1", new: "priority = -1", wantErr: "must be from 0 to 2"},
		{name: "only large requests", old: "large = 0.5", new: "large = 1.0", wantErr: "below 1"},
		{name: "a share of large ones that is no number", old: "large = 0.5", new: "large = nan", wantErr: "below 1"},
		{name: "large requests without their work", old: "large_times = 4.0", new: "", wantErr: "both large and large_times"},
		{name: "work without large requests", old: "large = 0.5", new: "", wantErr: "both large and large_times"},
		{name: "large requests that are small", old: "large_times = 4.0", new: "large_times = 0.5", wantErr: "must be above 1"},
		{name: "an infinite work", old: "large_times = 4.0", new: "large_times = inf", wantErr: "must be above 1"},
		{name: "no share of slow endpoints", old: "share = 0.25", new: "share = 0.0", wantErr: "uneven share 0"},
		{name: "more than all endpoints", old: "share = 0.25", new: "share = 1.5", wantErr: "uneven share 1.5"},
		{name: "a share below one endpoint", old: "share = 0.25", new: "share = 0.1", wantErr: "no whole endpoint of 4"},
		{name: "endpoints that become faster", old: "times = 2.5", new: "times = 0.5", wantErr: "uneven times 0.5"},
		{name: "a speed without a period", old: `period = "600ms"`, new: "", wantErr: "needs a period"},
		{name: "a surge of an unknown account", old: "account = 1", new: "account = 3", wantErr: "account 3, of 3"},
		{name: "a surge of nothing", old: "times = 10.0", new: "times = 0.0", wantErr: "times 0"},
		{name: "a surge without length", old: "at = \"1s\"\nfor = \"1s\"", new: `at = "1s"`, wantErr: "a time and a length"},
		{name: "negative owners", old: "nodes = 2", new: "nodes = 2\nowners = -1.0", wantErr: "must not be negative"},
		{name: "owners that are no number", old: "nodes = 2", new: "nodes = 2\nowners = nan", wantErr: "must not be negative"},
		{name: "an unknown order", old: "nodes = 2", new: "nodes = 2\ncost_order = \"cheap\"", wantErr: `cost_order is "cheap"`},
	}
	text := planText + scarceText
	_, err := experiment.Parse(text)
	require.NoError(t, err)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, text, c.old)
			_, err := experiment.Parse(strings.Replace(text, c.old, c.new, 1))
			require.ErrorIs(t, err, experiment.ErrPlan)
			require.ErrorContains(t, err, c.wantErr)
		})
	}
}

// TestSurge guards against a surge whose requests are taken from those of other
// accounts: the others send as much as before.
func TestSurge(t *testing.T) {
	p, err := experiment.Parse(planText + scarceText)
	require.NoError(t, err)
	rateOf := func(n int, at time.Duration) float64 {
		total := 0.0
		for k := range p.Accounts {
			total += p.AccountShareAt(k, at)
		}
		return p.RateAt(at) * p.AccountShareAt(n, at) / total
	}
	for _, at := range []time.Duration{0, time.Second, 2*time.Second - 1, 2 * time.Second} {
		times := 1.0
		if at >= time.Second && at < 2*time.Second {
			times = 10
		}
		require.InDelta(t, rateOf(0, 0), rateOf(0, at), 1e-9)
		require.InDelta(t, times*rateOf(1, 0), rateOf(1, at), 1e-9)
		require.InDelta(t, rateOf(2, 0), rateOf(2, at), 1e-9)
	}
}

// TestVariants guards against runs that are compared under the same name or with
// settings that were not asked for.
func TestVariants(t *testing.T) {
	p, err := experiment.Parse("owners = 2.0\ncost_order = \"always\"\n" + planText)
	require.NoError(t, err)
	got, err := experiment.Variants(p, []string{"before", "after"}, []string{"plan", "off", "owned/1.5"})
	require.NoError(t, err)
	ofPlan, owned := experiment.Settings{Owners: 2, CostOrder: "always"}, experiment.Settings{Owners: 1.5, CostOrder: "owned"}
	require.Equal(t, []experiment.Variant{
		{Name: "before", Program: "before", Settings: ofPlan},
		{Name: "before off", Program: "before"},
		{Name: "before owned/1.5", Program: "before", Settings: owned},
		{Name: "after", Program: "after", Settings: ofPlan},
		{Name: "after off", Program: "after"},
		{Name: "after owned/1.5", Program: "after", Settings: owned},
	}, got)
	for _, text := range []string{"", "on", "owned", "owned/x", "cheap/1", "owned/-1", "owned/nan"} {
		_, err := experiment.Variants(p, []string{"before"}, []string{text})
		require.ErrorIs(t, err, experiment.ErrPlan, text)
	}
}

// requireSums checks that the results by size and account neither lose nor repeat
// requests.
func requireSums(t *testing.T, r *experiment.Result) {
	t.Helper()
	asked := map[string]int{}
	for _, c := range append(append(r.Requests, r.Sizes...), r.Accounts...) {
		require.Equal(t, c.Asked, c.Timely+c.Late+c.Refused+c.Failed, c.Name)
		asked[c.Name] = c.Asked
	}
	require.Equal(t, asked["quote"], asked["quote usual"]+asked["quote large"])
	require.Positive(t, asked["quote large"])
	require.Equal(t, asked["lookup"]+asked["chat"]+asked["quote"], asked["account0"]+asked["account1"]+asked["account2"])
	require.Equal(t, asked["account0"]+asked["account2"], r.OtherAccounts.Asked)
}
